"""Client connection to a relay."""

import asyncio
import collections.abc
import datetime

from acaciamoor import clock as clocks
from acaciamoor import replica as replicas

# Connecting within a data centre takes less than 1 ms.
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=500)
# Silence after which a relay is considered lost: four heartbeat intervals.
READ_TIMEOUT = datetime.timedelta(milliseconds=1600)
_READ_BYTES = 1 << 16
# Unsent bytes above which a report is left out. A relay that reads has none;
# one that does not must not make this host keep memory.
_MAX_UNSENT_BYTES = 1 << 16


class RelayLink:
    """Connection that receives updates and heartbeats from a relay.

    Parameters
    ----------
    own : Peer
        This host.
    peer : Peer
        Relay to connect to.
    replicas_by_kind : Mapping
        Replicas of this host, which give the versions to start from.
    on_message : callable
        Called with the relay, each message from it, and for how long that was
        on the way.
    count_listeners : callable
        Returns the number of hosts of the data centre that listen to this
        one.
    clock : Clock
        Source of time. Like the sender's, it counts the time for which a
        machine is suspended.
    """

    def __init__(
        self,
        own: replicas.Peer,
        peer: replicas.Peer,
        replicas_by_kind: collections.abc.Mapping[str, replicas.Replica],
        on_message: collections.abc.Callable[
            [replicas.Peer, replicas.Message, datetime.timedelta], None
        ],
        count_listeners: collections.abc.Callable[[], int],
        clock: clocks.Clock,
    ) -> None:
        self._own = own
        self._peer = peer
        self._replicas_by_kind = replicas_by_kind
        self._on_message = on_message
        self._count_listeners = count_listeners
        self._reported_listeners = 0
        self._clock = clock
        self._codec = replicas.MessageCodec()
        self._delays = replicas.DelayEstimator()
        # More frequent messages would shorten the time that `_delays` covers.
        self._summary_delays = replicas.DelayEstimator(
            replicas.SUMMARY_DELAY_WINDOW
        )
        self._writer: asyncio.StreamWriter | None = None
        # Time that this host has waited for messages since the last one that
        # was no summary of loads, in seconds.
        self._waited_s = 0.0

    async def run(self) -> None:
        """Receive messages until the connection fails.

        Raises
        ------
        OSError
            If the relay cannot be reached or a read times out.
        EOFError
            If the relay closes the connection.
        MessageError
            If the relay sends an invalid message.
        """
        async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
            reader, writer = await asyncio.open_connection(
                self._peer.address.ip, self._peer.address.port
            )
        try:
            writer.write(self._codec.encode(self._build_hello()))
            self._writer = writer
            while True:
                message, delay = await self._read_message(reader)
                self._on_message(self._peer, message, delay)
                if self._count_listeners() != self._reported_listeners:
                    writer.write(self._codec.encode(self._build_hello()))
        finally:
            self._writer = None
            writer.close()

    def send(self, message: replicas.Report | replicas.Summary) -> bool:
        """Send a message if the relay reads what it is sent."""
        writer = self._writer
        if (
            writer is None
            or writer.is_closing()
            or writer.transport.get_write_buffer_size() > _MAX_UNSENT_BYTES
        ):
            return False
        writer.write(self._codec.encode(message))
        return True

    def _build_hello(self) -> replicas.Hello:
        self._reported_listeners = self._count_listeners()
        return replicas.Hello(
            self._own.host_id,
            {
                kind: replica.version
                for kind, replica in self._replicas_by_kind.items()
            },
            replicas.PeerState.from_peer(self._own),
            self._reported_listeners,
            replicas.PROTOCOL,
        )

    async def _read_message(
        self, reader: asyncio.StreamReader
    ) -> tuple[replicas.Message, datetime.timedelta]:
        """Return a message, and for how long it was on the way."""
        received = length = 0
        chunks = []
        silence_s = READ_TIMEOUT.total_seconds()
        loop = asyncio.get_running_loop()
        began_to_wait_at = loop.time()
        # A relay that sends summaries, but no heartbeats, is lost.
        remaining_s = max(0.0, silence_s - self._waited_s)
        try:
            async with asyncio.timeout(remaining_s) as limit:
                header = await reader.readexactly(self._codec.header_bytes)
                self._waited_s += loop.time() - began_to_wait_at
                began_at = self._clock.monotonic()
                length = self._codec.decode_length(header)
                while received < length:
                    chunk = await reader.read(
                        min(length - received, _READ_BYTES)
                    )
                    if not chunk:
                        raise EOFError(
                            f'connection closed after {received} of {length} '
                            'bytes of a message'
                        )
                    chunks.append(chunk)
                    received += len(chunk)
                    # A large message takes long over a narrow link; only
                    # silence shows that the relay is lost.
                    limit.reschedule(loop.time() + silence_s)
        except TimeoutError as error:
            progress = f' after {received} of {length} bytes' if length else ''
            raise TimeoutError(f'silent for {READ_TIMEOUT}{progress}') from (
                error
            )
        message = self._codec.decode(b''.join(chunks))
        received_at = self._clock.monotonic()
        delay = received_at - began_at
        delays = self._delays
        if isinstance(message, replicas.Summary):
            delays = self._summary_delays
        elif not isinstance(message, replicas.Report):
            self._waited_s = 0.0
        if isinstance(
            message, replicas.Beat | replicas.Update | replicas.Summary
        ):
            sent_at = datetime.timedelta(seconds=message.sent_at)
            delay = max(delay, delays.record(sent_at, received_at))
        return message, delay

"""Server that relays collections to other hosts."""

import asyncio
import collections.abc
import datetime
import logging

import msgspec

from acaciamoor import clock as clocks
from acaciamoor import replica as replicas

_LOG = logging.getLogger(__name__)
# A listener with more unread data is disconnected; it reconnects and requests
# the changes that it misses.
_MAX_UNSENT_BYTES = 4 << 20
# A Hello message holds a host identifier and a few versions.
_MAX_HELLO_BYTES = 4096
# A report of 4,096 upstreams with long names takes less.
_MAX_REPORT_BYTES = 1 << 20
# Unsent bytes above which a listener is sent no summary of loads. It delays
# changes of the collections by 50 ms at most over a link of 10 Mbit/s.
_MAX_UNSENT_SUMMARY_BYTES = 1 << 16
# Time after its last report for which a listener is sent summaries: five of
# the longest intervals. A listener reports to the first of its relays only,
# and needs the summaries once.
_REPORTER_PERIOD = datetime.timedelta(seconds=2)
# Minimum interval between two heartbeats that pass on confirmations.
_MIN_HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=100)


# Called with the host and data centre of a listener, a message from it, and
# for how long that was on the way.
OnReport = collections.abc.Callable[
    [str, str, replicas.Report | replicas.Summary, datetime.timedelta], None
]


class _Listener(msgspec.Struct):
    """Connected host; `below` is the number of its own listeners."""

    writer: asyncio.StreamWriter
    data_centre: str
    below: int
    delays: replicas.DelayEstimator
    # Time of its last report; None before the first one.
    reported_at: datetime.timedelta | None = None

    def reports(self, now: datetime.timedelta) -> bool:
        """Return whether the host has reported lately."""
        return (
            self.reported_at is not None
            and now - self.reported_at <= _REPORTER_PERIOD
        )


class RelayServer:
    """Sends changes and heartbeats to the listening hosts.

    Parameters
    ----------
    own : Peer
        This host, with the address that accepts connections.
    replicas_by_kind : Mapping
        Replicas of the relayed collections.
    peers : PeerList
        Known hosts; listeners are added.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        own: replicas.Peer,
        replicas_by_kind: collections.abc.Mapping[str, replicas.Replica],
        peers: replicas.PeerList,
        clock: clocks.Clock,
    ) -> None:
        self._own = own
        self._replicas_by_kind = replicas_by_kind
        self._peers = peers
        self._clock = clock
        self._heartbeat_at = clock.monotonic()
        self._heartbeat_timer: asyncio.TimerHandle | None = None
        self._new_peers: list[replicas.Peer] = []
        self._codec = replicas.MessageCodec()
        self._listeners_by_host: dict[str, _Listener] = {}
        # Number of hosts of the data centre; see `count_local_hosts`.
        self.local_hosts = 1
        self._server: asyncio.Server | None = None
        self.on_report: OnReport | None = None

    @property
    def listeners(self) -> int:
        """Number of connected listeners."""
        return len(self._listeners_by_host)

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait until listeners read them."""
        return sum(
            listener.writer.transport.get_write_buffer_size()
            for listener in self._listeners_by_host.values()
            if not listener.writer.is_closing()
        )

    def count_local_listeners(self) -> int:
        """Return the number of listeners in the data centre of this host."""
        return sum(
            listener.data_centre == self._own.data_centre
            for listener in self._listeners_by_host.values()
        )

    def count_local_hosts(self) -> int:
        """Return the number of hosts of the data centre below this one.

        It is the number of all hosts if this one is the first relay of the
        data centre. Each host listens to two others.
        """
        local = [
            listener
            for listener in self._listeners_by_host.values()
            if listener.data_centre == self._own.data_centre
        ]
        return 1 + len(local) + sum(item.below for item in local) // 2

    async def start(self) -> None:
        """Start to listen.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self._server = await asyncio.start_server(
            self._serve, self._own.address.ip, self._own.address.port
        )

    def close(self) -> None:
        """Stop listening and disconnect all listeners."""
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
        if self._server is not None:
            self._server.close()
        for listener in self._listeners_by_host.values():
            listener.writer.close()

    def publish(self, kind: str, batch: replicas.Batch) -> None:
        """Send a batch of changes to all listeners."""
        if self._listeners_by_host:
            self._send_all(
                replicas.Update.from_batch(
                    self._replicas_by_kind[kind],
                    batch,
                    self._clock.monotonic(),
                )
            )

    def publish_peers(self, peers: list[replicas.Peer]) -> None:
        """Send hosts to all listeners, with the next heartbeat."""
        self._new_peers.extend(filter(self._peers.is_shared, peers))

    def pass_on_confirmation(self) -> None:
        """Send a heartbeat at once, or soon if one was sent just now."""
        if self._heartbeat_timer is not None or not self._listeners_by_host:
            return
        delay = max(
            datetime.timedelta(0), _MIN_HEARTBEAT_INTERVAL - self.idle_time
        )
        self._heartbeat_timer = asyncio.get_running_loop().call_later(
            delay.total_seconds(), self.send_heartbeat
        )

    @property
    def idle_time(self) -> datetime.timedelta:
        """Time since the last heartbeat."""
        return self._clock.monotonic() - self._heartbeat_at

    def send_heartbeat(self) -> None:
        """Send the versions of all replicas, with their ages, to listeners."""
        now = self._clock.monotonic()
        self._heartbeat_at = now
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
            self._heartbeat_timer = None
        new_peers, self._new_peers = self._new_peers, []
        if not self._listeners_by_host:
            return
        if new_peers:
            self._send_all(_encode_peers(new_peers))
        self._send_all(
            replicas.Beat(
                {
                    kind: replicas.Progress.of(replica, now)
                    for kind, replica in self._replicas_by_kind.items()
                    if replica.initialized
                },
                self._own.data_centre,
                self.local_hosts,
                now.total_seconds(),
            )
        )

    def get_reporting_data_centres(self) -> set[str]:
        """Return the data centres of the listeners that report here."""
        now = self._clock.monotonic()
        return {
            listener.data_centre
            for listener in self._listeners_by_host.values()
            if listener.reports(now)
        }

    def send_summary(
        self, message: replicas.Summary, data_centre: str
    ) -> tuple[int, int]:
        """Send sums to the listeners of a data centre that report here.

        Listeners that do not read miss them, and stay connected.

        Returns
        -------
        tuple
            Number of listeners that were sent the message, and that missed
            it.
        """
        now = self._clock.monotonic()
        sent = missed = 0
        frame = b''
        for listener in self._listeners_by_host.values():
            writer = listener.writer
            if (
                listener.data_centre != data_centre
                or not listener.reports(now)
                or writer.is_closing()
            ):
                continue
            unsent = writer.transport.get_write_buffer_size()
            if unsent > _MAX_UNSENT_SUMMARY_BYTES:
                missed += 1
                continue
            frame = frame or self._codec.encode(message)
            writer.write(frame)
            sent += 1
        return sent, missed

    def _send_all(self, message: replicas.Message) -> None:
        frame = self._codec.encode(message)
        for host, listener in list(self._listeners_by_host.items()):
            self._send(host, listener.writer, frame)

    def _send(
        self, host: str, writer: asyncio.StreamWriter, frame: bytes
    ) -> None:
        # A broken connection is closed before its task has ended, and a closed
        # transport must not be used.
        if writer.is_closing():
            self._disconnect(host, writer)
        elif writer.transport.get_write_buffer_size() > _MAX_UNSENT_BYTES:
            _LOG.warning('listener %s does not read; disconnecting it', host)
            self._disconnect(host, writer)
        else:
            writer.write(frame)

    def _disconnect(self, host: str, writer: asyncio.StreamWriter) -> None:
        listener = self._listeners_by_host.get(host)
        if listener is not None and listener.writer is writer:
            del self._listeners_by_host[host]
        writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host = ''
        try:
            hello = await self._read_hello(reader)
            host = hello.host_id
            self._register_listener(hello, writer)
            while True:
                message = await self._read_message(reader, _MAX_REPORT_BYTES)
                if isinstance(message, replicas.Report | replicas.Summary):
                    self._handle_report(host, message, writer)
                else:
                    self._update_listener(_check_hello(message), writer)
        except (OSError, EOFError, replicas.MessageError) as error:
            _LOG.info('listener %s disconnected: %r', host or 'unknown', error)
        except asyncio.CancelledError:
            # The process is shutting down. The exception is not raised again,
            # since Python 3.11 logs an error for a connection whose task ends
            # as cancelled.
            _LOG.debug('listener %s disconnected at shutdown', host)
        finally:
            self._disconnect(host, writer)

    async def _read_hello(
        self, reader: asyncio.StreamReader
    ) -> replicas.Hello:
        return _check_hello(await self._read_message(reader, _MAX_HELLO_BYTES))

    async def _read_message(
        self, reader: asyncio.StreamReader, max_bytes: int
    ) -> replicas.Message:
        length = self._codec.decode_length(
            await reader.readexactly(self._codec.header_bytes)
        )
        if length > max_bytes:
            raise replicas.MessageError(
                f'message of {length} bytes from a listener is too long'
            )
        return self._codec.decode(await reader.readexactly(length))

    def _handle_report(
        self,
        host: str,
        message: replicas.Report | replicas.Summary,
        writer: asyncio.StreamWriter,
    ) -> None:
        listener = self._listeners_by_host.get(host)
        if listener is None or listener.writer is not writer:
            return
        now = self._clock.monotonic()
        listener.reported_at = now
        delay = listener.delays.record(
            datetime.timedelta(seconds=message.sent_at), now
        )
        if self.on_report is not None:
            self.on_report(host, listener.data_centre, message, delay)

    def _register_listener(
        self, hello: replicas.Hello, writer: asyncio.StreamWriter
    ) -> None:
        if hello.peer is not None:
            self.publish_peers(self._peers.add([hello.peer.to_peer()]))
        for message in self._build_welcome(hello):
            if not writer.is_closing():
                writer.write(self._codec.encode(message))
        previous = self._listeners_by_host.pop(hello.host_id, None)
        if previous is not None:
            previous.writer.close()
        self._listeners_by_host[hello.host_id] = _Listener(
            writer,
            '' if hello.peer is None else hello.peer.data_centre,
            hello.listeners,
            replicas.DelayEstimator(replicas.REPORT_DELAY_WINDOW),
        )

    def _update_listener(
        self, hello: replicas.Hello, writer: asyncio.StreamWriter
    ) -> None:
        listener = self._listeners_by_host.get(hello.host_id)
        if listener is not None and listener.writer is writer:
            listener.below = hello.listeners

    def _build_welcome(
        self, hello: replicas.Hello
    ) -> collections.abc.Iterator[replicas.Message]:
        """Yield what a new listener lacks."""
        data_centre = self._own.data_centre
        if hello.peer is not None:
            data_centre = hello.peer.data_centre
        yield _encode_peers(self._peers.select_shared(data_centre))
        now = self._clock.monotonic()
        initialized = False
        for kind, replica in self._replicas_by_kind.items():
            if replica.initialized:
                initialized = True
                batch = replica.changes_since(
                    hello.versions_by_kind.get(kind, 0)
                )
                yield replicas.Update.from_batch(replica, batch, now)
        if not initialized:
            # A host that starts then asks the store without waiting.
            yield replicas.Beat({}, sent_at=now.total_seconds())


def _check_hello(message: replicas.Message) -> replicas.Hello:
    if not isinstance(message, replicas.Hello):
        raise replicas.MessageError(
            f'{type(message).__name__} received instead of Hello'
        )
    if message.protocol != replicas.PROTOCOL:
        raise replicas.MessageError(
            f'host {message.host_id!r} uses protocol {message.protocol} '
            f'instead of {replicas.PROTOCOL}'
        )
    return message


def _encode_peers(
    peers: collections.abc.Iterable[replicas.Peer],
) -> replicas.Peers:
    return replicas.Peers(
        [replicas.PeerState.from_peer(peer) for peer in peers]
    )

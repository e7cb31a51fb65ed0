"""Passes collections on to other hosts."""

import asyncio
import collections.abc
import logging

from acaciamoor import clock as clocks
from acaciamoor import model
from acaciamoor import replica as replicas

_LOG = logging.getLogger(__name__)
# A listener that has not read this much is disconnected; it comes back and
# asks for what it lacks.
_BACKLOG_BYTES = 4 << 20
# Hello holds a name and a few versions.
_HELLO_LIMIT_BYTES = 4096


class RelayServer:
    """Sends every change to the hosts that listen.

    Parameters
    ----------
    address : Address
        Where other hosts connect.
    replicas_by_kind : Mapping
        Collections that are passed on.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        address: model.Address,
        replicas_by_kind: collections.abc.Mapping[str, replicas.Replica],
        clock: clocks.Clock,
    ) -> None:
        self._address = address
        self._replicas_by_kind = replicas_by_kind
        self._clock = clock
        self._codec = replicas.MessageCodec()
        self._writers_by_name: dict[str, asyncio.StreamWriter] = {}
        self._server: asyncio.Server | None = None

    @property
    def listeners(self) -> int:
        """Number of hosts that listen."""
        return len(self._writers_by_name)

    async def start(self) -> None:
        """Listen.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self._server = await asyncio.start_server(
            self._serve, self._address.ip, self._address.port
        )

    def close(self) -> None:
        """Stop listening and disconnect all hosts."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers_by_name.values():
            writer.close()

    def publish(self, kind: str, batch: replicas.Batch) -> None:
        """Tell all listeners of a change."""
        if self._writers_by_name:
            age = self._replicas_by_kind[kind].age(self._clock.monotonic())
            self._send_all(replicas.Update.of(kind, batch, age))

    def beat(self) -> None:
        """Tell all listeners how far the collections are known."""
        if not self._writers_by_name:
            return
        now = self._clock.monotonic()
        self._send_all(
            replicas.Beat(
                {
                    kind: _progress(replica, now)
                    for kind, replica in self._replicas_by_kind.items()
                    if replica.known
                }
            )
        )

    def _send_all(self, message: replicas.Message) -> None:
        frame = self._codec.encode(message)
        for name, writer in list(self._writers_by_name.items()):
            self._send(name, writer, frame)

    def _send(
        self, name: str, writer: asyncio.StreamWriter, frame: bytes
    ) -> None:
        # A connection that broke is closed before its task ends here, and a
        # closed transport takes no calls.
        if writer.is_closing():
            self._drop(name, writer)
        elif writer.transport.get_write_buffer_size() > _BACKLOG_BYTES:
            _LOG.warning('host %s does not read; disconnected', name)
            self._drop(name, writer)
        else:
            writer.write(frame)

    def _drop(self, name: str, writer: asyncio.StreamWriter) -> None:
        if self._writers_by_name.get(name) is writer:
            del self._writers_by_name[name]
        writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        name = ''
        try:
            hello = await self._read_hello(reader)
            name = hello.host_id
            self._welcome(hello, writer)
            # Listeners send nothing more; the read ends with the connection.
            await reader.read(1)
        except (OSError, EOFError, replicas.MessageError) as error:
            _LOG.info('listener %s has left: %r', name or 'unknown', error)
        except asyncio.CancelledError:
            # The process ends. Python 3.11 logs an error for a connection
            # whose task ends as cancelled.
            _LOG.debug('listener %s is disconnected at the end', name)
        finally:
            self._drop(name, writer)

    async def _read_hello(
        self, reader: asyncio.StreamReader
    ) -> replicas.Hello:
        length = self._codec.length(
            await reader.readexactly(self._codec.header_bytes)
        )
        if length > _HELLO_LIMIT_BYTES:
            raise replicas.MessageError(f'a greeting of {length} bytes')
        message = self._codec.decode(await reader.readexactly(length))
        if not isinstance(message, replicas.Hello):
            raise replicas.MessageError(f'{type(message).__name__} came first')
        return message

    def _welcome(
        self, hello: replicas.Hello, writer: asyncio.StreamWriter
    ) -> None:
        now = self._clock.monotonic()
        for kind, replica in self._replicas_by_kind.items():
            if replica.known and not writer.is_closing():
                batch = replica.since(hello.versions_by_kind.get(kind, 0))
                update = replicas.Update.of(kind, batch, replica.age(now))
                writer.write(self._codec.encode(update))
        known = self._writers_by_name.pop(hello.host_id, None)
        if known is not None:
            known.close()
        self._writers_by_name[hello.host_id] = writer


def _progress(replica: replicas.Replica, now) -> replicas.Progress:
    age = replica.age(now)
    return replicas.Progress(
        replica.version, -1.0 if age is None else age.total_seconds()
    )

"""Listens to a host that passes collections on."""

import asyncio
import collections.abc
import datetime

from acaciamoor import model
from acaciamoor import replica as replicas

# Connections inside a data centre take under 1 ms.
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=500)
# Silence after which a relay is given up: four beats.
SILENCE_LIMIT = datetime.timedelta(milliseconds=1600)


class RelayLink:
    """A connection to a relay.

    Parameters
    ----------
    own_id : HostId
        Name of this host.
    peer : Peer
        The relay.
    replicas_by_kind : Mapping
        Collections, for the versions that this host has.
    on_message : callable
        Takes each update and beat.
    """

    def __init__(
        self,
        own_id: model.HostId,
        peer: replicas.Peer,
        replicas_by_kind: collections.abc.Mapping[str, replicas.Replica],
        on_message: collections.abc.Callable[
            [replicas.Peer, replicas.Message], None
        ],
    ) -> None:
        self._own_id = own_id
        self._peer = peer
        self._replicas_by_kind = replicas_by_kind
        self._on_message = on_message
        self._codec = replicas.MessageCodec()

    async def run(self) -> None:
        """Listen until the relay is lost.

        Raises
        ------
        OSError
            If it cannot be reached or is silent.
        EOFError
            If it closes the connection.
        MessageError
            If it sends something else than messages.
        """
        async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
            reader, writer = await asyncio.open_connection(
                self._peer.address.ip, self._peer.address.port
            )
        try:
            writer.write(self._codec.encode(self._hello()))
            while True:
                self._on_message(self._peer, await self._read(reader))
        finally:
            writer.close()

    def _hello(self) -> replicas.Hello:
        return replicas.Hello(
            self._own_id,
            {
                kind: replica.version
                for kind, replica in self._replicas_by_kind.items()
            },
        )

    async def _read(self, reader: asyncio.StreamReader) -> replicas.Message:
        async with asyncio.timeout(SILENCE_LIMIT.total_seconds()):
            header = await reader.readexactly(self._codec.header_bytes)
            body = await reader.readexactly(self._codec.length(header))
        return self._codec.decode(body)

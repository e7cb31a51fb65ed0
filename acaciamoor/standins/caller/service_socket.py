"""UDP socket of a caller for one service."""

import asyncio

from acaciamoor import model
from acaciamoor import wire

RequestKey = tuple[int, int]


class ServiceSocket(asyncio.DatagramProtocol):
    """Sends to one service address and dispatches received envelopes.

    Balancers answer from their own addresses, so envelopes are dispatched by
    flow and request, never by sender.

    Parameters
    ----------
    service_address : Address
        Address that datagrams are sent to.
    """

    def __init__(self, service_address: model.Address) -> None:
        self.malformed = 0
        self.unexpected = 0
        self._target = service_address.as_tuple()
        self._queues_by_key: dict[
            RequestKey, asyncio.Queue[wire.Envelope]
        ] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport on which datagrams are sent."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Queue an envelope for the request or stream that awaits it."""
        try:
            envelope = wire.decode(data)
        except wire.MalformedError:
            self.malformed += 1
            return
        queue = self._queues_by_key.get((envelope.flow, envelope.request))
        if queue is None:
            self.unexpected += 1
        else:
            queue.put_nowait(envelope)

    def subscribe(
        self, flow: int, request: int
    ) -> asyncio.Queue[wire.Envelope]:
        """Return the queue of envelopes received for a request or stream.

        Streams have the request number 0.
        """
        return self._queues_by_key.setdefault((flow, request), asyncio.Queue())

    def unsubscribe(self, flow: int, request: int) -> None:
        """Remove the queue; later envelopes are counted as unexpected."""
        self._queues_by_key.pop((flow, request), None)

    def send(self, envelope: wire.Envelope) -> None:
        """Send one datagram to the service."""
        self._transport.sendto(wire.encode(envelope), self._target)

    def close(self) -> None:
        """Close the socket."""
        self._transport.close()

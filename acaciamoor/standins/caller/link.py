"""Socket of the caller towards one service, with answers by flow."""

import asyncio

from acaciamoor import model
from acaciamoor import wire

FlowKey = tuple[int, int]


class Link(asyncio.DatagramProtocol):
    """Sends to one service address and hands out what comes back.

    Answers come from the balancers' own addresses, so they are matched by
    flow and request and never by the sender.

    Parameters
    ----------
    service_address : Address
        Where datagrams are sent.
    """

    def __init__(self, service_address: model.Address) -> None:
        self.malformed = 0
        self.unexpected = 0
        self._target = service_address.as_tuple()
        self._queues_by_key: dict[FlowKey, asyncio.Queue[wire.Envelope]] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for sending."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand an answer to the flow that waits for it."""
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

    def expect(self, flow: int, request: int) -> asyncio.Queue[wire.Envelope]:
        """Return the queue of what comes back for a request or stream."""
        return self._queues_by_key.setdefault((flow, request), asyncio.Queue())

    def forget(self, flow: int, request: int) -> None:
        """Count later answers to a request as unexpected."""
        self._queues_by_key.pop((flow, request), None)

    def send(self, envelope: wire.Envelope) -> None:
        """Send one datagram to the service."""
        self._transport.sendto(wire.encode(envelope), self._target)

    def close(self) -> None:
        """Close the socket."""
        self._transport.close()

"""Conversion between datagrams of requests and values of the placer."""

import dataclasses
import datetime
import typing

from acaciamoor import model
from acaciamoor import placement
from acaciamoor import wire

SocketAddress = tuple[str, int]
ORIGINS_BY_PURPOSE = {
    wire.ForwardPurpose.COVERAGE: placement.Origin.PEER,
    wire.ForwardPurpose.HAND_OVER: placement.Origin.HAND_OVER,
}


class CallerReference(typing.NamedTuple):
    """Destination of the answers to a request.

    Parameters
    ----------
    address : tuple
        Address of the caller, in the form of the `socket` module.
    header : bytes
        PROXY header of the caller's datagram, reused for a cancellation.
    service_id : ServiceId
        Service of the request.
    """

    address: SocketAddress
    header: bytes
    service_id: model.ServiceId


@dataclasses.dataclass(frozen=True, slots=True)
class RequestDatagram:
    """A datagram of a request, with its PROXY header and envelope.

    Parameters
    ----------
    data : bytes
        PROXY header and envelope, unchanged.
    header_bytes : int
        Length of the PROXY header.
    caller : Address
        Source of the datagram.
    envelope : Envelope
        The decoded envelope.
    """

    data: bytes
    header_bytes: int
    caller: model.Address
    envelope: wire.Envelope

    @classmethod
    def decode(cls, data: bytes) -> 'RequestDatagram':
        """Return the datagram in `data`.

        Raises
        ------
        MalformedError
            If header or envelope is malformed.
        """
        header, offset = wire.parse_proxy_header(data)
        return cls(data, offset, header.source, wire.decode(data[offset:]))

    @property
    def service_id(self) -> model.ServiceId:
        """Service of the request."""
        return model.ServiceId(self.envelope.service)

    def to_request_part(
        self, now: datetime.timedelta, held: datetime.timedelta
    ) -> placement.RequestPart:
        """Return the placer's input for a datagram received at `now`.

        Parameters
        ----------
        now : datetime.timedelta
            Monotonic time of this host.
        held : datetime.timedelta
            Time that other balancers have held the datagram.
        """
        envelope = self.envelope
        return placement.RequestPart(
            flow=envelope.flow,
            request=envelope.request,
            attempt=envelope.attempt,
            idempotent=envelope.idempotent,
            age=envelope.age + held,
            deadline=now + envelope.timeout - held,
            size_class=envelope.size_class,
            part=envelope.part,
            parts=envelope.parts,
            caller=CallerReference(
                self.caller.as_tuple(),
                self.data[: self.header_bytes],
                self.service_id,
            ),
            payload=self.data,
        )


def refusal(
    request_part: placement.RequestPart,
    outcome: wire.Outcome,
    reason: str,
    retry_after: datetime.timedelta = datetime.timedelta(0),
) -> bytes:
    """Return the encoded refusal that reports `outcome` to a caller."""
    return wire.encode(
        wire.Envelope(
            wire.EnvelopeKind.REFUSAL,
            request_part.caller.service_id,
            request_part.flow,
            request_part.request,
            attempt=request_part.attempt,
            idempotent=request_part.idempotent,
            outcome=outcome,
            reason=reason,
            retry_after=retry_after,
        )
    )


def cancellation(request_part: placement.RequestPart) -> bytes:
    """Return the datagram that asks an upstream to cancel a request."""
    return request_part.caller.header + wire.encode(
        wire.Envelope(
            wire.EnvelopeKind.CANCEL,
            request_part.caller.service_id,
            request_part.flow,
            request_part.request,
            attempt=request_part.attempt,
        )
    )


def time_held(
    data: bytes, request_part: placement.RequestPart, now: datetime.timedelta
) -> datetime.timedelta:
    """Return how long balancers have held the datagram `data`."""
    timeout = RequestDatagram.decode(data).envelope.timeout
    return max(timeout - (request_part.deadline - now), datetime.timedelta(0))

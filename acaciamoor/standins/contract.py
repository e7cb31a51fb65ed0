"""Payloads and reports exchanged by the caller and upstream stand-ins."""

import msgspec

from acaciamoor import wire


class RequestPayload(msgspec.Struct, frozen=True):
    """Payload of a request, or of a datagram that a caller sends on a stream.

    Parameters
    ----------
    token : str
        Unique text that the upstream echoes in its answer, which lets the
        caller detect an answer to another request.
    run_ms : int
        Processing time of the request, in milliseconds.
    answer_bytes : int
        Minimum size of the answer's payload, summed over all parts.
    """

    token: str
    run_ms: int = 0
    answer_bytes: int = 0


class AnswerPayload(msgspec.Struct, frozen=True):
    """Payload of an answer, or of a datagram pushed to a stream."""

    token: str
    upstream: str
    service: int
    padding: str = ''


class RunRecord(msgspec.Struct, frozen=True):
    """One execution of a request by an upstream."""

    service: int
    flow: int
    request: int
    attempt: int
    idempotent: bool


class UpstreamRecords(msgspec.Struct, frozen=True):
    """Requests and streams that an upstream received, for later checks."""

    upstream: str
    service: int
    runs: list[RunRecord]
    wrong_service: int = 0
    streams: list[int] = []
    shed: int = 0
    cancelled: int = 0


class LoadReport(msgspec.Struct, frozen=True):
    """Body of the response of the load endpoint."""

    slots: int
    busy: int
    connections: int
    draining: bool = False


def split_payload(payload: bytes) -> list[bytes]:
    """Split `payload` into parts that each fit into an envelope.

    An empty payload has one empty part.

    Examples
    --------
    >>> [len(part) for part in split_payload(b'x' * 2500)]
    [1200, 1200, 100]
    """
    size = wire.MAX_PAYLOAD_BYTES
    parts = [
        payload[offset : offset + size]
        for offset in range(0, len(payload), size)
    ]
    return parts or [b'']

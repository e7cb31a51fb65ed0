"""Payloads that the caller and upstream stand-ins exchange."""

import msgspec

from acaciamoor import wire


class WorkOrder(msgspec.Struct, frozen=True):
    """Payload of a request, or of a stream's datagram.

    Parameters
    ----------
    token : str
        Random text that the answer repeats, so that a crossed answer shows.
    run_ms : int
        Time that the work takes.
    answer_bytes : int
        Least size of the answer's payload over all parts.
    """

    token: str
    run_ms: int = 0
    answer_bytes: int = 0


class WorkResult(msgspec.Struct, frozen=True):
    """Payload of an answer, or of a datagram that a stream pushes."""

    token: str
    upstream: str
    service: int
    padding: str = ''


class RunRecord(msgspec.Struct, frozen=True):
    """One run of a request at an upstream."""

    service: int
    flow: int
    request: int
    attempt: int
    idempotent: bool


class UpstreamRecords(msgspec.Struct, frozen=True):
    """Everything that an upstream saw, for the checks after a run."""

    upstream: str
    service: int
    runs: list[RunRecord]
    wrong_service: int = 0
    streams: list[int] = []
    shed: int = 0
    cancelled: int = 0


class LoadReport(msgspec.Struct, frozen=True):
    """What the load endpoint reports."""

    slots: int
    busy: int
    connections: int
    draining: bool = False


def split_payload(payload: bytes) -> list[bytes]:
    """Return `payload` in parts that fit into envelopes.

    Examples
    --------
    >>> [len(part) for part in split_payload(b'x' * 2500)]
    [1200, 1200, 100]
    """
    size = wire.MAX_PAYLOAD_BYTES
    parts = [payload[at : at + size] for at in range(0, len(payload), size)]
    return parts or [b'']

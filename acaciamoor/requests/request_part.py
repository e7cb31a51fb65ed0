"""Part of a request, its identifier and origin, and refusal reasons."""

import dataclasses
import datetime
import enum
import typing

from acaciamoor import wire


class RequestKey(typing.NamedTuple):
    """Identifier of a request, shared by all its attempts."""

    flow: int
    request: int


class Origin(enum.Enum):
    """How a datagram of a request reached this balancer."""

    CALLER = 'caller'
    # A placer without a record of the request asks whether this host has one.
    PEER = 'peer'
    # The previous placer transfers a queued request that it has not run.
    HAND_OVER = 'hand-over'
    # The datagram was buffered by the socket while this process was paused.
    STALE = 'stale'


class Reason(enum.StrEnum):
    """Cause of a refusal or of an unknown outcome."""

    NONE = ''
    QUEUE_FULL = 'queue-full'
    DEADLINE = 'deadline'
    NO_UPSTREAM = 'no-upstream'
    SHED = 'shed'
    RETRY_BUDGET = 'retry-budget'
    REFUSED_BEFORE = 'refused-before'
    TIMEOUT = 'timeout'
    UPSTREAM_LOST = 'upstream-lost'
    PLACER_PAUSED = 'placer-paused'
    PLACER_CHANGED = 'placer-changed'
    NO_RECORD = 'no-record'
    ANSWER_EXPIRED = 'answer-expired'
    LEDGER_FULL = 'ledger-full'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPart:
    """One part of one attempt of a request, as the placer receives it.

    Each part arrives in a datagram of its own.

    Parameters
    ----------
    flow : int
        Identifier of the flow, a random unsigned 64-bit number.
    request : int
        Identifier of the request within the flow.
    attempt : int
        Number of the attempt: 0 for the first, 1 for the first
        retransmission, and so on.
    idempotent : bool
        Whether running the request twice is harmless.
    age : datetime.timedelta
        Time since the caller sent the first attempt, without the transit
        time but including the time that balancers held the datagram.
    deadline : datetime.timedelta
        Monotonic time of this host at which the caller gives up.
    size_class : wire.SizeClass
        How long the caller expects the request to run.
    part, parts : int
        Index of this part and number of parts of the request.
    caller : object
        Address of the caller; opaque to the placer.
    payload : object
        The encoded datagram; opaque to the placer.
    """

    flow: int
    request: int
    attempt: int
    idempotent: bool
    age: datetime.timedelta
    deadline: datetime.timedelta
    size_class: wire.SizeClass = wire.SizeClass.UNKNOWN
    part: int = 0
    parts: int = 1
    caller: object = None
    payload: object = None

    @property
    def key(self) -> RequestKey:
        """Identifier of the request, shared by all attempts and parts."""
        return RequestKey(self.flow, self.request)

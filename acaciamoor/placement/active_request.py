"""State of a request from its arrival until its outcome."""

import dataclasses
import datetime
import enum

from acaciamoor import model
from acaciamoor.requests import request_part as request_parts
from acaciamoor.wire import envelope as wire


class Lane(enum.Enum):
    """Queue for a size class, so that short requests pass long ones."""

    SHORT = 'short'
    LONG = 'long'


def lane_of(size_class: wire.SizeClass) -> Lane:
    """Return the lane of a size class; unknown sizes count as short."""
    if size_class is wire.SizeClass.LONG:
        return Lane.LONG
    return Lane.SHORT


@dataclasses.dataclass(slots=True, eq=False)
class ActiveRequest:
    """State of one request that is queued or bound.

    Parameters
    ----------
    first_part : RequestPart
        The part that started the request. Its attempt is the one that is
        bound; its caller is that of the newest attempt.
    order : int
        Sequence number by arrival.
    lane : Lane
        Queue that the request waits in.
    arrived_at : datetime.timedelta
        Monotonic time of arrival.
    parts_by_index : dict
        Payloads of the parts that have arrived, in order of arrival.
    under_lease : bool
        Whether this host held the lease when the request arrived.
    no_earlier_run : bool
        Whether it is certain that no earlier attempt ran.
    not_before : datetime.timedelta
        Earliest time at which the request may be bound.
    exclusive_from : datetime.timedelta
        Time from which no other placer can be running the request.
    shed_by : frozenset
        Upstreams that shed this attempt. They are not tried again, since a
        duplicate of the first shed could not be distinguished from a second.
    pinned_id : UpstreamId or None
        Upstream that the request waits for, as its flow is pinned to it.
    waiting : bool
        Whether the request is in the queue.
    upstream : Upstream or None
        Upstream that the request is bound to.
    bound_at : datetime.timedelta or None
        Monotonic time at which the request was bound.
    detected_long : bool
        Whether the request counts as long because of its running time.
    opened_flow : bool
        Whether binding this request pinned its flow to an upstream.
    newest_attempt : int
        Highest attempt number that has arrived.
    answer_by_part : dict
        Payloads of the answer's parts that have arrived, by index.
    ended : bool
        Whether the outcome of the request has been decided.
    """

    first_part: request_parts.RequestPart
    order: int
    lane: Lane
    arrived_at: datetime.timedelta
    parts_by_index: dict[int, object]
    under_lease: bool
    no_earlier_run: bool
    not_before: datetime.timedelta
    exclusive_from: datetime.timedelta
    shed_by: frozenset[model.UpstreamId] = frozenset()
    pinned_id: model.UpstreamId | None = None
    waiting: bool = False
    upstream: model.Upstream | None = None
    bound_at: datetime.timedelta | None = None
    detected_long: bool = False
    opened_flow: bool = False
    newest_attempt: int = 0
    answer_by_part: dict[int, object] = dataclasses.field(default_factory=dict)
    ended: bool = False

    @property
    def attempt_id(self) -> tuple[int, int, int]:
        """Identifiers of the attempt: flow, request and attempt number."""
        return (
            self.first_part.flow,
            self.first_part.request,
            self.first_part.attempt,
        )

    def update_caller(self, request_part: request_parts.RequestPart) -> None:
        """Send replies to the source address of the newest attempt."""
        if request_part.attempt <= self.newest_attempt:
            return
        self.newest_attempt = request_part.attempt
        if request_part.caller != self.first_part.caller:
            self.first_part = dataclasses.replace(
                self.first_part, caller=request_part.caller
            )

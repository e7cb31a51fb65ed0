"""A request between its arrival and its end."""

import dataclasses
import datetime
import enum

from acaciamoor import model
from acaciamoor.requests import work as works
from acaciamoor.wire import envelope as wire


class Lane(enum.Enum):
    """Queue of a request; short work never waits in the lane of long work."""

    SHORT = 'short'
    LONG = 'long'


def lane_of(size_class: wire.SizeClass) -> Lane:
    """Return the lane; work of unknown size is treated as short."""
    if size_class is wire.SizeClass.LONG:
        return Lane.LONG
    return Lane.SHORT


@dataclasses.dataclass(slots=True, eq=False)
class Pending:
    """State of one request in progress.

    Parameters
    ----------
    work : Work
        The attempt that opened the record; it is the one that is bound.
    order : int
        Rank by arrival.
    lane : Lane
        Queue that the request waits in.
    arrived_at : datetime.timedelta
        Monotonic time of arrival.
    parts_by_index : dict
        Payloads of the parts that have arrived, in order of arrival.
    tenured : bool
        Whether it arrived while this host held the lease.
    first_run : bool
        Whether it is certain that no earlier attempt ran.
    not_before : datetime.timedelta
        Earliest time to bind it.
    provable_from : datetime.timedelta
        Earliest time at which no other placer can be running the request.
    shed_by : frozenset
        Upstreams that refused this attempt. They are not tried again, since
        a duplicate of their refusal could not be told from a second one.
    home : UpstreamId or None
        Upstream that the request's flow stays on.
    """

    work: works.Work
    order: int
    lane: Lane
    arrived_at: datetime.timedelta
    parts_by_index: dict[int, object]
    tenured: bool
    first_run: bool
    not_before: datetime.timedelta
    provable_from: datetime.timedelta
    shed_by: frozenset[model.UpstreamId] = frozenset()
    home: model.UpstreamId | None = None
    waiting: bool = False
    upstream: model.Upstream | None = None
    bound_at: datetime.timedelta | None = None
    learned_long: bool = False
    opened_flow: bool = False
    newest_attempt: int = 0
    answer_by_part: dict[int, object] = dataclasses.field(default_factory=dict)
    ended: bool = False

    @property
    def token(self) -> tuple[int, int, int]:
        """Identity of the bound attempt: flow, request and attempt."""
        return (self.work.flow, self.work.request, self.work.attempt)

    def update_caller(self, work: works.Work) -> None:
        """Answer to the address that the newest attempt came from."""
        if work.attempt <= self.newest_attempt:
            return
        self.newest_attempt = work.attempt
        if work.caller != self.work.caller:
            self.work = dataclasses.replace(self.work, caller=work.caller)

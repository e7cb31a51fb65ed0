"""Upstreams with their slots, and the choice among those with free slots."""

import collections.abc
import dataclasses
import datetime
import itertools
import math

from acaciamoor import model
from acaciamoor.placement import messages

AttemptId = tuple[int, int, int]

# A load report that was measured longer ago is ignored.
MAX_REPORT_AGE = datetime.timedelta(seconds=2)
# Until this long after the settle time, reports may still raise the number of
# inherited slots, since a report lags behind the load.
MAX_REPORT_LAG = datetime.timedelta(seconds=1)
# A request runs for at most 30 s, so by then the slots that a previous placer
# filled are free.
INHERITED_LIFETIME = datetime.timedelta(seconds=30)
# Until this long after the settle time, inherited requests may fill all slots
# of an upstream. Later, at least one slot is taken to be free of them, so that
# a wrong report cannot block the upstream.
FULL_TRUST_PERIOD = datetime.timedelta(seconds=1)
# Backoff after an upstream sheds a request; it doubles up to the maximum.
_MIN_BACKOFF = datetime.timedelta(milliseconds=20)
_MAX_BACKOFF = datetime.timedelta(milliseconds=500)
# Share of the slots that may be used at the beginning of a slow start.
_MIN_SLOW_START_SHARE = 0.1
# Load that reported requests of others add, in units of one own request. Below
# 1, they only order upstreams with the same number of own requests.
_REPORT_WEIGHT = 0.25

_ZERO = datetime.timedelta(0)


@dataclasses.dataclass(slots=True)
class UpstreamSlots:
    """Slots in use at one upstream.

    Parameters
    ----------
    upstream : Upstream
        The upstream.
    bound_at_by_attempt : dict
        Monotonic time of binding of each own attempt that holds a slot.
    slow_start_at : datetime.timedelta or None
        Monotonic time at which the slow start began; None if it is over.
    listed : bool
        Whether the upstream is in the current list of the service.
    ejected : bool
        Whether the upstream is ejected for its health.
    inherited : int
        Slots that requests of a previous placer are assumed to hold.
    reported_excess : int
        Requests in the latest report that are not this placer's own.
    excess_valid_until : datetime.timedelta
        Monotonic time at which `reported_excess` becomes outdated.
    backoff_until : datetime.timedelta
        Monotonic time until which nothing is bound after a shed.
    backoff : datetime.timedelta
        Duration of the next backoff.
    last_bind_sequence : int
        Sequence number of the latest binding; 0 before the first.
    """

    upstream: model.Upstream
    bound_at_by_attempt: dict[AttemptId, datetime.timedelta] = (
        dataclasses.field(default_factory=dict)
    )
    slow_start_at: datetime.timedelta | None = None
    listed: bool = True
    ejected: bool = False
    inherited: int = 0
    reported_excess: int = 0
    excess_valid_until: datetime.timedelta = _ZERO
    backoff_until: datetime.timedelta = _ZERO
    backoff: datetime.timedelta = _MIN_BACKOFF
    last_bind_sequence: int = 0

    @property
    def takes_new_work(self) -> bool:
        """Whether requests may be bound to the upstream."""
        return (
            self.listed and not self.ejected and self.upstream.takes_new_work
        )


class UpstreamPool:
    """Upstreams of a service with their slots.

    The placer counts its own requests at each upstream exactly and never
    exceeds the upstream's slots. Load reports have two further uses: they
    reveal slots that a previous placer filled, and they order upstreams with
    the same number of own requests.

    Parameters
    ----------
    slow_start : datetime.timedelta
        Time in which a new or readmitted upstream reaches its full share.

    Attributes
    ----------
    available : list of UpstreamSlots
        The upstreams that take new work.
    total_slots : int
        Number of slots of the available upstreams.
    """

    def __init__(self, slow_start: datetime.timedelta) -> None:
        self.slow_start = slow_start
        self.slots_by_id: dict[model.UpstreamId, UpstreamSlots] = {}
        self.total_slots = 0
        self.available: list[UpstreamSlots] = []
        self._sequence = itertools.count(1)
        self._settled_at = _ZERO

    def set_upstreams(
        self,
        upstreams: collections.abc.Iterable[model.Upstream],
        now: datetime.timedelta,
    ) -> None:
        """Replace the list of upstreams.

        Upstreams that are added after the first list begin with a slow start.
        """
        first = not self.slots_by_id
        listed = {upstream.upstream_id: upstream for upstream in upstreams}
        for upstream_id, upstream in listed.items():
            slots = self.slots_by_id.get(upstream_id)
            if slots is None:
                slots = UpstreamSlots(
                    upstream, slow_start_at=None if first else now
                )
                self.slots_by_id[upstream_id] = slots
            elif not slots.takes_new_work and not slots.ejected:
                slots.slow_start_at = now
            slots.upstream, slots.listed = upstream, True
        for upstream_id, slots in list(self.slots_by_id.items()):
            if upstream_id not in listed:
                slots.listed = slots.ejected = False
                self._forget_if_unused(upstream_id)
        self._update_available()

    def accept_inherited(self, settled_at: datetime.timedelta) -> None:
        """Learn from load reports which slots a previous placer filled."""
        self._settled_at = settled_at

    def takes_new_work(self, upstream_id: model.UpstreamId) -> bool:
        """Return whether requests may be bound to an upstream."""
        slots = self.slots_by_id.get(upstream_id)
        return slots is not None and slots.takes_new_work

    def has_free_slot(self, now: datetime.timedelta) -> bool:
        """Return whether any upstream has a free slot."""
        return any(
            self._free_slots(slots, now) > 0 for slots in self.available
        )

    def upstreams_with_free_slot(
        self, now: datetime.timedelta
    ) -> list[UpstreamSlots]:
        """Return the upstreams with a free slot, least loaded first.

        Among equally loaded upstreams, the least recently used comes first,
        which spreads requests evenly.
        """
        ranked = []
        for slots in self.available:
            if self._free_slots(slots, now) > 0:
                ranked.append(
                    (self._load(slots, now), slots.last_bind_sequence, slots)
                )
        ranked.sort(key=lambda entry: entry[:2])
        return [slots for _, _, slots in ranked]

    def occupy_slot(
        self,
        upstream_id: model.UpstreamId,
        attempt_id: AttemptId,
        now: datetime.timedelta,
    ) -> None:
        """Occupy a slot with an attempt."""
        slots = self.slots_by_id[upstream_id]
        slots.bound_at_by_attempt[attempt_id] = now
        slots.last_bind_sequence = next(self._sequence)

    def release_slot(
        self, upstream_id: model.UpstreamId, attempt_id: AttemptId
    ) -> bool:
        """Free the slot of an attempt; return False if it held none."""
        slots = self.slots_by_id.get(upstream_id)
        if (
            slots is None
            or slots.bound_at_by_attempt.pop(attempt_id, None) is None
        ):
            return False
        self._forget_if_unused(upstream_id)
        return True

    def reset_backoff(self, upstream_id: model.UpstreamId) -> None:
        """Reset the backoff of an upstream that answered a request."""
        slots = self.slots_by_id.get(upstream_id)
        if slots is not None:
            slots.backoff = _MIN_BACKOFF

    def back_off(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> None:
        """Bind nothing to an upstream for a while after it shed a request."""
        slots = self.slots_by_id.get(upstream_id)
        if slots is not None:
            slots.backoff_until = now + slots.backoff
            slots.backoff = min(2 * slots.backoff, _MAX_BACKOFF)

    def on_report(
        self, report: messages.LoadReport, now: datetime.timedelta
    ) -> None:
        """Apply a load report, unless it is outdated."""
        slots = self.slots_by_id.get(report.upstream_id)
        if slots is None or report.age > MAX_REPORT_AGE:
            return
        measured_at = now - report.age
        own = sum(
            bound_at <= measured_at
            for bound_at in slots.bound_at_by_attempt.values()
        )
        other_requests = max(0, report.running - own)
        if now < self._settled_at + MAX_REPORT_LAG:
            slots.inherited = min(other_requests, slots.upstream.slots)
        else:
            slots.inherited = min(other_requests, slots.inherited)
        slots.reported_excess = other_requests
        slots.excess_valid_until = measured_at + MAX_REPORT_AGE

    def eject(self, upstream_id: model.UpstreamId) -> None:
        """Bind nothing to an upstream until it is readmitted."""
        self.slots_by_id[upstream_id].ejected = True
        self._update_available()

    def readmit(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> None:
        """Readmit an ejected upstream with a slow start."""
        slots = self.slots_by_id[upstream_id]
        slots.ejected = False
        slots.slow_start_at = now
        self._update_available()

    def _update_available(self) -> None:
        self.available = [
            slots
            for slots in self.slots_by_id.values()
            if slots.takes_new_work
        ]
        self.total_slots = sum(
            slots.upstream.slots for slots in self.available
        )

    def _forget_if_unused(self, upstream_id: model.UpstreamId) -> None:
        slots = self.slots_by_id[upstream_id]
        if not slots.listed and not slots.bound_at_by_attempt:
            del self.slots_by_id[upstream_id]

    def _slow_start_share(
        self, slots: UpstreamSlots, now: datetime.timedelta
    ) -> float:
        if slots.slow_start_at is None:
            return 1.0
        elapsed = now - slots.slow_start_at
        if elapsed >= self.slow_start:
            slots.slow_start_at = None
            return 1.0
        return max(_MIN_SLOW_START_SHARE, elapsed / self.slow_start)

    def _free_slots(
        self, slots: UpstreamSlots, now: datetime.timedelta
    ) -> int:
        allowed = slots.upstream.slots - len(slots.bound_at_by_attempt)
        if allowed <= 0 or now < slots.backoff_until:
            return 0
        if slots.inherited:
            allowed -= self._inherited(slots, now)
        if slots.slow_start_at is not None:
            share = math.ceil(
                slots.upstream.slots * self._slow_start_share(slots, now)
            )
            allowed = min(allowed, share - len(slots.bound_at_by_attempt))
        return allowed

    def _inherited(self, slots: UpstreamSlots, now: datetime.timedelta) -> int:
        if now >= self._settled_at + INHERITED_LIFETIME:
            slots.inherited = 0
        elif now >= self._settled_at + FULL_TRUST_PERIOD:
            slots.inherited = min(slots.inherited, slots.upstream.slots - 1)
        return slots.inherited

    def _load(self, slots: UpstreamSlots, now: datetime.timedelta) -> float:
        reported_excess = (
            slots.reported_excess if now < slots.excess_valid_until else 0
        )
        own = len(slots.bound_at_by_attempt) + slots.inherited + 1
        if slots.slow_start_at is None and not reported_excess:
            return own / slots.upstream.slots
        capacity = slots.upstream.slots * self._slow_start_share(slots, now)
        return (own + min(1, reported_excess) * _REPORT_WEIGHT) / capacity

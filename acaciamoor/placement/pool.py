"""Slots of the upstreams, and the choice among free ones."""

import collections.abc
import dataclasses
import datetime
import itertools
import math

from acaciamoor import model
from acaciamoor.placement import messages

Token = tuple[int, int, int]

# A load report that was measured longer ago says nothing about now.
REPORT_LIFETIME = datetime.timedelta(seconds=2)
# Reports may lag by this much behind the end of the settle time.
LEARNING_LAG = datetime.timedelta(seconds=1)
# A request runs for at most 30 s, so slots that were taken before this host
# was the placer are free by then.
FOREIGN_LIFETIME = datetime.timedelta(seconds=30)
# Until this long after the settle time a report may mark all slots as taken;
# later one slot is always tried, since a wrong report must not stop service.
FULL_TRUST = datetime.timedelta(seconds=1)
# First pause after an upstream sheds; it doubles up to the limit.
_FIRST_HOLD = datetime.timedelta(milliseconds=20)
_LONGEST_HOLD = datetime.timedelta(milliseconds=500)
# Share of the slots at the start of a slow start.
_FIRST_SHARE = 0.1
# Weight of slots that a report adds to the own count. It orders upstreams
# with equal own counts and never outweighs an own request.
_REPORT_WEIGHT = 0.25

_ZERO = datetime.timedelta(0)


@dataclasses.dataclass(slots=True)
class Slots:
    """Use of one upstream."""

    upstream: model.Upstream
    bound_at_by_token: dict[Token, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )
    started_at: datetime.timedelta | None = None
    listed: bool = True
    ejected: bool = False
    foreign: int = 0
    excess: int = 0
    excess_until: datetime.timedelta = _ZERO
    held_until: datetime.timedelta = _ZERO
    hold: datetime.timedelta = _FIRST_HOLD
    last_bound: int = 0

    @property
    def takes_new_work(self) -> bool:
        """Whether requests may be bound to the upstream."""
        return (
            self.listed and not self.ejected and self.upstream.takes_new_work
        )


class UpstreamPool:
    """Upstreams of a service with the slots in use.

    The number of own requests at an upstream is exact and is never let above
    its slots. Reports only add to it: they show slots that a previous placer
    has filled, and they order upstreams with equal own counts.

    Parameters
    ----------
    slow_start : datetime.timedelta
        Time over which a new or readmitted upstream reaches its full share.

    Attributes
    ----------
    in_use : list of Slots
        The upstreams that take new work.
    total_slots : int
        Their slots.
    """

    def __init__(self, slow_start: datetime.timedelta) -> None:
        self.slow_start = slow_start
        self.slots_by_id: dict[model.UpstreamId, Slots] = {}
        self.total_slots = 0
        self.in_use: list[Slots] = []
        self._sequence = itertools.count(1)
        self._settled_at = _ZERO

    def set_upstreams(
        self,
        upstreams: collections.abc.Iterable[model.Upstream],
        now: datetime.timedelta,
    ) -> None:
        """Apply the list of upstreams; all but the first list start slowly."""
        first = not self.slots_by_id
        listed = {item.upstream_id: item for item in upstreams}
        for upstream_id, upstream in listed.items():
            slots = self.slots_by_id.get(upstream_id)
            if slots is None:
                slots = Slots(upstream, started_at=None if first else now)
                self.slots_by_id[upstream_id] = slots
            elif not slots.takes_new_work and not slots.ejected:
                slots.started_at = now
            slots.upstream, slots.listed = upstream, True
        for upstream_id, slots in list(self.slots_by_id.items()):
            if upstream_id not in listed:
                slots.listed = slots.ejected = False
                self._forget_if_unused(upstream_id)
        self._update_in_use()

    def start_learning(self, settled_at: datetime.timedelta) -> None:
        """Learn from reports which slots a previous placer has filled."""
        self._settled_at = settled_at

    def takes_new_work(self, upstream_id: model.UpstreamId) -> bool:
        """Return whether requests may be bound to an upstream."""
        slots = self.slots_by_id.get(upstream_id)
        return slots is not None and slots.takes_new_work

    def has_free(self, now: datetime.timedelta) -> bool:
        """Return whether any upstream has a free slot."""
        return any(self._free_slots(slots, now) > 0 for slots in self.in_use)

    def free(self, now: datetime.timedelta) -> list[Slots]:
        """Return the upstreams with a free slot, best first.

        The least loaded comes first; among equals, the one that was bound
        least recently, which spreads requests evenly.
        """
        ranked = []
        for slots in self.in_use:
            if self._free_slots(slots, now) > 0:
                ranked.append(
                    (self._load(slots, now), slots.last_bound, slots)
                )
        ranked.sort(key=lambda entry: entry[:2])
        return [slots for _, _, slots in ranked]

    def occupy(
        self,
        upstream_id: model.UpstreamId,
        token: Token,
        now: datetime.timedelta,
    ) -> None:
        """Take a slot for an attempt."""
        slots = self.slots_by_id[upstream_id]
        slots.bound_at_by_token[token] = now
        slots.last_bound = next(self._sequence)

    def release(self, upstream_id: model.UpstreamId, token: Token) -> bool:
        """Free the slot of an attempt; False if it held none."""
        slots = self.slots_by_id.get(upstream_id)
        if slots is None or slots.bound_at_by_token.pop(token, None) is None:
            return False
        self._forget_if_unused(upstream_id)
        return True

    def answered(self, upstream_id: model.UpstreamId) -> None:
        """Note that an upstream runs work, so that sheds start anew."""
        slots = self.slots_by_id.get(upstream_id)
        if slots is not None:
            slots.hold = _FIRST_HOLD

    def shed(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> None:
        """Send nothing to an upstream for a while after it shed."""
        slots = self.slots_by_id.get(upstream_id)
        if slots is not None:
            slots.held_until = now + slots.hold
            slots.hold = min(2 * slots.hold, _LONGEST_HOLD)

    def on_report(
        self, report: messages.LoadReport, now: datetime.timedelta
    ) -> None:
        """Take a load report, unless it is too old."""
        slots = self.slots_by_id.get(report.upstream_id)
        if slots is None or report.age > REPORT_LIFETIME:
            return
        measured_at = now - report.age
        own = sum(
            bound_at <= measured_at
            for bound_at in slots.bound_at_by_token.values()
        )
        others = max(0, report.running - own)
        if now < self._settled_at + LEARNING_LAG:
            slots.foreign = min(others, slots.upstream.slots)
        else:
            slots.foreign = min(others, slots.foreign)
        slots.excess = others
        slots.excess_until = measured_at + REPORT_LIFETIME

    def eject(self, upstream_id: model.UpstreamId) -> None:
        """Take an upstream out of use."""
        self.slots_by_id[upstream_id].ejected = True
        self._update_in_use()

    def restart(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> None:
        """Readmit an ejected upstream with a slow start."""
        slots = self.slots_by_id[upstream_id]
        slots.ejected = False
        slots.started_at = now
        self._update_in_use()

    def _update_in_use(self) -> None:
        self.in_use = [
            slots
            for slots in self.slots_by_id.values()
            if slots.takes_new_work
        ]
        self.total_slots = sum(slots.upstream.slots for slots in self.in_use)

    def _forget_if_unused(self, upstream_id: model.UpstreamId) -> None:
        slots = self.slots_by_id[upstream_id]
        if not slots.listed and not slots.bound_at_by_token:
            del self.slots_by_id[upstream_id]

    def _share(self, slots: Slots, now: datetime.timedelta) -> float:
        if slots.started_at is None:
            return 1.0
        elapsed = now - slots.started_at
        if elapsed >= self.slow_start:
            slots.started_at = None
            return 1.0
        return max(_FIRST_SHARE, elapsed / self.slow_start)

    def _free_slots(self, slots: Slots, now: datetime.timedelta) -> int:
        allowed = slots.upstream.slots - len(slots.bound_at_by_token)
        if allowed <= 0 or now < slots.held_until:
            return 0
        if slots.foreign:
            allowed -= self._foreign(slots, now)
        if slots.started_at is not None:
            share = math.ceil(slots.upstream.slots * self._share(slots, now))
            allowed = min(allowed, share - len(slots.bound_at_by_token))
        return allowed

    def _foreign(self, slots: Slots, now: datetime.timedelta) -> int:
        if now >= self._settled_at + FOREIGN_LIFETIME:
            slots.foreign = 0
        elif now >= self._settled_at + FULL_TRUST:
            slots.foreign = min(slots.foreign, slots.upstream.slots - 1)
        return slots.foreign

    def _load(self, slots: Slots, now: datetime.timedelta) -> float:
        excess = slots.excess if now < slots.excess_until else 0
        own = len(slots.bound_at_by_token) + slots.foreign + 1
        if slots.started_at is None and not excess:
            return own / slots.upstream.slots
        capacity = slots.upstream.slots * self._share(slots, now)
        return (own + min(1, excess) * _REPORT_WEIGHT) / capacity

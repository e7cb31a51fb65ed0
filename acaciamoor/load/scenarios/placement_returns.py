"""Callers that are refused at a peak of demand, and return.

The placer is the product's; callers and upstreams are modelled on virtual
time. Callers want an answer within some seconds and come back when they were
told to, or, as the baseline, after a delay of their own that doubles.
"""

import collections
import dataclasses
import datetime
import heapq
import itertools
import random

from acaciamoor import clock as clocks
from acaciamoor import model
from acaciamoor import placement
from acaciamoor import wire
from acaciamoor.load import measurement
from acaciamoor.load.scenarios import registry as registries
from acaciamoor.placement import returns

NAME = 'placement-returns'
_SECOND = datetime.timedelta(seconds=1)
_TICK_S = 0.01
# Mean running time of a request, and time between callers and the placer.
_RUN_TIME_S = 0.01
_ONE_WAY_S = 0.001
# Time after which callers abandon a request.
PATIENCE_S = 3.0
# First delay of callers that are not told when to return, and its maximum.
_FIRST_DELAY_S = 0.1
_MAX_DELAY_S = 1.0
_UPSTREAMS = 4
_SLOTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Peak:
    """Demand over time, relative to the capacity of all slots.

    Parameters
    ----------
    name : str
        Name of the pattern in results.
    phases : tuple
        Duration in seconds and demand of each phase.
    """

    name: str
    phases: tuple[tuple[float, float], ...]


# The usual demand, a peak that is served in the time after it, and one that
# lasts longer than callers wait.
SHORT_PEAK = Peak('short peak', ((2.0, 0.6), (1.0, 2.5), (4.0, 0.6)))
LONG_PEAK = Peak('long peak', ((2.0, 0.6), (5.0, 1.6), (4.0, 0.6)))
RETURN_OF_ALL = Peak('return of all', ((2.0, 0.6), (0.2, 8.0), (4.0, 0.6)))
PEAKS = (SHORT_PEAK, LONG_PEAK, RETURN_OF_ALL)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What callers got.

    Parameters
    ----------
    served : float
        Share of the requests that were answered before their callers left.
    worst_second : float
        The same in the second in which it is the lowest.
    refusals : float
        Refusals for each request.
    overtaken : float
        Share of the served requests of the peak that came after an unserved
        one.
    """

    served: float
    worst_second: float
    refusals: float
    overtaken: float


@dataclasses.dataclass(slots=True)
class _Caller:
    flow: int
    arrived_at: float
    request: int = 0
    delay_s: float = _FIRST_DELAY_S
    served: bool = False
    refusals: int = 0


class NoReturns(returns.ReturnSchedule):
    """Baseline: promises nothing."""

    def reserve(self, *_) -> datetime.timedelta:
        return datetime.timedelta(0)


class ReturnSimulation:
    """One replay of a peak.

    Parameters
    ----------
    peak : Peak
        Demand of the callers.
    seed : int
        Seed of arrivals, run times and jitter.
    told : bool
        Whether callers return when they are told to.
    """

    def __init__(self, peak: Peak, seed: int, told: bool) -> None:
        self._peak = peak
        self._told = told
        self._rng = random.Random(seed)
        self._clock = clocks.ManualClock()
        self._placer = placement.Placer(
            self._clock, random.Random(seed + 1), model.Policy()
        )
        if not told:
            self._placer._dispatcher.returns = NoReturns(self._rng)
        self._events: list = []
        self._numbers = itertools.count(1)
        self._callers_by_flow: dict[int, _Caller] = {}
        self._end = sum(duration for duration, _ in peak.phases)

    def run(self) -> Outcome:
        """Replay the peak; return what callers got."""
        self._placer.set_upstreams(
            model.Upstream(
                model.UpstreamId(f'board-{number}'),
                model.DataCentre('kgn-a'),
                model.Address('127.0.0.1', 9000 + number),
                slots=_SLOTS,
            )
            for number in range(_UPSTREAMS)
        )
        self._placer.set_lease(holds=True)
        self._clock.advance(1.1 * _SECOND)
        self._start = self._now()
        self._schedule_arrivals()
        self._schedule(0.0, self._tick)
        while self._events:
            when, _, action, arguments = heapq.heappop(self._events)
            gap = when - self._now()
            if gap > 0:
                self._clock.advance(gap * _SECOND)
            action(*arguments)
        return self._outcome()

    def _now(self) -> float:
        return self._clock.monotonic() / _SECOND

    def _schedule(self, delay: float, action, *arguments) -> None:
        event = (self._now() + delay, next(self._numbers), action, arguments)
        heapq.heappush(self._events, event)

    def _schedule_arrivals(self) -> None:
        capacity = _UPSTREAMS * _SLOTS / _RUN_TIME_S
        at = start = 0.0
        for duration, demand in self._peak.phases:
            start += duration
            while at < start:
                at += self._rng.expovariate(demand * capacity)
                caller = _Caller(next(self._numbers), at)
                self._callers_by_flow[caller.flow] = caller
                self._schedule(at, self._send, caller)

    def _tick(self) -> None:
        self._carry_out(self._placer.tick())
        if self._now() < self._start + self._end + PATIENCE_S:
            self._schedule(_TICK_S, self._tick)

    def _time_left(self, caller: _Caller) -> float:
        return caller.arrived_at + PATIENCE_S - (self._now() - self._start)

    def _send(self, caller: _Caller) -> None:
        time_left = self._time_left(caller)
        caller.request += 1
        now = self._clock.monotonic()
        self._carry_out(
            self._placer.submit(
                placement.RequestPart(
                    flow=caller.flow,
                    request=caller.request,
                    attempt=0,
                    idempotent=False,
                    age=datetime.timedelta(0),
                    deadline=now + time_left * _SECOND,
                )
            )
        )

    def _carry_out(self, effects: list[placement.Effect]) -> None:
        for effect in effects:
            if isinstance(effect, placement.Bind):
                self._schedule(
                    self._rng.expovariate(1 / _RUN_TIME_S),
                    self._answer,
                    effect,
                )
            elif isinstance(effect, placement.Reply):
                caller = self._callers_by_flow[effect.request_part.flow]
                if effect.outcome is wire.Outcome.COMPLETE:
                    caller.served = True
                elif effect.outcome is wire.Outcome.NOT_RUN:
                    self._return_later(caller, effect.retry_after)

    def _answer(self, bind: placement.Bind) -> None:
        part = bind.request_part
        self._carry_out(
            self._placer.on_answer(
                placement.Answer(
                    bind.upstream.upstream_id,
                    part.flow,
                    part.request,
                    part.attempt,
                )
            )
        )

    def _return_later(
        self, caller: _Caller, retry_after: datetime.timedelta
    ) -> None:
        caller.refusals += 1
        delay = retry_after / _SECOND
        if not self._told:
            delay = caller.delay_s * (0.5 + self._rng.random())
            caller.delay_s = min(_MAX_DELAY_S, 2 * caller.delay_s)
        delay += 2 * _ONE_WAY_S
        if delay < self._time_left(caller):
            self._schedule(delay, self._send, caller)

    def _outcome(self) -> Outcome:
        callers = sorted(
            self._callers_by_flow.values(), key=lambda item: item.arrived_at
        )
        counts = collections.Counter(int(item.arrived_at) for item in callers)
        served = collections.Counter(
            int(item.arrived_at) for item in callers if item.served
        )
        unserved = [item.arrived_at for item in callers if not item.served]
        overtaken = [
            item
            for item in callers
            if item.served and unserved and item.arrived_at > unserved[0]
        ]
        return Outcome(
            served.total() / counts.total(),
            min(served[second] / counts[second] for second in counts),
            sum(item.refusals for item in callers) / len(callers),
            len(overtaken) / max(1, served.total()),
        )


def run(options: registries.Options) -> list[measurement.Measurement]:
    """Replay all peaks, with callers that are told when to return or not."""
    return [
        measurement.Measurement(
            NAME,
            variant,
            f'{peak.name}: {measure}',
            value,
            unit,
            None,
            options.seed,
        )
        for peak in PEAKS
        for variant, told in (
            (measurement.Variant.ACACIAMOOR, True),
            (measurement.Variant.NAIVE, False),
        )
        for outcome in (ReturnSimulation(peak, options.seed, told).run(),)
        for measure, value, unit in (
            ('served', outcome.served, 'share'),
            ('served in the worst second', outcome.worst_second, 'share'),
            ('refusals', outcome.refusals, 'per request'),
        )
    ]

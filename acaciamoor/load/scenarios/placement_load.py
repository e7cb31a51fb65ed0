"""Load of the placement scenarios, and statistics of its requests."""

import collections.abc
import dataclasses
import datetime
import math
import random

from acaciamoor.load.scenarios import placement_oracle as oracles
from acaciamoor.load.scenarios import placement_settings as world_settings
from acaciamoor.load.scenarios import placement_world as worlds
from acaciamoor.requests import request_part as request_parts
from acaciamoor.wire import envelope as wire

MEAN_RUN_TIME = datetime.timedelta(milliseconds=10)
STRAGGLER_FACTOR = 50.0
Rate = collections.abc.Callable[[datetime.timedelta], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Mix:
    """Distribution of requests and behaviour of their callers.

    Parameters
    ----------
    straggler_share : float
        Share of requests that are stragglers.
    declared_share : float
        Share of the stragglers that callers declare long.
    straggler_factor : float
        Ratio of the run time of stragglers to that of other requests.
    timeout : datetime.timedelta
        Timeout of the callers.
    retransmissions : tuple of datetime.timedelta
        Delays of the retransmissions after the first attempt.
    """

    straggler_share: float = 0.05
    declared_share: float = 0.5
    straggler_factor: float = STRAGGLER_FACTOR
    timeout: datetime.timedelta = datetime.timedelta(seconds=10)
    retransmissions: tuple[datetime.timedelta, ...] = ()

    @property
    def mean_run_time(self) -> datetime.timedelta:
        """Mean run time of all requests, including stragglers."""
        return MEAN_RUN_TIME * (
            1 + self.straggler_share * (self.straggler_factor - 1)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class SentRequest:
    """A request that a caller sent, and its run time at normal speed."""

    record: oracles.CallerRecord
    run_time: datetime.timedelta
    straggler: bool

    @property
    def completed(self) -> bool:
        """Whether the caller received the answer."""
        return self.record.outcome is wire.Outcome.COMPLETE


class Load:
    """Poisson arrivals that depend on the seed, not on the implementation.

    Parameters
    ----------
    world : worlds.World
        Simulation that receives the requests.
    mix : Mix
        Distribution of requests.
    rate : Callable
        Function of the time since the start; returns requests per second.
    seed : int
        Seed of arrivals and run times.
    """

    def __init__(
        self, world: worlds.World, mix: Mix, rate: Rate, seed: int
    ) -> None:
        self.requests: list[SentRequest] = []
        self.start = world.now
        self._world = world
        self._mix = mix
        self._rate = rate
        self._rng = random.Random(seed)
        self._end = world.now

    def run(
        self, duration: datetime.timedelta, drain_time: datetime.timedelta
    ) -> None:
        """Send requests for `duration`, then run on for `drain_time`."""
        self._end = self._world.now + duration
        self._arrive()
        self._world.run_for(duration + drain_time)

    def _arrive(self) -> None:
        world, rng, mix = self._world, self._rng, self._mix
        if world.now >= self._end:
            return
        straggler = rng.random() < mix.straggler_share
        declared = rng.random() < mix.declared_share
        seconds = rng.expovariate(1.0) * MEAN_RUN_TIME.total_seconds()
        if straggler:
            seconds *= mix.straggler_factor
        run_time = datetime.timedelta(seconds=seconds)
        key = request_parts.RequestKey(rng.getrandbits(64), 1)
        declared_long = straggler and declared
        size = wire.SizeClass.LONG if declared_long else wire.SizeClass.UNKNOWN
        record = world.send(key, run_time, mix.timeout, size_class=size)
        self.requests.append(SentRequest(record, run_time, straggler))
        for delay in mix.retransmissions:
            world.network.call_later(
                delay, lambda: self._retransmit(key, record)
            )
        gap = rng.expovariate(self._rate(world.now - self.start))
        world.network.call_later(datetime.timedelta(seconds=gap), self._arrive)

    def _retransmit(
        self, key: request_parts.RequestKey, record: oracles.CallerRecord
    ) -> None:
        if record.ended_at is None:
            self._world.retransmit(key)


def capacity(settings: world_settings.WorldSettings, mix: Mix) -> float:
    """Return the requests per second that occupy all slots."""
    slots = settings.upstreams * settings.slots
    return slots / mix.mean_run_time.total_seconds()


def percentile_ms(
    values: collections.abc.Iterable[datetime.timedelta], share: float
) -> float:
    """Return a nearest-rank percentile in milliseconds; 0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    rank = max(1, math.ceil(share * len(ordered)))
    return ordered[rank - 1] / datetime.timedelta(milliseconds=1)


def short_p99_ms(requests: collections.abc.Iterable[SentRequest]) -> float:
    """Return the 99th percentile latency of completed short requests."""
    return percentile_ms(
        (
            item.record.latency
            for item in requests
            if item.completed and not item.straggler
        ),
        0.99,
    )

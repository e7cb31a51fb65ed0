"""Arrivals for the placement experiments, and figures from their records."""

import collections.abc
import dataclasses
import datetime
import math
import random

from acaciamoor.load.scenarios import placement_oracle as oracles
from acaciamoor.load.scenarios import placement_settings as world_settings
from acaciamoor.load.scenarios import placement_world as worlds
from acaciamoor.requests import work as works
from acaciamoor.wire import envelope as wire

MEAN_SERVICE = datetime.timedelta(milliseconds=10)
STRAGGLER_FACTOR = 50.0
Rate = collections.abc.Callable[[datetime.timedelta], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Mix:
    """Kinds of requests.

    Parameters
    ----------
    stragglers : float
        Share of requests that run `STRAGGLER_FACTOR` times longer.
    announced : float
        Share of the stragglers that are announced as long.
    factor : float
        How many times longer the stragglers run.
    timeout : datetime.timedelta
        Time until a caller gives up.
    retransmissions : tuple of datetime.timedelta
        Times of the further attempts, from the first.
    """

    stragglers: float = 0.05
    announced: float = 0.5
    factor: float = STRAGGLER_FACTOR
    timeout: datetime.timedelta = datetime.timedelta(seconds=10)
    retransmissions: tuple[datetime.timedelta, ...] = ()

    @property
    def mean_service(self) -> datetime.timedelta:
        """Mean running time of a request."""
        return MEAN_SERVICE * (1 + self.stragglers * (self.factor - 1))


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """One request of the experiment."""

    record: oracles.CallerRecord
    service: datetime.timedelta
    straggler: bool

    @property
    def completed(self) -> bool:
        """Whether its caller got the answer."""
        return self.record.outcome is wire.Outcome.COMPLETE


class Load:
    """Poisson arrivals that are equal for all variants of a seed.

    Parameters
    ----------
    world : worlds.World
        Where requests are sent.
    mix : Mix
        Kinds of requests.
    rate : Callable
        Requests per second at a time since the start.
    seed : int
        Seed of arrivals and running times.
    """

    def __init__(
        self, world: worlds.World, mix: Mix, rate: Rate, seed: int
    ) -> None:
        self.sent: list[Sent] = []
        self.start = world.now
        self._world = world
        self._mix = mix
        self._rate = rate
        self._rng = random.Random(seed)
        self._end = world.now

    def run(
        self, duration: datetime.timedelta, rest: datetime.timedelta
    ) -> None:
        """Send for `duration`, then let the requests end for `rest`."""
        self._end = self._world.now + duration
        self._arrive()
        self._world.run_for(duration + rest)

    def _arrive(self) -> None:
        world, rng, mix = self._world, self._rng, self._mix
        if world.now >= self._end:
            return
        straggler = rng.random() < mix.stragglers
        announced = rng.random() < mix.announced
        seconds = rng.expovariate(1.0) * MEAN_SERVICE.total_seconds()
        if straggler:
            seconds *= mix.factor
        service = datetime.timedelta(seconds=seconds)
        key = works.RequestKey(rng.getrandbits(64), 1)
        long = straggler and announced
        size = wire.SizeClass.LONG if long else wire.SizeClass.UNKNOWN
        record = world.send(key, service, mix.timeout, size_class=size)
        self.sent.append(Sent(record, service, straggler))
        for delay in mix.retransmissions:
            world.network.call_later(
                delay, lambda: self._retransmit(key, record)
            )
        gap = rng.expovariate(self._rate(world.now - self.start))
        world.network.call_later(datetime.timedelta(seconds=gap), self._arrive)

    def _retransmit(
        self, key: works.RequestKey, record: oracles.CallerRecord
    ) -> None:
        if record.ended_at is None:
            self._world.retransmit(key)


def capacity(settings: world_settings.WorldSettings, mix: Mix) -> float:
    """Return the requests per second that fill all slots."""
    slots = settings.upstreams * settings.slots
    return slots / mix.mean_service.total_seconds()


def percentile_ms(
    values: collections.abc.Iterable[datetime.timedelta], share: float
) -> float:
    """Return a percentile in milliseconds (nearest rank); 0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    rank = max(1, math.ceil(share * len(ordered)))
    return ordered[rank - 1] / datetime.timedelta(milliseconds=1)


def short_p99_ms(sent: collections.abc.Iterable[Sent]) -> float:
    """Return the 99th percentile of the latency of completed short work."""
    return percentile_ms(
        (
            item.record.latency
            for item in sent
            if item.completed and not item.straggler
        ),
        0.99,
    )

"""Slopes of the placer and its ledger."""

import datetime
import random

from acaciamoor import model
from acaciamoor import placement
from acaciamoor import requests
from acaciamoor.load import scaling
from acaciamoor.load.capacity import samples

_UPSTREAM_COUNTS = (2, 7, 64)
_ENTRY_COUNTS = (10_000, 50_000, 200_000)
_REQUESTS = 2_000
_SETTLED = datetime.timedelta(seconds=2)
_TIMEOUT = datetime.timedelta(seconds=10)


def placer_slopes(seed: int) -> list[scaling.ScalingFit]:
    """Return the time of one request at its placer by upstreams."""
    points = [
        scaling.Sample(
            count,
            samples.seconds_of(lambda count=count: _serve(count, seed))
            / _REQUESTS,
        )
        for count in _UPSTREAM_COUNTS
    ]
    return [
        scaling.fit_samples(
            'processor time of a request at its placer',
            's',
            'upstreams of the shard',
            points,
        )
    ]


def ledger_slopes(seed: int) -> list[scaling.ScalingFit]:
    """Return the memory of the ledger by requests on record."""
    points = [
        scaling.Sample(
            count, samples.memory_of(lambda count=count: _ledger(count))
        )
        for count in _ENTRY_COUNTS
    ]
    return [
        scaling.fit_samples(
            'memory of the ledger', 'B', 'requests on record', points
        )
    ]


def _work(number: int, now: datetime.timedelta) -> placement.Work:
    return placement.Work(
        flow=number,
        request=1,
        attempt=0,
        idempotent=False,
        age=datetime.timedelta(0),
        deadline=now + _TIMEOUT,
    )


def _serve(upstreams: int, seed: int) -> None:
    clock = samples.clock()
    placer = placement.Placer(clock, random.Random(seed), model.Policy())
    placer.set_upstreams(
        samples.service(1, upstreams).upstreams_by_id.values()
    )
    placer.set_lease(holds=True)
    step = datetime.timedelta(milliseconds=10)
    while clock.monotonic() < _SETTLED:
        clock.advance(step)
        placer.tick()
    for number in range(_REQUESTS):
        effects = placer.submit(_work(number, clock.monotonic()))
        clock.advance(datetime.timedelta(milliseconds=1))
        _answer(placer, effects)


def _answer(placer: placement.Placer, effects: list) -> None:
    for effect in effects:
        if isinstance(effect, placement.Bind):
            placer.on_answer(
                placement.Answer(
                    effect.upstream.upstream_id,
                    effect.work.flow,
                    effect.work.request,
                    effect.work.attempt,
                )
            )


def _ledger(entries: int) -> requests.RequestLedger:
    clock = samples.clock()
    ledger = requests.RequestLedger(clock)
    for number in range(entries):
        ledger.admit(_work(number, clock.monotonic()))
    return ledger

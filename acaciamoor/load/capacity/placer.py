"""Measurements of the placer and the request ledger against size."""

import datetime
import random

from acaciamoor import model
from acaciamoor import placement
from acaciamoor import requests
from acaciamoor.load import scaling
from acaciamoor.load.capacity import measuring

_UPSTREAM_COUNTS = (2, 7, 64)
_ENTRY_COUNTS = (10_000, 50_000, 200_000)
_REQUEST_COUNT = 2_000
_SETTLE_TIME = datetime.timedelta(seconds=2)
_TIMEOUT = datetime.timedelta(seconds=10)


def measure_placer(seed: int) -> list[scaling.ScalingFit]:
    """Measure processor time of a request at its placer, by upstream count."""
    points = [
        scaling.Sample(
            count,
            measuring.min_processor_seconds(
                lambda count=count: _run_requests(count, seed)
            )
            / _REQUEST_COUNT,
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


def measure_ledger(seed: int) -> list[scaling.ScalingFit]:
    """Measure the memory of the ledger, by number of recorded requests."""
    points = [
        scaling.Sample(
            count,
            measuring.allocated_bytes(
                lambda count=count: _build_ledger(count)
            ),
        )
        for count in _ENTRY_COUNTS
    ]
    return [
        scaling.fit_samples(
            'memory of the ledger', 'B', 'requests on record', points
        )
    ]


def _build_request(
    number: int, now: datetime.timedelta
) -> placement.RequestPart:
    return placement.RequestPart(
        flow=number,
        request=1,
        attempt=0,
        idempotent=False,
        age=datetime.timedelta(0),
        deadline=now + _TIMEOUT,
    )


def _run_requests(upstreams: int, seed: int) -> None:
    clock = measuring.manual_clock()
    placer = placement.Placer(clock, random.Random(seed), model.Policy())
    placer.set_upstreams(
        measuring.build_service(1, upstreams).upstreams_by_id.values()
    )
    placer.set_lease(holds=True)
    step = datetime.timedelta(milliseconds=10)
    while clock.monotonic() < _SETTLE_TIME:
        clock.advance(step)
        placer.tick()
    for number in range(_REQUEST_COUNT):
        effects = placer.submit(_build_request(number, clock.monotonic()))
        clock.advance(datetime.timedelta(milliseconds=1))
        _answer_bound_requests(placer, effects)


def _answer_bound_requests(placer: placement.Placer, effects: list) -> None:
    for effect in effects:
        if isinstance(effect, placement.Bind):
            placer.on_answer(
                placement.Answer(
                    effect.upstream.upstream_id,
                    effect.request_part.flow,
                    effect.request_part.request,
                    effect.request_part.attempt,
                )
            )


def _build_ledger(entries: int) -> requests.RequestLedger:
    clock = measuring.manual_clock()
    ledger = requests.RequestLedger(clock)
    for number in range(entries):
        ledger.admit(_build_request(number, clock.monotonic()))
    return ledger

"""Processor time of the placer and memory of the ledger, at three sizes."""

import datetime
import random
import time
import tracemalloc

from acaciamoor import clock as clocks
from acaciamoor.load import measurement
from acaciamoor.load.scenarios import placement_measurements
from acaciamoor.load.scenarios import registry as registries
from acaciamoor.model import address as addresses
from acaciamoor.model import identifiers
from acaciamoor.model import policy as policies
from acaciamoor.model import upstream as upstream_models
from acaciamoor.placement import messages
from acaciamoor.placement import placer as placers
from acaciamoor.requests import ledger as ledgers
from acaciamoor.requests import request_part as request_parts

UPSTREAM_COUNTS = (7, 28, 64)
LEDGER_ENTRY_COUNTS = (5_000, 20_000, 80_000)
_REQUESTS = 10_000
_SECOND = datetime.timedelta(seconds=1)
_ARRIVAL_INTERVAL = datetime.timedelta(microseconds=700)


def run_capacity(
    options: registries.Options,
) -> list[measurement.Measurement]:
    """Measure microseconds per request and bytes per ledger entry."""
    collector = placement_measurements.MeasurementCollector(
        'placement-capacity', options.seed
    )
    for size in UPSTREAM_COUNTS:
        collector.add(
            None,
            f'placer core, {size} upstreams',
            _microseconds_per_request(size, options.seed),
            'us/request',
        )
    for size in LEDGER_ENTRY_COUNTS:
        collector.add(
            None,
            f'ledger, {size} entries',
            _bytes_per_entry(size),
            'bytes/entry',
        )
    return collector.measurements


def _make_request_part(
    number: int, now: datetime.timedelta
) -> request_parts.RequestPart:
    return request_parts.RequestPart(
        # The odd factor spreads the identifiers over 64 bits, without repeats.
        flow=(number * 0x9E3779B97F4A7C15) % (1 << 64),
        request=1,
        attempt=0,
        idempotent=False,
        age=datetime.timedelta(0),
        deadline=now + 10 * _SECOND,
    )


def _microseconds_per_request(upstreams: int, seed: int) -> float:
    clock = clocks.ManualClock()
    placer = placers.Placer(clock, random.Random(seed), policies.Policy())
    placer.set_upstreams(
        upstream_models.Upstream(
            identifiers.UpstreamId(f'lots-{index}'),
            identifiers.DataCentre('quimper'),
            addresses.Address('127.0.0.1', 9000 + index),
        )
        for index in range(upstreams)
    )
    placer.set_lease(holds=True)
    clock.advance(_SECOND)
    bound: list[messages.Bind] = []
    # Keeps 60% of the slots in use; each upstream has two.
    bound_limit = 6 * 2 * upstreams // 10
    started = time.perf_counter()
    for number in range(_REQUESTS):
        clock.advance(_ARRIVAL_INTERVAL)
        effects = placer.submit(_make_request_part(number, clock.monotonic()))
        if len(bound) >= bound_limit:
            effects += placer.on_answer(_make_answer(bound.pop(0)))
        bound += [item for item in effects if isinstance(item, messages.Bind)]
        # Ticks about every 10 ms of virtual time.
        if number % 14 == 0:
            placer.tick()
    return (time.perf_counter() - started) / _REQUESTS * 1e6


def _make_answer(bind: messages.Bind) -> messages.Answer:
    return messages.Answer(
        bind.upstream.upstream_id,
        bind.request_part.flow,
        bind.request_part.request,
        bind.request_part.attempt,
    )


def _bytes_per_entry(entries: int) -> float:
    clock = clocks.ManualClock()
    ledger = ledgers.RequestLedger(clock)
    upstream_id = identifiers.UpstreamId('lots-1')
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(entries):
        clock.advance(_ARRIVAL_INTERVAL)
        request_part = _make_request_part(number, clock.monotonic())
        ledger.admit(request_part)
        ledger.mark_bound(request_part.key, upstream_id, 0)
        ledger.mark_completed(request_part.key, (None,))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / entries

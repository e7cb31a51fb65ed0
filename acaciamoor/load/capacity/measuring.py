"""Functions that measure time and memory, and builders of sample objects."""

import collections.abc
import gc
import time
import tracemalloc

from acaciamoor import clock as clocks
from acaciamoor import model

DATA_CENTRE = model.DataCentre('kgn-a')
_FIRST_PORT = 10_000
_RUN_COUNT = 5


def manual_clock() -> clocks.ManualClock:
    """Return a clock that only advances when told to."""
    return clocks.ManualClock()


def build_service(number: int, upstreams: int) -> model.Service:
    """Return a service with `upstreams` upstreams in `DATA_CENTRE`."""
    created = [
        model.Upstream(
            model.UpstreamId(f'service-{number}-{index}'),
            DATA_CENTRE,
            model.Address(_ip_address(number), _FIRST_PORT + index),
            control=model.Address(_ip_address(number), _FIRST_PORT + index),
        )
        for index in range(upstreams)
    ]
    return model.Service(
        model.ServiceId(number),
        f'service-{number}',
        model.Address(_ip_address(number), _FIRST_PORT - 1),
        {upstream.upstream_id: upstream for upstream in created},
    )


def allocated_bytes(build: collections.abc.Callable[[], object]) -> int:
    """Return the memory of the object that `build` returns, in bytes."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        result = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        del result
    finally:
        tracemalloc.stop()
    return after - before


def min_processor_seconds(call: collections.abc.Callable[[], object]) -> float:
    """Return the minimum processor time of several runs, in seconds."""
    best = float('inf')
    for _ in range(_RUN_COUNT):
        start = time.process_time()
        call()
        best = min(best, time.process_time() - start)
    return best


def _ip_address(number: int) -> str:
    return f'127.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255 or 1}'

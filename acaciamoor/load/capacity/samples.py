"""Sample objects and measuring helpers of the capacity program."""

import collections.abc
import gc
import time
import tracemalloc

from acaciamoor import clock as clocks
from acaciamoor import model

DATA_CENTRE = model.DataCentre('kgn-a')
_FIRST_PORT = 10_000
_REPEATS = 5


def clock() -> clocks.ManualClock:
    """Return a clock that stands still."""
    return clocks.ManualClock()


def service(number: int, upstreams: int) -> model.Service:
    """Return a service with `upstreams` upstreams in one data centre."""
    members = [
        model.Upstream(
            model.UpstreamId(f'service-{number}-{index}'),
            DATA_CENTRE,
            model.Address(_ip(number), _FIRST_PORT + index),
            control=model.Address(_ip(number), _FIRST_PORT + index),
        )
        for index in range(upstreams)
    ]
    return model.Service(
        model.ServiceId(number),
        f'service-{number}',
        model.Address(_ip(number), _FIRST_PORT - 1),
        {member.upstream_id: member for member in members},
    )


def memory_of(build: collections.abc.Callable[[], object]) -> int:
    """Return the bytes that what `build` returns keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        built = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        del built
    finally:
        tracemalloc.stop()
    return after - before


def seconds_of(call: collections.abc.Callable[[], object]) -> float:
    """Return the least processor time that `call` took in some runs."""
    best = float('inf')
    for _ in range(_REPEATS):
        start = time.process_time()
        call()
        best = min(best, time.process_time() - start)
    return best


def _ip(number: int) -> str:
    return f'127.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255 or 1}'

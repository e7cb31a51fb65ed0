"""Periodic tasks and shutdown of the stand-in processes."""

import asyncio
import collections.abc
import contextlib
import datetime
import signal


async def run_periodically(
    interval: datetime.timedelta, action: collections.abc.Callable[[], None]
) -> None:
    """Call `action` once per `interval` until cancelled."""
    while True:
        await asyncio.sleep(interval.total_seconds())
        action()


async def run_until_stopped(
    coroutines: collections.abc.Iterable[collections.abc.Coroutine] = (),
) -> None:
    """Run `coroutines` until SIGTERM or SIGINT, then cancel them."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    tasks = [loop.create_task(coroutine) for coroutine in coroutines]
    await stop_requested.wait()
    for task in tasks:
        task.cancel()
    for task in tasks:
        with contextlib.suppress(asyncio.CancelledError):
            await task

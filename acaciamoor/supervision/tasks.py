"""Starts and restarts of background tasks."""

import asyncio
import collections.abc
import datetime
import logging

_LOG = logging.getLogger(__name__)
# Bounds the log lines and the work of a task that fails at every start.
RESTART_DELAY = datetime.timedelta(seconds=1)


def spawn(
    coroutine: collections.abc.Coroutine[object, object, None],
) -> asyncio.Task[None]:
    """Start a background task and log its failure, if any."""
    task = asyncio.create_task(coroutine)
    task.add_done_callback(_log_failure)
    return task


async def supervise(
    name: str,
    run: collections.abc.Callable[
        [], collections.abc.Coroutine[object, object, None]
    ],
    restart_delay: datetime.timedelta = RESTART_DELAY,
) -> None:
    """Run a task again whenever it fails, until it returns.

    Input that a task does not expect would otherwise end the process, and
    again after each restart of the process while the input is there.

    Parameters
    ----------
    name : str
        Name of the task, for the log.
    run : callable
        Returns the coroutine of the task.
    restart_delay : datetime.timedelta
        Time between a failure and the next start.
    """
    while True:
        try:
            await run()
            return
        except Exception:
            _LOG.exception(
                '%s failed; it starts again in %s', name, restart_delay
            )
        await asyncio.sleep(restart_delay.total_seconds())


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _LOG.error('background task failed', exc_info=task.exception())

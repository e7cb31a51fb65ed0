"""Tasks whose failure is not lost."""

import asyncio
import collections.abc
import logging

_LOG = logging.getLogger(__name__)


def spawn(
    work: collections.abc.Coroutine[object, object, None],
) -> asyncio.Task[None]:
    """Start a task that nobody awaits; its failure is logged."""
    task = asyncio.create_task(work)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _LOG.error('a task has failed', exc_info=task.exception())

"""Background tasks whose failures are logged."""

import asyncio
import collections.abc
import logging

_LOG = logging.getLogger(__name__)


def spawn(
    coroutine: collections.abc.Coroutine[object, object, None],
) -> asyncio.Task[None]:
    """Start a background task and log its failure, if any."""
    task = asyncio.create_task(coroutine)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _LOG.error('background task failed', exc_info=task.exception())

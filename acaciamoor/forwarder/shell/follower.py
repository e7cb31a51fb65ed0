"""Follows the routes and the upstreams in the platform's store."""

import asyncio
import collections.abc
import datetime
import logging
import random

from acaciamoor import clock as clocks
from acaciamoor import directory as directories
from acaciamoor import model
from acaciamoor import platform
from acaciamoor.forwarder import catalogue as catalogues
from acaciamoor.forwarder import core as cores
from acaciamoor.platform import watching

_LOG = logging.getLogger(__name__)
# Bounds of the wait between calls. The first one collects changes that come
# close together into one answer; the second keeps hosts within the 3 s in
# which a change must be in force after the store is back.
FIRST_WAIT = datetime.timedelta(milliseconds=400)
LONGEST_WAIT = datetime.timedelta(seconds=1)


Apply = collections.abc.Callable[[platform.WatchEvent], None]


class Follower:
    """Keeps a directory up to date.

    Parameters
    ----------
    transport : Transport
        Calls to the store.
    catalogue : Catalogue
        What to follow.
    directory : Directory
        Kept up to date.
    core : ForwarderCore
        Told which upstreams are still slow.
    clock : Clock
        Source of time.
    random_source : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        transport: platform.Transport,
        catalogue: catalogues.Catalogue,
        directory: directories.Directory,
        core: cores.ForwarderCore,
        clock: clocks.Clock,
        random_source: random.Random,
    ) -> None:
        self._transport = transport
        self._catalogue = catalogue
        self._directory = directory
        self._core = core
        self._clock = clock
        self._random = random_source
        self._rounds: set[asyncio.Task[None]] = set()

    def restart(self) -> None:
        """Repeat all waiting calls, whose connections may be dead."""
        for task in self._rounds:
            task.cancel()

    async def run(self) -> None:
        """Follow until cancelled."""
        async with asyncio.TaskGroup() as group:
            for kind, apply in (
                (self._catalogue.routes_kind, self._apply_routes),
                (self._catalogue.upstreams_kind, self._apply_upstream),
            ):
                group.create_task(self._follow(kind, apply))

    async def _follow(
        self,
        kind: str,
        apply: Apply,
    ) -> None:
        watch = watching.ResumingWatch(
            self._transport,
            kind,
            0,
            platform.Backoff(self._random, FIRST_WAIT, LONGEST_WAIT),
            platform.backoff.sleep,
        )
        while True:
            task = asyncio.create_task(_apply_all(watch, apply))
            self._rounds.add(task)
            try:
                await asyncio.wait([task])
            finally:
                task.cancel()
                self._rounds.discard(task)
            if not task.cancelled():
                task.result()

    def _apply_routes(self, event: platform.WatchEvent) -> None:
        stored = event.stored
        if stored is None or stored.name != self._catalogue.routes_name:
            return
        if event.event_type is not platform.EventType.PUT:
            _LOG.warning('the configuration was removed; the last one holds')
            return
        table = self._catalogue.routes(stored)
        if table is None:
            _LOG.error('the configuration cannot be read; the last one holds')
        elif self._directory.adopt_routes(table):
            _LOG.info(
                'configuration adopted', extra={'version': table.version}
            )

    def _apply_upstream(self, event: platform.WatchEvent) -> None:
        now = self._clock.monotonic()
        if event.stored is None:
            self._directory.mark_listed(event.version)
            return
        upstream_id = model.UpstreamId(event.stored.name)
        listed = None
        if event.event_type is platform.EventType.PUT:
            listed = self._catalogue.upstream(event.stored)
        if listed is None:
            changed = self._directory.remove_upstream(upstream_id, now)
            state = 'gone'
        else:
            changed = self._directory.put_upstream(listed)
            state = listed.upstream.state.value
        if listed is not None and changed:
            self._core.placer.note_warm_up(upstream_id, listed.warm_up, now)
        if changed:
            _LOG.info(
                'upstream is %s',
                state,
                extra={'upstream': upstream_id, 'version': event.version},
            )


async def _apply_all(watch: watching.ResumingWatch, apply: Apply) -> None:
    async for event in watch.events():
        apply(event)

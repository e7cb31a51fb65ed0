"""Asks the health and load endpoints of the upstreams that this host leads."""

import asyncio
import collections.abc
import datetime

import aiohttp
import msgspec

from acaciamoor.balancer import core as cores
import acaciamoor.clock as clocks
import acaciamoor.model as model

INTERVAL = datetime.timedelta(milliseconds=500)
TIMEOUT = datetime.timedelta(milliseconds=400)
Post = collections.abc.Callable[[cores.Event], None]


class _Load(msgspec.Struct):
    """Load endpoint's answer; other fields are ignored."""

    busy: int


_LOAD = msgspec.json.Decoder(_Load)


class ObservationTask:
    """Asks every upstream each interval, all at the same time.

    Parameters
    ----------
    clock : Clock
        Source of time.
    post : callable
        Takes the events.
    """

    def __init__(self, clock: clocks.Clock, post: Post) -> None:
        self._clock = clock
        self._post = post
        self._targets: tuple[tuple[model.ServiceId, model.Upstream], ...] = ()

    def observe(self, effect: cores.PollUpstreams) -> None:
        """Ask the upstreams of `effect` from now on."""
        self._targets = tuple(
            (service_id, upstream)
            for service_id, upstreams in effect.upstreams_by_service
            for upstream in upstreams
            if upstream.control is not None
        )

    async def run(self) -> None:
        """Ask until cancelled."""
        timeout = aiohttp.ClientTimeout(total=TIMEOUT.total_seconds())
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.gather(
                    *(
                        self._ask(session, service_id, upstream)
                        for service_id, upstream in self._targets
                    )
                )
                await asyncio.sleep(INTERVAL.total_seconds())

    async def _ask(
        self,
        session: aiohttp.ClientSession,
        service_id: model.ServiceId,
        upstream: model.Upstream,
    ) -> None:
        url = f'http://{upstream.control}'
        asked = self._clock.monotonic()
        healthy, running = False, None
        try:
            async with session.get(f'{url}/health') as response:
                healthy = response.status == 200
            async with session.get(f'{url}/load') as response:
                running = _LOAD.decode(await response.read()).busy
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
            # Without a load report the placer relies on what it observed.
            pass
        self._post(
            cores.UpstreamPolled(
                service_id,
                upstream.upstream_id,
                healthy,
                running,
                self._clock.monotonic() - asked,
            )
        )

"""Polls the health and load endpoints of upstreams."""

import asyncio
import collections.abc
import datetime
import logging
import typing

import aiohttp
import msgspec

from acaciamoor.balancer import core as cores
import acaciamoor.clock as clocks
import acaciamoor.model as model

_LOG = logging.getLogger(__name__)
POLL_INTERVAL = datetime.timedelta(milliseconds=500)
POLL_TIMEOUT = datetime.timedelta(milliseconds=400)
EventHandler = collections.abc.Callable[[cores.Event], None]


class _Load(msgspec.Struct):
    """Response of the load endpoint; other fields are ignored."""

    busy: typing.Annotated[int, msgspec.Meta(ge=0)]


_LOAD_DECODER = msgspec.json.Decoder(_Load)


class UpstreamPoller:
    """Polls all upstreams concurrently, once per interval.

    Parameters
    ----------
    clock : Clock
        Source of time.
    post : callable
        Receives an event for each poll.
    """

    def __init__(self, clock: clocks.Clock, post: EventHandler) -> None:
        self._clock = clock
        self._post = post
        self._polled_upstreams: tuple[
            tuple[model.ServiceId, model.Upstream], ...
        ] = ()

    def set_upstreams(self, effect: cores.PollUpstreams) -> None:
        """Replace the polled upstreams by those of `effect`."""
        self._polled_upstreams = tuple(
            (service_id, upstream)
            for service_id, upstreams in effect.upstreams_by_service
            for upstream in upstreams
            if upstream.control is not None
        )

    async def run(self) -> None:
        """Poll until cancelled."""
        timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT.total_seconds())
        # On a reused connection, a second copy of a response would be taken
        # for the response to the next request.
        async with aiohttp.ClientSession(
            timeout=timeout, connector=aiohttp.TCPConnector(force_close=True)
        ) as session:
            while True:
                await asyncio.gather(
                    *(
                        self._poll(session, service_id, upstream)
                        for service_id, upstream in self._polled_upstreams
                    )
                )
                await asyncio.sleep(POLL_INTERVAL.total_seconds())

    async def _poll(
        self,
        session: aiohttp.ClientSession,
        service_id: model.ServiceId,
        upstream: model.Upstream,
    ) -> None:
        url = f'http://{upstream.control}'
        polled_at = self._clock.monotonic()
        healthy, running = False, None
        try:
            async with session.get(f'{url}/health') as response:
                healthy = response.status == 200
            async with session.get(f'{url}/load') as response:
                running = _LOAD_DECODER.decode(await response.read()).busy
        except Exception as error:
            # Whatever an upstream answers must not affect the others. Without
            # a load report, the placer relies on its own observations.
            _LOG.debug('polling upstream %s: %r', upstream.upstream_id, error)
        self._post(
            cores.UpstreamPolled(
                service_id,
                upstream.upstream_id,
                healthy,
                running,
                self._clock.monotonic() - polled_at,
            )
        )

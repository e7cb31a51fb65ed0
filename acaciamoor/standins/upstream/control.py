"""HTTP endpoints of the upstream stand-in."""

import collections
import datetime

from aiohttp import web
import msgspec

from acaciamoor import clock as clocks
from acaciamoor.standins import contract
from acaciamoor.standins.upstream import server as servers

# Must exceed the longest report lag divided by `SAMPLE_INTERVAL`.
_MAX_SAMPLES = 1024
SAMPLE_INTERVAL = datetime.timedelta(milliseconds=50)


class ControlEndpoint:
    """Serves the health, load and run records of one upstream.

    Parameters
    ----------
    server : UpstreamServer
        Server whose state is reported.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, server: servers.UpstreamServer, clock: clocks.Clock
    ) -> None:
        self._server = server
        self._clock = clock
        self._samples: collections.deque[
            tuple[datetime.timedelta, contract.LoadReport]
        ] = collections.deque(maxlen=_MAX_SAMPLES)
        self.sample()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application()
        application.add_routes(
            [
                web.get('/health', self._health),
                web.get('/load', self._load),
                web.get('/runs', self._runs),
                web.post('/drain', self._drain),
            ]
        )
        return application

    def sample(self) -> None:
        """Record the current load, which is reported after the report lag."""
        behaviour = self._server.behaviour
        report = contract.LoadReport(
            slots=behaviour.slots,
            busy=0 if behaviour.load_misleads else self._server.busy,
            connections=self._server.connections,
            draining=self._server.draining,
        )
        self._samples.append((self._clock.monotonic(), report))

    def _lagged_report(self) -> contract.LoadReport:
        limit = self._clock.monotonic() - self._server.behaviour.report_lag
        reported = self._samples[0][1]
        for sampled_at, report in self._samples:
            if sampled_at > limit:
                break
            reported = report
        return reported

    async def _health(self, _: web.Request) -> web.Response:
        misleads = self._server.behaviour.health_misleads
        healthy = misleads or not self._lagged_report().draining
        return web.Response(
            status=200 if healthy else 503,
            text='ok' if healthy else 'draining',
        )

    async def _load(self, _: web.Request) -> web.Response:
        return _json_response(self._lagged_report())

    async def _runs(self, _: web.Request) -> web.Response:
        return _json_response(self._server.records())

    async def _drain(self, _: web.Request) -> web.Response:
        self._server.draining = True
        return web.Response(text='draining')


def _json_response(value: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type='application/json'
    )

"""A forwarder as a process."""

import asyncio
import collections.abc
import datetime
import http
import logging
import random
import signal

import msgspec

from acaciamoor import clock as clocks
from acaciamoor import directory as directories
from acaciamoor import model
from acaciamoor import sockets
from acaciamoor.forwarder import catalogue as catalogues
from acaciamoor.forwarder import core as cores
from acaciamoor.forwarder import knowledge
from acaciamoor.forwarder import packet as packets
from acaciamoor.forwarder.shell import adoption
from acaciamoor.forwarder.shell import driver as drivers
from acaciamoor.forwarder.shell import endpoint as endpoints
from acaciamoor.forwarder.shell import following as followings
from acaciamoor.forwarder.shell import limits
from acaciamoor.forwarder.shell import observer
from acaciamoor.forwarder.shell import sources
from acaciamoor.telemetry import exposition

_LOG = logging.getLogger(__name__)
# Larger than any packet with its header.
_DATAGRAM_BYTES = 2048
_MS = datetime.timedelta(milliseconds=1)


class ProcessSettings(msgspec.Struct, frozen=True):
    """Addresses and limits of a forwarder.

    Parameters
    ----------
    core : CoreSettings
        Limits of the decisions.
    listen : Address
        Where packets of callers arrive.
    readiness_address : Address
        Where the fabric asks whether the host takes packets.
    readiness_path : str
        Path that the fabric asks for.
    metrics_address : Address or None
        Where metrics are served under ``/metrics``; None serves none.
    leave_after : datetime.timedelta
        Time for which a host that was told to end goes on forwarding. The
        fabric notices after two checks that are 0.5 s apart.
    directory : DirectorySettings
        How long removed upstreams are kept.
    following : FollowingSettings
        How routes and upstreams are followed.
    """

    core: cores.CoreSettings
    directory: directories.DirectorySettings
    following: limits.FollowingSettings
    listen: model.Address
    readiness_address: model.Address
    readiness_path: str
    metrics_address: model.Address | None = None
    leave_after: datetime.timedelta = datetime.timedelta(seconds=2.5)


class ForwarderProcess:
    """Forwards packets until it is told to end.

    Parameters
    ----------
    settings : ProcessSettings
        Addresses and limits.
    codec : PacketCodec
        Wire form of packets.
    store : StoreCalls
        Calls to the platform's store; see `Following`.
    catalogue : Catalogue
        Objects of the store that are followed.
    clock : Clock
        Source of time.
    random_source : random.Random
        Breaks ties and spreads calls.
    on_reload : callable
        Called on SIGHUP.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        codec: packets.PacketCodec,
        store: sources.StoreCalls,
        catalogue: catalogues.Catalogue,
        clock: clocks.Clock,
        random_source: random.Random,
        on_reload: collections.abc.Callable[[], None],
    ) -> None:
        self._settings = settings
        self._on_reload = on_reload
        self._directory = directories.Directory(settings.directory)
        self._core = cores.ForwarderCore(
            settings.core, self._directory, random_source
        )
        self._observer = observer.Observer(clock, self._know)
        self._driver = drivers.Driver(
            self._core,
            codec,
            sockets.DatagramSocket(
                settings.listen.ip, settings.listen.port, _DATAGRAM_BYTES
            ),
            self._observer,
            clock,
            settings.core.pause,
        )
        self._following = followings.Following(
            settings.following,
            catalogue,
            store,
            adoption.Adoption(catalogue, self._directory, self._core, clock),
            clock,
            random_source,
        )
        self._driver.on_resume = self._following.restart
        self._leaving = asyncio.Event()

    @property
    def ready(self) -> bool:
        """Whether the host takes new packets."""
        return self._directory.complete and not self._leaving.is_set()

    async def run(self) -> None:
        """Forward until SIGTERM or SIGINT."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._leaving.set)
        loop.add_signal_handler(signal.SIGHUP, self._on_reload)
        served = self._endpoints()
        for endpoint in served:
            await endpoint.start()
        self._driver.start(loop)
        following = asyncio.create_task(self._following.run())
        _LOG.info('started')
        following.add_done_callback(lambda _: self._leaving.set())
        await self._leaving.wait()
        if following.done():
            # Without its sources a host goes out of date unnoticed; the
            # platform starts a process that ends again.
            following.result()
        _LOG.info('leaving')
        await asyncio.sleep(self._settings.leave_after.total_seconds())
        following.cancel()
        for endpoint in served:
            endpoint.close()
        self._driver.close(loop)
        _LOG.info('stopped')

    def _know(self) -> knowledge.Knowledge:
        age = self._following.age()
        return knowledge.Knowledge(
            self._directory.route_version,
            self._directory.revision,
            -1 if age is None else age // _MS,
        )

    def _endpoints(self) -> list[endpoints.Endpoint]:
        settings = self._settings
        served = [
            endpoints.Endpoint(
                settings.readiness_address,
                {settings.readiness_path: self._readiness},
            )
        ]
        if settings.metrics_address is not None:
            served.append(
                endpoints.Endpoint(
                    settings.metrics_address, {'/metrics': self._metrics}
                )
            )
        return served

    def _readiness(self) -> endpoints.Reply:
        if self.ready:
            return endpoints.Reply(http.HTTPStatus.OK)
        return endpoints.Reply(http.HTTPStatus.SERVICE_UNAVAILABLE)

    def _metrics(self) -> endpoints.Reply:
        known = self._know()
        gauges = (
            exposition.Gauge(
                'acaciamoor_forwarder_routes_version',
                'Version of the configuration in force.',
                lambda: known.routes_version,
            ),
            exposition.Gauge(
                'acaciamoor_forwarder_knowledge_age_seconds',
                'Time since the store confirmed routes and upstreams; '
                'below zero if it never did.',
                lambda: known.age_ms / 1000,
            ),
            exposition.Gauge(
                'acaciamoor_forwarder_upstreams',
                'Upstreams that the store lists.',
                lambda: len(self._directory.listed),
            ),
            exposition.Gauge(
                'acaciamoor_forwarder_listeners',
                'Hosts that this host passes changes on to.',
                lambda: self._following.listeners,
            ),
        )
        return endpoints.Reply(
            http.HTTPStatus.OK,
            exposition.render((*self._observer.metrics, *gauges)),
            exposition.CONTENT_TYPE,
        )

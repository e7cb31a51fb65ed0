"""The forwarder process."""

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
from acaciamoor.forwarder import core as cores
from acaciamoor.forwarder import packet as packets
from acaciamoor.forwarder import store_schema as schemas
from acaciamoor.forwarder import sync_status
from acaciamoor.forwarder.shell import adoption
from acaciamoor.forwarder.shell import driver as drivers
from acaciamoor.forwarder.shell import following as followings
from acaciamoor.forwarder.shell import http_endpoint as endpoints
from acaciamoor.forwarder.shell import limits
from acaciamoor.forwarder.shell import observer
from acaciamoor.forwarder.shell import sources
from acaciamoor.telemetry import exposition

_LOG = logging.getLogger(__name__)
# Receive buffer; larger than any packet with its header.
_DATAGRAM_BYTES = 2048
_MS = datetime.timedelta(milliseconds=1)


class ProcessSettings(msgspec.Struct, frozen=True):
    """Settings of a forwarder process.

    Parameters
    ----------
    core : CoreSettings
        Settings of the forwarding decisions.
    listen : Address
        Address that receives packets from callers.
    readiness_address : Address
        Address of the readiness endpoint that the fabric polls.
    readiness_path : str
        URL path of the readiness endpoint.
    metrics_address : Address or None
        Address that serves metrics at ``/metrics``; None disables them.
    shutdown_delay : datetime.timedelta
        Time for which a host goes on forwarding after a stop signal. The
        fabric notices it after two checks that are 0.5 s apart.
    directory : DirectorySettings
        Settings for the retention of removed upstreams.
    sync : SyncSettings
        Settings for keeping routes and upstreams up to date.
    """

    core: cores.CoreSettings
    directory: directories.DirectorySettings
    sync: limits.SyncSettings
    listen: model.Address
    readiness_address: model.Address
    readiness_path: str
    metrics_address: model.Address | None = None
    shutdown_delay: datetime.timedelta = datetime.timedelta(seconds=2.5)


class ForwarderProcess:
    """Forwards packets until it receives a stop signal.

    Parameters
    ----------
    settings : ProcessSettings
        Settings of the process.
    codec : PacketCodec
        Encodes and decodes packets.
    store : StoreTransports
        Transports to the platform's store; see `StoreSynchronizer`.
    schema : StoreSchema
        Layout of the objects in the store.
    clock : Clock
        Source of time.
    random_source : random.Random
        Source of randomness for ties between upstreams and for jitter.
    on_reload : callable
        Called on SIGHUP.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        codec: packets.PacketCodec,
        store: sources.StoreTransports,
        schema: schemas.StoreSchema,
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
        self._observer = observer.Observer(clock, self._get_sync_status)
        self._driver = drivers.Driver(
            self._core,
            codec,
            sockets.DatagramSocket(
                settings.listen.ip, settings.listen.port, _DATAGRAM_BYTES
            ),
            self._observer,
            clock,
            settings.core.pause_threshold,
        )
        self._synchronizer = followings.StoreSynchronizer(
            settings.sync,
            schema,
            store,
            adoption.DirectoryUpdater(
                schema, self._directory, self._core, clock
            ),
            clock,
            random_source,
        )
        self._driver.on_resume = self._synchronizer.close_connections
        self._stop_requested = asyncio.Event()

    @property
    def ready(self) -> bool:
        """Whether the host is ready to receive packets."""
        return self._directory.complete and not self._stop_requested.is_set()

    async def run(self) -> None:
        """Forward packets until SIGTERM or SIGINT."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._on_reload)
        served = self._build_endpoints()
        for endpoint in served:
            await endpoint.start()
        self._driver.start(loop)
        sync_task = asyncio.create_task(self._synchronizer.run())
        _LOG.info('started')
        sync_task.add_done_callback(lambda _: self._stop_requested.set())
        await self._stop_requested.wait()
        if sync_task.done():
            # A host that no longer synchronizes would go out of date
            # unnoticed. Raise the failure, so that the platform restarts the
            # process.
            sync_task.result()
        _LOG.info('leaving')
        await asyncio.sleep(self._settings.shutdown_delay.total_seconds())
        sync_task.cancel()
        for endpoint in served:
            endpoint.close()
        self._driver.close(loop)
        _LOG.info('stopped')

    def _get_sync_status(self) -> sync_status.SyncStatus:
        age = self._synchronizer.age()
        return sync_status.SyncStatus(
            self._directory.route_version,
            self._directory.revision,
            -1 if age is None else age // _MS,
        )

    def _build_endpoints(self) -> list[endpoints.HttpEndpoint]:
        settings = self._settings
        served = [
            endpoints.HttpEndpoint(
                settings.readiness_address,
                {settings.readiness_path: self._readiness_response},
            )
        ]
        if settings.metrics_address is not None:
            served.append(
                endpoints.HttpEndpoint(
                    settings.metrics_address,
                    {'/metrics': self._metrics_response},
                )
            )
        return served

    def _readiness_response(self) -> endpoints.Response:
        if self.ready:
            return endpoints.Response(http.HTTPStatus.OK)
        return endpoints.Response(http.HTTPStatus.SERVICE_UNAVAILABLE)

    def _metrics_response(self) -> endpoints.Response:
        status = self._get_sync_status()
        gauges = (
            exposition.Gauge(
                'acaciamoor_forwarder_routes_version',
                'Version of the configuration in force.',
                lambda: status.routes_version,
            ),
            exposition.Gauge(
                'acaciamoor_forwarder_knowledge_age_seconds',
                'Time since the store confirmed routes and upstreams; '
                'below zero if it never did.',
                lambda: status.age_ms / 1000,
            ),
            exposition.Gauge(
                'acaciamoor_forwarder_upstreams',
                'Upstreams that the store lists.',
                lambda: len(self._directory.entries_by_id),
            ),
            exposition.Gauge(
                'acaciamoor_forwarder_listeners',
                'Hosts that this host passes changes on to.',
                lambda: self._synchronizer.listeners,
            ),
        )
        return endpoints.Response(
            http.HTTPStatus.OK,
            exposition.render((*self._observer.metrics, *gauges)),
            exposition.CONTENT_TYPE,
        )

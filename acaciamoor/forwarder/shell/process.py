"""The forwarder process."""

import asyncio
import collections.abc
import datetime
import http
import itertools
import logging
import os
import random
import signal

import msgspec

from acaciamoor import admission
from acaciamoor import capacity as capacities
from acaciamoor import clock as clocks
from acaciamoor import directory as directories
from acaciamoor import load_reports
from acaciamoor import model
from acaciamoor import sockets
from acaciamoor.forwarder import core as cores
from acaciamoor.forwarder import core_settings
from acaciamoor.forwarder import packet as packets
from acaciamoor.forwarder import store_schema as schemas
from acaciamoor.forwarder import sync_status
from acaciamoor.forwarder.shell import directory_updater
from acaciamoor.forwarder.shell import driver as drivers
from acaciamoor.forwarder.shell import http_endpoint as endpoints
from acaciamoor.forwarder.shell import limits
from acaciamoor.forwarder.shell import observer
from acaciamoor.forwarder.shell import sources
from acaciamoor.forwarder.shell import store_synchronizer
from acaciamoor.telemetry import exposition

_LOG = logging.getLogger(__name__)
# Receive buffer; larger than any packet with its header.
_DATAGRAM_BYTES = 2048
_MS = datetime.timedelta(milliseconds=1)
# Time for which a host that has only old lists waits for newer ones before it
# serves with what it has. A call to the store takes a few milliseconds.
_CONFIRMATION_WAIT = datetime.timedelta(seconds=1)
# A host that has received no packet for this time is out of rotation.
_QUIET_PERIOD = datetime.timedelta(milliseconds=500)
# Two processes of a host have the same number once in billions of restarts.
_INCARNATION_BITS = 32
# Upstreams in metrics: the largest service of the platform has 150.
_MAX_REPORTED_UPSTREAMS = 256
_QUIET_CHECK_INTERVAL = datetime.timedelta(milliseconds=100)


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
    shutdown_delay : datetime.timedelta
        Minimum time for which a host goes on forwarding after a stop signal.
    max_shutdown_delay : datetime.timedelta
        Maximum of that time, if packets go on arriving. If most hosts of a
        data centre leave at once, the fabric goes on using all of them.
    metrics_address : Address or None
        Address that serves metrics at ``/metrics``; None disables them.
    directory : DirectorySettings
        Settings for the retention of removed upstreams.
    sync : SyncSettings
        Settings for keeping routes and upstreams up to date.
    """

    core: core_settings.CoreSettings
    directory: directories.DirectorySettings
    sync: limits.SyncSettings
    listen: model.Address
    readiness_address: model.Address
    readiness_path: str
    shutdown_delay: datetime.timedelta
    max_shutdown_delay: datetime.timedelta
    metrics_address: model.Address | None = None


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
        self._clock = clock
        self._complete_since: datetime.timedelta | None = None
        self._on_reload = on_reload
        self._directory = directories.Directory(settings.directory)
        own = settings.sync.own
        self._load_picture = load_reports.LoadPicture(own.data_centre)
        self._core = cores.ForwarderCore(
            settings.core,
            self._directory,
            random_source,
            load_reports.LoadCollector(
                own.host_id,
                own.data_centre,
                random_source.getrandbits(_INCARNATION_BITS),
            ),
            self._load_picture,
        )
        self._core.admission = admission.AdmissionController(
            self._load_picture,
            self._core.placer.estimator,
            self._directory.candidates,
            random_source,
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
        self._synchronizer = store_synchronizer.StoreSynchronizer(
            settings.sync,
            schema,
            store,
            directory_updater.DirectoryUpdater(
                schema,
                self._directory,
                self._core,
                clock,
                self._driver.schedule_waiting,
            ),
            clock,
            random_source,
            self._core.load_collector,
            self._load_picture,
        )
        self._driver.on_resume = self._synchronizer.close_connections
        self._stop_requested = asyncio.Event()

    @property
    def ready(self) -> bool:
        """Whether the host is ready to receive packets."""
        if not self._directory.complete or self._stop_requested.is_set():
            return False
        now = self._clock.monotonic()
        if self._complete_since is None:
            self._complete_since = now
        # Peers may have been cut off from the store for long: their lists may
        # have upstreams that have left.
        return (
            self._synchronizer.is_current()
            or now - self._complete_since >= _CONFIRMATION_WAIT
        )

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
        await self._forward_until_quiet()
        sync_task.cancel()
        for endpoint in served:
            endpoint.close()
        self._driver.close(loop)
        _LOG.info('stopped')

    async def _forward_until_quiet(self) -> None:
        settings = self._settings
        started_at = self._clock.monotonic()
        await asyncio.sleep(settings.shutdown_delay.total_seconds())
        while True:
            now = self._clock.monotonic()
            if now - self._driver.last_packet_at >= _QUIET_PERIOD:
                return
            if now - started_at >= settings.max_shutdown_delay:
                _LOG.warning('stopping although packets still arrive')
                return
            await asyncio.sleep(_QUIET_CHECK_INTERVAL.total_seconds())

    def _get_sync_status(self) -> sync_status.SyncStatus:
        age = self._synchronizer.age()
        return sync_status.SyncStatus(
            self._directory.route_version,
            self._directory.revision,
            -1 if age is None else age // _MS,
        )

    def _measured_capacities(
        self,
    ) -> list[tuple[model.UpstreamId, capacities.Capacity]]:
        """Return the measured capacities, of a bounded number of upstreams."""
        now = self._clock.monotonic()
        estimator = self._core.placer.estimator
        return [
            (upstream_id, found)
            for upstream_id in itertools.islice(
                sorted(self._core.placer.capacities_by_id),
                _MAX_REPORTED_UPSTREAMS,
            )
            if (found := estimator.estimate(upstream_id, now)).known
        ]

    def _failing_upstreams(self) -> dict[str, int]:
        """Return the upstreams that fail, a bounded number of them."""
        verdicts = self._core.placer.find_verdicts(self._clock.monotonic())
        return dict.fromkeys(sorted(verdicts)[:_MAX_REPORTED_UPSTREAMS], 1)

    def _read_picture_age(self) -> float:
        age = self._load_picture.age(self._clock.monotonic())
        return -1.0 if age is None else age.total_seconds()

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
                'acaciamoor_forwarder_store_era',
                'How often the store has come back from an older copy.',
                lambda: self._synchronizer.store_era,
            ),
            exposition.Gauge(
                'acaciamoor_forwarder_upstreams',
                'Upstreams that the store lists.',
                lambda: len(self._directory.entries_by_id),
            ),
            exposition.Gauge(
                'acaciamoor_forwarder_evacuated',
                'Data centres whose upstreams get no new flows.',
                lambda: dict.fromkeys(
                    self._directory.list_evacuations(self._clock.monotonic()),
                    1,
                ),
                label='data_centre',
            ),
            exposition.Gauge(
                'acaciamoor_forwarder_listeners',
                'Hosts that this host passes changes on to.',
                lambda: self._synchronizer.listeners,
            ),
            exposition.Gauge(
                'acaciamoor_forwarder_unsent_bytes',
                'Bytes that wait until listeners read them.',
                lambda: self._synchronizer.unsent_bytes,
            ),
            exposition.Gauge(
                'acaciamoor_forwarder_kept_changes',
                'Changes that are kept for hosts that have fallen behind.',
                lambda: self._synchronizer.kept_changes,
            ),
            exposition.Gauge(
                'acaciamoor_forwarder_load_picture_age_seconds',
                'Age of the summary of the own data centre; below zero if '
                'there was none.',
                self._read_picture_age,
            ),
            exposition.Gauge(
                'acaciamoor_forwarder_load_picture_hosts',
                'Hosts in the summaries that count.',
                lambda: self._load_picture.hosts(self._clock.monotonic()),
            ),
            exposition.Gauge(
                'acaciamoor_forwarder_measured_rate',
                'Requests a second that an upstream takes well.',
                lambda: {
                    upstream_id: capacity.rate
                    for upstream_id, capacity in self._measured_capacities()
                },
                label='upstream',
            ),
            exposition.Gauge(
                'acaciamoor_forwarder_measured_limit',
                'Requests in progress that an upstream takes well.',
                lambda: {
                    upstream_id: capacity.limit
                    for upstream_id, capacity in self._measured_capacities()
                },
                label='upstream',
            ),
            exposition.Gauge(
                'acaciamoor_forwarder_failing_upstream',
                '1 if shared evidence says that an upstream fails.',
                self._failing_upstreams,
                label='upstream',
            ),
            exposition.Gauge(
                'acaciamoor_forwarder_resident_memory_bytes',
                'Resident memory of the process; 0 if it cannot be read.',
                _read_resident_memory,
            ),
        )
        return endpoints.Response(
            http.HTTPStatus.OK,
            exposition.render(
                (
                    *self._observer.metrics,
                    self._synchronizer.calls,
                    *self._synchronizer.load_metrics,
                    *gauges,
                )
            ),
            exposition.CONTENT_TYPE,
        )


def _read_resident_memory() -> int:
    """Return the resident memory of the process, in bytes; 0 if unknown."""
    try:
        with open('/proc/self/statm') as file:
            pages = int(file.read().split()[1])
    except (OSError, ValueError, IndexError) as error:
        _LOG.debug('the resident memory cannot be read: %r', error)
        return 0
    return pages * os.sysconf('SC_PAGE_SIZE')

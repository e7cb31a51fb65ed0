"""Connection to the platform: hosts, services, evacuations and status."""

import asyncio
import collections.abc
import datetime
import logging
import random

from acaciamoor.balancer import core as cores
import acaciamoor.configuration as configuration
import acaciamoor.findings as findings
import acaciamoor.model as model
from acaciamoor.model import documents
from acaciamoor.model import status as statuses
import acaciamoor.platform as platform
import acaciamoor.supervision as supervision

LOG = logging.getLogger(__name__)
RETRY_INTERVAL = datetime.timedelta(seconds=1)
DIVERGENCE_CHECK_INTERVAL = datetime.timedelta(seconds=2)
# Within this time, a starting host usually receives the configuration from its
# peers.
PEER_SNAPSHOT_WAIT = datetime.timedelta(seconds=2)
EventHandler = collections.abc.Callable[[cores.Event], None]
_NO_AGE = datetime.timedelta(0)


class PlatformTask:
    """Reads hosts and services from the platform with few requests.

    Every host reads the host list at its start and then rarely. It reads the
    services only if its peers don't send them in time. Only relays watch the
    services and the evacuations.

    Parameters
    ----------
    store : ObjectStore
        Store of the platform.
    data_centre : DataCentre
        Data centre of this host; also the name of the status object.
    core : BalancerCore
        Core whose configuration determines what is read.
    post : callable
        Receives the events.
    rng : random.Random
        Source of jitter, which spreads the reads of many hosts.
    host_interval : datetime.timedelta
        Mean time between reads of the host list.
    """

    def __init__(
        self,
        store: platform.ObjectStore,
        data_centre: model.DataCentre,
        core: cores.BalancerCore,
        post: EventHandler,
        rng: random.Random,
        host_interval: datetime.timedelta,
    ) -> None:
        self._store = store
        self._data_centre = data_centre
        self._core = core
        self._post = post
        self._rng = rng
        self._host_interval = host_interval
        self._watch_tasks: tuple[asyncio.Task, ...] = ()
        self._status_task: asyncio.Task | None = None

    async def run(self) -> None:
        """Read hosts and services until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                for name, run in (
                    ('reading the host list', self._poll_hosts),
                    ('reading the services', self._load_services),
                    ('repairing divergence', self._repair_divergence),
                ):
                    group.create_task(supervision.supervise(name, run))
        finally:
            for task in (*self._watch_tasks, self._status_task):
                if task is not None:
                    task.cancel()

    def set_watch(self, active: bool) -> None:
        """Start or stop the watches of the services and the evacuations."""
        for task in self._watch_tasks:
            task.cancel()
        self._watch_tasks = ()
        if active:
            self._watch_tasks = tuple(
                asyncio.create_task(supervision.supervise(name, run))
                for name, run in (
                    ('watching the services', self._watch_services),
                    ('watching the evacuations', self._watch_evacuations),
                )
            )

    def write_status(self, version: int) -> None:
        """Write the version in force, unless a write is in progress."""
        if self._status_task is None or self._status_task.done():
            self._status_task = supervision.spawn(self._write_status(version))

    async def _poll_hosts(self) -> None:
        while True:
            interval = self._host_interval * self._rng.uniform(0.5, 1.5)
            try:
                listed = await platform.list_hosts(
                    self._store, self._data_centre
                )
                self._post(cores.HostsListed(_hosts(listed)))
            except platform.StoreError as error:
                LOG.warning('the host list cannot be read: %s', error)
                interval = RETRY_INTERVAL
            await asyncio.sleep(interval.total_seconds())

    async def _load_services(self) -> None:
        # Peers usually send the configuration first. Otherwise, each of about
        # 26,000 restarts per day in a large fleet would read all services.
        await asyncio.sleep(PEER_SNAPSHOT_WAIT.total_seconds())
        while not self._core.control_plane.store.is_complete:
            await self._list_services()
            await asyncio.sleep(RETRY_INTERVAL.total_seconds())

    async def _repair_divergence(self) -> None:
        while True:
            await asyncio.sleep(DIVERGENCE_CHECK_INTERVAL.total_seconds())
            if self._watch_tasks and self._core.control_plane.store.diverged:
                LOG.warning('a peer has other services at this version')
                await self._list_services()

    async def _list_services(self) -> None:
        try:
            # First, since a complete host takes work.
            await self._list_evacuations()
            listing = await self._store.list(documents.SERVICE_KIND)
        except platform.StoreError as error:
            LOG.warning('the services cannot be read: %s', error)
            return
        changes = [_parse_change(stored) for stored in listing.objects]
        self._post(
            cores.ServicesListed(
                listing.version,
                tuple(
                    change.service
                    for change in changes
                    if change is not None and change.service is not None
                ),
            )
        )

    async def _list_evacuations(self) -> None:
        try:
            listing = await self._store.list(documents.EVACUATION_KIND)
        except platform.NotFound as error:
            # A platform without this kind of objects holds no evacuations.
            LOG.warning('the evacuations cannot be listed: %s', error)
            return
        # All hosts must know an evacuation by the same version, so that they
        # derive the same views.
        version = next(
            (
                stored.version
                for stored in listing.objects
                if stored.name == str(self._data_centre)
            ),
            None,
        )
        self._post(
            cores.EvacuationRead(
                listing.version if version is None else version,
                version is not None,
            )
        )

    async def _watch_evacuations(self) -> None:
        # From the beginning, so that the watch itself knows all objects and
        # reports a deletion even after its history was dropped.
        evacuated = False
        async for event in self._store.watch(documents.EVACUATION_KIND, 0):
            if event.stored is not None:
                if event.stored.name != str(self._data_centre):
                    continue
                evacuated = event.event_type is not platform.EventType.DELETED
            # A bookmark without an object of this data centre before it is
            # the only sign that an evacuation ended before the watch began.
            self._post(cores.EvacuationRead(event.version, evacuated))

    async def _watch_services(self) -> None:
        after = self._core.control_plane.store.version
        async for event in self._store.watch(documents.SERVICE_KIND, after):
            if event.stored is not None:
                change = self._change_of_event(event)
                if change is not None:
                    self._post(cores.ServiceChanged(change))
            self._post(cores.WatchAlive(event.version))

    def _change_of_event(
        self, event: platform.WatchEvent
    ) -> configuration.ServiceVersion | None:
        if event.event_type is not platform.EventType.DELETED:
            return _parse_change(event.stored)
        for service in self._core.control_plane.store.services_by_id.values():
            if service.name == event.stored.name:
                return configuration.ServiceVersion(
                    service.service_id, event.version, None, _NO_AGE
                )
        return None

    async def _write_status(self, version: int) -> None:
        name = str(self._data_centre)
        members = self._core.control_plane.members
        status = statuses.DataCentreStatus(
            self._data_centre, version, len(members.live) if members else 0
        )
        document = documents.DataCentreStatusDocument.of(status)
        value = documents.to_json(document)
        kind = documents.STATUS_KIND
        try:
            try:
                stored = await self._store.get(kind, name)
            except platform.NotFound:
                await self._store.create(kind, name, value)
                return
            if stored.value.get('version', 0) < version:
                await self._store.update(kind, name, value, stored.version)
        except platform.StoreError as error:
            LOG.warning('the status cannot be written: %s', error)


def _hosts(listed: platform.HostList) -> tuple[cores.Host, ...]:
    return tuple(
        cores.Host(
            host_id=host.host_id,
            data_centre=host.data_centre,
            peer_address=host.address,
            leaving=host.state is platform.HostState.LEAVING,
        )
        for _, host in sorted(listed.hosts_by_id.items())
    )


def _parse_change(
    stored: platform.StoredObject,
) -> configuration.ServiceVersion | None:
    try:
        document = documents.parse_service(stored.name, stored.value)
        service = document.to_service(stored.version)
    except findings.FindingsError as error:
        LOG.error(
            'a service is not valid and is left as it was: %s',
            '; '.join(str(finding) for finding in error.findings),
            extra={'service': stored.name, 'version': stored.version},
        )
        return None
    return configuration.ServiceVersion(
        model.ServiceId(document.service_id), stored.version, service, _NO_AGE
    )

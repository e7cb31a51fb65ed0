"""Starting the processes of a site."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import datetime
import json
import pathlib
import secrets
import subprocess

import aiohttp

from acaciamoor.demo import launcher as launchers
from acaciamoor.demo import site as sites
import acaciamoor.model as model
from acaciamoor.model import documents
import acaciamoor.platform as platform
from acaciamoor.platform import hosts

_KEY_BYTES = 32
START_TIMEOUT = datetime.timedelta(seconds=20)
_POLL_INTERVAL = datetime.timedelta(milliseconds=50)


class StartError(RuntimeError):
    """A process did not become ready in time."""


class Fleet:
    """Starts and configures the processes of one site.

    Parameters
    ----------
    site : Site
        Addresses of the site.
    launcher : Launcher
        Launcher of the processes.
    directory : Path
        Directory of the key file.
    """

    def __init__(
        self,
        site: sites.Site,
        launcher: launchers.Launcher,
        directory: pathlib.Path,
    ) -> None:
        self.site = site
        self.launcher = launcher
        self.keys_file = directory / 'keys.json'
        directory.mkdir(parents=True, exist_ok=True)
        self.write_keys({1: secrets.token_hex(_KEY_BYTES)}, active=1)

    def write_keys(self, keys_by_id: dict[int, str], active: int) -> None:
        """Replace the contents of the key file."""
        self.keys_file.touch(mode=0o600)
        self.keys_file.write_text(
            json.dumps({'active': active, 'keys': keys_by_id}),
            encoding='utf-8',
        )

    async def start_platform(self) -> None:
        """Start the platform and register the balancers' hosts with it."""
        self.launcher.start(
            'platform',
            '-m',
            'acaciamoor.standins.platform',
            '--address',
            str(self.site.platform),
        )
        await self._wait_until_serving(
            f'{self.site.platform_url}/admin/counters'
        )
        async with self.store() as store:
            for host, addresses in self.site.balancers_by_host.items():
                document = hosts.HostDocument(
                    data_centre=sites.DATA_CENTRE, address=str(addresses.peer)
                )
                await store.create(
                    hosts.KIND, host, document.model_dump(mode='json')
                )

    async def create_services(self) -> None:
        """Create all services on the platform without the operator API."""
        async with self.store() as store:
            for name, service in self.site.services_by_name.items():
                document = documents.ServiceDocument.of(service)
                await store.create(
                    documents.SERVICE_KIND, name, documents.to_json(document)
                )

    async def reload_services(self) -> None:
        """Replace the services of `site` by those stored on the platform.

        These have the identifiers that the operator API has assigned.
        """
        services_by_name = {}
        async with self.store() as store:
            for name in self.site.services_by_name:
                stored = await store.get(documents.SERVICE_KIND, name)
                document = documents.parse_service(name, stored.value)
                services_by_name[name] = document.to_service(stored.version)
        self.site = dataclasses.replace(
            self.site, services_by_name=services_by_name
        )

    @contextlib.asynccontextmanager
    async def store(
        self,
    ) -> collections.abc.AsyncIterator[platform.PlatformStore]:
        """Connect to the platform."""
        async with platform.HttpTransport(self.site.platform_url) as transport:
            yield platform.PlatformStore(transport)

    def start_upstreams(self, service: model.Service, *flags: str) -> None:
        """Start all upstreams of a service."""
        for upstream in service.upstreams_by_id.values():
            self.launcher.start(
                upstream.upstream_id,
                '-m',
                'acaciamoor.standins.upstream',
                '--name',
                upstream.upstream_id,
                '--service',
                str(service.service_id),
                '--listen',
                str(upstream.address),
                '--control',
                str(upstream.control),
                *flags,
            )

    def start_balancer(self, host: model.HostId, *flags: str) -> None:
        """Start one balancer."""
        addresses = self.site.balancers_by_host[host]
        self.launcher.start(
            host,
            '-m',
            'acaciamoor.balancer',
            '--host',
            host,
            '--data-centre',
            sites.DATA_CENTRE,
            '--listen',
            str(addresses.listen),
            '--peer-address',
            str(addresses.peer),
            '--health-address',
            str(addresses.health),
            '--metrics-address',
            str(addresses.metrics),
            '--platform-url',
            self.site.platform_url,
            '--keys-file',
            str(self.keys_file),
            *flags,
        )

    def start_fabric(self, *flags: str) -> None:
        """Start the fabric."""
        arguments = ['-m', 'acaciamoor.standins.fabric']
        for service in self.site.services_by_name.values():
            arguments += ['--service-address', str(service.address)]
        for host, addresses in self.site.balancers_by_host.items():
            arguments += ['--balancer', f'{host}={addresses.listen}']
            arguments += ['--health', f'{host}={addresses.health}']
        self.launcher.start('fabric', *arguments, *flags)

    def start_caller(self, *flags: str) -> subprocess.Popen:
        """Start one process with the callers of all services."""
        arguments = ['-m', 'acaciamoor.standins.caller']
        for service in self.site.services_by_name.values():
            arguments += [
                '--service',
                f'{service.service_id}={service.address}',
            ]
            for upstream in service.upstreams_by_id.values():
                arguments += ['--upstream-control', str(upstream.control)]
        return self.launcher.start('caller', *arguments, *flags)

    async def wait_until_ready(self) -> None:
        """Wait until all upstreams and balancers report to be healthy.

        Raises
        ------
        StartError
            If one is not healthy in time.
        """
        for service in self.site.services_by_name.values():
            for upstream in service.upstreams_by_id.values():
                await self._wait_until_serving(
                    f'http://{upstream.control}/health'
                )
        await self.wait_until_balancers_ready()

    async def wait_until_balancers_ready(self) -> None:
        """Wait until all balancers report to be healthy.

        Raises
        ------
        StartError
            If one is not healthy in time.
        """
        for addresses in self.site.balancers_by_host.values():
            await self._wait_until_serving(f'http://{addresses.health}/health')

    async def set_platform_faults(self, faults: dict[str, object]) -> None:
        """Replace the faults injected into the platform."""
        async with aiohttp.ClientSession() as session:
            await session.put(
                f'{self.site.platform_url}/admin/faults', json=faults
            )

    async def _wait_until_serving(self, url: str) -> None:
        try:
            async with asyncio.timeout(START_TIMEOUT.total_seconds()):
                async with aiohttp.ClientSession() as session:
                    while not await _is_serving(session, url):
                        await asyncio.sleep(_POLL_INTERVAL.total_seconds())
        except TimeoutError:
            raise StartError(
                f'{url} is not serving; failed processes: '
                f'{self.launcher.failed_exit_codes()}'
            ) from None


async def _is_serving(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False

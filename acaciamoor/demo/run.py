"""Run of the demo: faults injected under load, and the callers' results."""

import asyncio
import contextlib
import dataclasses
import datetime
import json
import pathlib
import random
import signal
import subprocess

from acaciamoor import clock as clocks
from acaciamoor.demo import fleet as fleets
from acaciamoor.demo import launcher as launchers
from acaciamoor.demo import operators
from acaciamoor.demo import scraper as scrapers
from acaciamoor.demo import site as sites
from acaciamoor.demo import table
import acaciamoor.model as model
from acaciamoor.standins.caller import checks

UPSTREAMS_BY_SERVICE = {'order-desk': 7, 'quote-bench': 3}
DRAINED_SERVICE = 'order-desk'
DRAINED_UPSTREAM = model.UpstreamId('desk-3')
# Time after its drain from which an upstream must receive no new requests.
DRAIN_LIMIT = datetime.timedelta(seconds=3)
_TIME_BEFORE_DRAIN = datetime.timedelta(seconds=4)
_TIME_AFTER_KILL = datetime.timedelta(seconds=15)
_CALLER_STOP_TIMEOUT = datetime.timedelta(seconds=15)


@dataclasses.dataclass(frozen=True, slots=True)
class DemoSettings:
    """Settings of the demo.

    Parameters
    ----------
    balancers : int
        Number of balancers.
    seed : int
        Seed of the callers, the fabric and the choice of the killed host.
    directory : Path
        Directory for logs and metrics.
    """

    balancers: int
    seed: int
    directory: pathlib.Path


@dataclasses.dataclass(frozen=True, slots=True)
class DemoResult:
    """Results of the demo.

    Parameters
    ----------
    counters_by_service : dict
        Counters of the callers of each service.
    late_runs : int
        Number of requests that the drained upstream received later than
        `DRAIN_LIMIT` after its drain.
    failed_exit_codes : dict
        Exit codes of the processes that failed, by name.
    """

    counters_by_service: dict[str, dict[str, object]]
    late_runs: int
    failed_exit_codes: dict[str, int]

    @property
    def passed(self) -> bool:
        """Whether callers were served and all guarantees held."""
        return not (
            self.late_runs
            or self.failed_exit_codes
            or any(
                table.count_violations(counters)
                or not counters['complete']
                or not counters['streams opened']
                for counters in self.counters_by_service.values()
            )
        )


class Demo:
    """One run of the demo.

    Parameters
    ----------
    settings : DemoSettings
        Settings of the demo.
    launcher : Launcher
        Launcher of the processes.
    """

    def __init__(
        self, settings: DemoSettings, launcher: launchers.Launcher
    ) -> None:
        self._settings = settings
        self._launcher = launcher
        self._random = random.Random(settings.seed)
        site = sites.new_site(settings.balancers, UPSTREAMS_BY_SERVICE)
        self._fleet = fleets.Fleet(site, launcher, settings.directory)
        self._operator_client = operators.OperatorClient(site, launcher)

    async def run(self) -> DemoResult:
        """Start the site, inject the faults and collect the results."""
        await self._start()
        scraper = self._new_scraper()
        scraping = asyncio.create_task(scraper.run())
        caller = self._fleet.start_caller('--seed', str(self._settings.seed))
        try:
            await self._sleep_in_phase(_TIME_BEFORE_DRAIN, 'serving')
            await self._drain_upstream()
            killed = self._kill_random_balancer()
            await self._sleep_in_phase(DRAIN_LIMIT, f'{killed} was killed')
            runs_before = await self._count_drained_runs()
            await self._sleep_in_phase(
                _TIME_AFTER_KILL, 'serving with one host less'
            )
            late_runs = await self._count_drained_runs() - runs_before
            counters_by_service = await self._stop_callers(caller)
        finally:
            scraping.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await scraping
        return DemoResult(
            counters_by_service, late_runs, self._launcher.failed_exit_codes()
        )

    async def _start(self) -> None:
        print('starting platform, operator API, upstreams, balancers, fabric')
        await self._fleet.start_platform()
        self._operator_client.start()
        for service in self._fleet.site.services_by_name.values():
            print(await self._operator_client.create(service))
        await self._fleet.reload_services()
        for service in self._fleet.site.services_by_name.values():
            self._fleet.start_upstreams(
                service, '--cold-start', '1', '--push-interval', '1'
            )
        for host in self._fleet.site.balancers_by_host:
            self._fleet.start_balancer(host, '--grace-period', '1')
        await self._fleet.wait_until_ready()
        self._fleet.start_fabric('--seed', str(self._settings.seed))

    def _new_scraper(self) -> scrapers.Scraper:
        metrics_by_host = {
            host: addresses.metrics
            for host, addresses in (self._fleet.site.balancers_by_host.items())
        }
        return scrapers.Scraper(
            self._settings.directory / 'metrics',
            metrics_by_host,
            clocks.SystemClock(),
        )

    async def _drain_upstream(self) -> None:
        print(f'draining {DRAINED_UPSTREAM} of {DRAINED_SERVICE}')
        print(
            await self._operator_client.drain(
                DRAINED_SERVICE, DRAINED_UPSTREAM
            )
        )

    def _kill_random_balancer(self) -> model.HostId:
        host = self._random.choice(sorted(self._fleet.site.balancers_by_host))
        print(f'killing {host}')
        self._launcher.kill(host)
        return host

    async def _count_drained_runs(self) -> int:
        service = self._fleet.site.services_by_name[DRAINED_SERVICE]
        control = service.upstreams_by_id[DRAINED_UPSTREAM].control
        (records,) = await checks.fetch_records([control])
        return len(records.runs)

    async def _stop_callers(
        self, caller: subprocess.Popen
    ) -> dict[str, dict[str, object]]:
        print('waiting for the callers')
        caller.send_signal(signal.SIGTERM)
        output, _ = await asyncio.to_thread(
            caller.communicate, timeout=_CALLER_STOP_TIMEOUT.total_seconds()
        )
        names_by_id = {
            service.service_id: name
            for name, service in self._fleet.site.services_by_name.items()
        }
        return {
            names_by_id[counters['service']]: counters
            for counters in json.loads(output)
        }

    async def _sleep_in_phase(
        self, duration: datetime.timedelta, phase: str
    ) -> None:
        print(f'{phase} for {duration.total_seconds():g} s')
        await asyncio.sleep(duration.total_seconds())

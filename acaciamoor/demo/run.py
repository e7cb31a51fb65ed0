"""The demo: faults while callers are served, and what the callers saw."""

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
# An upstream gets no new work this long after it was drained.
DRAIN_LIMIT = datetime.timedelta(seconds=3)
_SERVING_BEFORE = datetime.timedelta(seconds=4)
_SERVING_AFTER = datetime.timedelta(seconds=15)
_CALLER_TIMEOUT = datetime.timedelta(seconds=15)


@dataclasses.dataclass(frozen=True, slots=True)
class DemoSettings:
    """Size of the demo.

    Parameters
    ----------
    balancers : int
        Number of balancers.
    seed : int
        Seed of the callers, the fabric and the choice of the killed host.
    directory : Path
        Where logs and metrics are written.
    """

    balancers: int
    seed: int
    directory: pathlib.Path


@dataclasses.dataclass(frozen=True, slots=True)
class DemoResult:
    """What the demo found.

    Parameters
    ----------
    seen_by_service : dict
        What the callers of each service saw.
    late_runs : int
        Requests that the drained upstream got after `DRAIN_LIMIT`.
    failed : dict
        Exit codes of processes that failed.
    """

    seen_by_service: dict[str, dict[str, object]]
    late_runs: int
    failed: dict[str, int]

    @property
    def kept(self) -> bool:
        """Whether callers were served and no promise was broken."""
        return not (
            self.late_runs
            or self.failed
            or any(
                table.broken_promises(seen)
                or not seen['complete']
                or not seen['streams opened']
                for seen in self.seen_by_service.values()
            )
        )


class Demo:
    """One run of the demo.

    Parameters
    ----------
    settings : DemoSettings
        Size.
    launcher : Launcher
        Starts the processes.
    """

    def __init__(
        self, settings: DemoSettings, launcher: launchers.Launcher
    ) -> None:
        self._settings = settings
        self._launcher = launcher
        self._random = random.Random(settings.seed)
        site = sites.new_site(settings.balancers, UPSTREAMS_BY_SERVICE)
        self._fleet = fleets.Fleet(site, launcher, settings.directory)
        self._operators = operators.Operators(site, launcher)

    async def run(self) -> DemoResult:
        """Start the site, inject the faults and check the promises."""
        await self._start()
        scraper = self._scraper()
        scraping = asyncio.create_task(scraper.run())
        caller = self._fleet.start_caller('--seed', str(self._settings.seed))
        try:
            await self._sleep(_SERVING_BEFORE, 'serving')
            await self._drain()
            killed = self._kill()
            await self._sleep(DRAIN_LIMIT, f'{killed} was killed')
            before = await self._runs_of_drained()
            await self._sleep(_SERVING_AFTER, 'serving with one host less')
            late_runs = await self._runs_of_drained() - before
            seen_by_service = await self._end(caller)
        finally:
            scraping.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await scraping
        return DemoResult(seen_by_service, late_runs, self._launcher.failed())

    async def _start(self) -> None:
        print(
            "starting platform, operators' API, upstreams, balancers, fabric"
        )
        await self._fleet.start_platform()
        self._operators.start()
        for service in self._fleet.site.services_by_name.values():
            print(await self._operators.create(service))
        await self._fleet.read_services()
        for service in self._fleet.site.services_by_name.values():
            self._fleet.start_upstreams(
                service, '--cold-start', '1', '--push-interval', '1'
            )
        for host in self._fleet.site.balancers_by_host:
            self._fleet.start_balancer(host, '--grace-period', '1')
        await self._fleet.until_ready()
        self._fleet.start_fabric('--seed', str(self._settings.seed))

    def _scraper(self) -> scrapers.Scraper:
        metrics_by_host = {
            host: addresses.metrics
            for host, addresses in (self._fleet.site.balancers_by_host.items())
        }
        return scrapers.Scraper(
            self._settings.directory / 'metrics',
            metrics_by_host,
            clocks.SystemClock(),
        )

    async def _drain(self) -> None:
        print(f'draining {DRAINED_UPSTREAM} of {DRAINED_SERVICE}')
        print(await self._operators.drain(DRAINED_SERVICE, DRAINED_UPSTREAM))

    def _kill(self) -> model.HostId:
        host = self._random.choice(sorted(self._fleet.site.balancers_by_host))
        print(f'killing {host}')
        self._launcher.kill(host)
        return host

    async def _runs_of_drained(self) -> int:
        service = self._fleet.site.services_by_name[DRAINED_SERVICE]
        control = service.upstreams_by_id[DRAINED_UPSTREAM].control
        (records,) = await checks.fetch_records([control])
        return len(records.runs)

    async def _end(
        self, caller: subprocess.Popen
    ) -> dict[str, dict[str, object]]:
        print('waiting for the callers')
        caller.send_signal(signal.SIGTERM)
        output, _ = await asyncio.to_thread(
            caller.communicate, timeout=_CALLER_TIMEOUT.total_seconds()
        )
        names_by_number = {
            service.service_id: name
            for name, service in self._fleet.site.services_by_name.items()
        }
        return {
            names_by_number[seen['service']]: seen
            for seen in json.loads(output)
        }

    async def _sleep(self, duration: datetime.timedelta, state: str) -> None:
        print(f'{state} for {duration.total_seconds():g} s')
        await asyncio.sleep(duration.total_seconds())

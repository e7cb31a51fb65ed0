"""Recording of the balancers' metrics during the demo."""

import asyncio
import datetime
import json
import pathlib

import aiohttp

from acaciamoor import clock as clocks
from acaciamoor import model

SCRAPE_INTERVAL = datetime.timedelta(seconds=1)


class Scraper:
    """Appends the metrics of each host to a JSON Lines file.

    Each line has the fields ``time`` (ISO 8601, UTC), ``host`` and ``text``
    (Prometheus text format). A failed scrape adds no line, which leaves
    a gap in the file.

    Parameters
    ----------
    directory : Path
        Directory of the files, named ``<host>.jsonl``.
    metrics_by_host : dict
        Addresses of the metrics endpoints.
    clock : Clock
        Source of the wall-clock time.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        metrics_by_host: dict[model.HostId, model.Address],
        clock: clocks.Clock,
    ) -> None:
        self._directory = directory
        self._metrics_by_host = metrics_by_host
        self._clock = clock
        self.latest_by_host: dict[model.HostId, str] = {}

    async def run(self) -> None:
        """Scrape all hosts once per `SCRAPE_INTERVAL` until cancelled."""
        self._directory.mkdir(parents=True, exist_ok=True)
        timeout = aiohttp.ClientTimeout(total=SCRAPE_INTERVAL.total_seconds())
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.gather(
                    *(self._scrape(session, h) for h in self._metrics_by_host)
                )
                await asyncio.sleep(SCRAPE_INTERVAL.total_seconds())

    async def _scrape(
        self, session: aiohttp.ClientSession, host: model.HostId
    ) -> None:
        url = f'http://{self._metrics_by_host[host]}/metrics'
        try:
            async with session.get(url) as response:
                text = await response.text()
        except (aiohttp.ClientError, TimeoutError):
            self.latest_by_host.pop(host, None)
            return
        self.latest_by_host[host] = text
        line = {
            'time': self._clock.now().isoformat(timespec='milliseconds'),
            'host': host,
            'text': text,
        }
        path = self._directory / f'{host}.jsonl'
        with path.open('a', encoding='utf-8') as file:
            file.write(json.dumps(line) + '\n')

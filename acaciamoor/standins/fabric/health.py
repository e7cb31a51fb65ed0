"""Health checks that withdraw balancers from the fabric."""

import asyncio
import collections
import collections.abc
import datetime

import aiohttp

from acaciamoor import model
from acaciamoor.standins.fabric import spray

CHECK_INTERVAL = datetime.timedelta(milliseconds=250)
# Needed because a frozen balancer accepts connections but never answers.
CHECK_TIMEOUT = datetime.timedelta(milliseconds=250)
FAILURES_TO_WITHDRAW = 2


class HealthChecker:
    """Polls the balancers and withdraws those whose checks keep failing.

    A balancer is withdrawn after `FAILURES_TO_WITHDRAW` consecutive failures
    and returns with its first success.

    Parameters
    ----------
    fabric : Fabric
        Fabric whose usable balancers are set.
    health_by_host : Mapping
        HTTP address of every balancer's health endpoint.
    """

    def __init__(
        self,
        fabric: spray.Fabric,
        health_by_host: collections.abc.Mapping[model.HostId, model.Address],
    ) -> None:
        self._fabric = fabric
        self._health_by_host = dict(health_by_host)
        self._failures_by_host: collections.Counter[model.HostId] = (
            collections.Counter()
        )

    async def run(self) -> None:
        """Check all balancers until cancelled."""
        timeout = aiohttp.ClientTimeout(total=CHECK_TIMEOUT.total_seconds())
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while self._health_by_host:
                await asyncio.gather(
                    *(self._check(session, h) for h in self._health_by_host)
                )
                self._fabric.set_usable(
                    host
                    for host in self._health_by_host
                    if self._failures_by_host[host] < FAILURES_TO_WITHDRAW
                )
                await asyncio.sleep(CHECK_INTERVAL.total_seconds())

    async def _check(
        self, session: aiohttp.ClientSession, host: model.HostId
    ) -> None:
        url = f'http://{self._health_by_host[host]}/health'
        try:
            async with session.get(url) as response:
                healthy = response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            healthy = False
        self._failures_by_host[host] = (
            0 if healthy else self._failures_by_host[host] + 1
        )

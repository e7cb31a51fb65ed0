"""Traffic of the callers of one service."""

import asyncio
import dataclasses
import datetime
import random

from acaciamoor import model
from acaciamoor.standins.caller import link as links
from acaciamoor.standins.caller import requests
from acaciamoor.standins.caller import streams
from acaciamoor.standins.caller import tally as tallies
import acaciamoor.standins.contract as contract
import acaciamoor.wire as wire

# Later requests of a flow are bound to the upstream of the first one.
_REQUESTS_PER_FLOW = 2
_LARGE_ANSWER_BYTES = 3000


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Traffic to one service.

    Parameters
    ----------
    service : int
        Number of the service.
    address : Address
        Where datagrams are sent.
    streams : int
        Open streams.
    stream_interval : datetime.timedelta
        Time between the datagrams of a stream.
    rate : float
        New request flows per second.
    run_time : datetime.timedelta
        Time that short work takes.
    long_factor : float
        How many times longer long work takes.
    long_share : float
        Share of requests that are long.
    timeout : datetime.timedelta
        Deadline of every request.
    seed : int
        Seed of all random choices.
    """

    service: int
    address: model.Address
    streams: int = 20
    stream_interval: datetime.timedelta = datetime.timedelta(milliseconds=500)
    rate: float = 20.0
    run_time: datetime.timedelta = datetime.timedelta(milliseconds=10)
    long_factor: float = 20.0
    long_share: float = 0.05
    timeout: datetime.timedelta = datetime.timedelta(seconds=5)
    seed: int = 7


class Client:
    """Runs `traffic` and counts what comes back in `tally`."""

    def __init__(self, traffic: Traffic) -> None:
        self.tally = tallies.ServiceTally(traffic.service)
        self._traffic = traffic
        self._random = random.Random(f'{traffic.seed}-{traffic.service}')
        self._link = links.Link(traffic.address)

    async def run(self, closing: asyncio.Event) -> None:
        """Send until `closing` is set, then wait for what is in progress."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self._link, local_addr=('127.0.0.1', 0)
        )
        async with asyncio.TaskGroup() as group:
            for _ in range(self._traffic.streams):
                group.create_task(self._stream(closing))
            while not closing.is_set():
                delay = self._random.expovariate(self._traffic.rate)
                await asyncio.sleep(delay)
                group.create_task(self._request_flow())
        self._link.close()

    async def _stream(self, closing: asyncio.Event) -> None:
        stream = streams.Stream(
            self._link,
            self.tally,
            self._random.getrandbits(64),
            self._traffic.stream_interval,
        )
        await stream.run(closing)

    async def _request_flow(self) -> None:
        flow = self._random.getrandbits(64)
        for number in range(1, 1 + _REQUESTS_PER_FLOW):
            plan = self._plan(flow, number)
            await requests.Request(self._link, self.tally, plan).run()

    def _plan(self, flow: int, number: int) -> requests.RequestPlan:
        long = self._random.random() < self._traffic.long_share
        run_time = self._traffic.run_time
        if long:
            run_time *= self._traffic.long_factor
        order = contract.WorkOrder(
            token=f'{flow:x}-{number}',
            run_ms=run_time // datetime.timedelta(milliseconds=1),
            answer_bytes=_LARGE_ANSWER_BYTES if long else 0,
        )
        return requests.RequestPlan(
            flow=flow,
            request=number,
            idempotent=self._random.random() < 0.5,
            size_class=wire.SizeClass.LONG if long else wire.SizeClass.SHORT,
            order=order,
            timeout=self._traffic.timeout,
        )

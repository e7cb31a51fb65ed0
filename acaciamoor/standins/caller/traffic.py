"""Generator of the traffic of the callers of one service."""

import asyncio
import dataclasses
import datetime
import random

from acaciamoor import model
from acaciamoor.standins.caller import counters as service_counters
from acaciamoor.standins.caller import requests
from acaciamoor.standins.caller import service_socket
from acaciamoor.standins.caller import streams
import acaciamoor.standins.contract as contract
import acaciamoor.wire as wire

# More than one, since later requests are bound to the upstream of the first.
_REQUESTS_PER_FLOW = 2
_LARGE_ANSWER_BYTES = 3000


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficSettings:
    """Volume and shape of the traffic to one service.

    Parameters
    ----------
    service : int
        Identifier of the service.
    address : Address
        Address that datagrams are sent to.
    streams : int
        Number of concurrently open streams.
    stream_interval : datetime.timedelta
        Time between the datagrams of a stream.
    rate : float
        Mean rate of new request flows, per second.
    run_time : datetime.timedelta
        Processing time of a short request.
    long_factor : float
        Processing time of a long request relative to a short one.
    long_share : float
        Share of requests that are long.
    timeout : datetime.timedelta
        Timeout of every request.
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


class TrafficGenerator:
    """Sends the traffic of `traffic` and records the results in `counters`."""

    def __init__(self, traffic: TrafficSettings) -> None:
        self.counters = service_counters.ServiceCounters(traffic.service)
        self._traffic = traffic
        self._random = random.Random(f'{traffic.seed}-{traffic.service}')
        self._socket = service_socket.ServiceSocket(traffic.address)

    async def run(self, closing: asyncio.Event) -> None:
        """Send until `closing` is set, then wait for flows in progress."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self._socket, local_addr=('127.0.0.1', 0)
        )
        async with asyncio.TaskGroup() as group:
            for _ in range(self._traffic.streams):
                group.create_task(self._run_stream(closing))
            while not closing.is_set():
                delay = self._random.expovariate(self._traffic.rate)
                await asyncio.sleep(delay)
                group.create_task(self._run_request_flow())
        self._socket.close()

    async def _run_stream(self, closing: asyncio.Event) -> None:
        stream = streams.Stream(
            self._socket,
            self.counters,
            self._random.getrandbits(64),
            self._traffic.stream_interval,
        )
        await stream.run(closing)

    async def _run_request_flow(self) -> None:
        flow = self._random.getrandbits(64)
        for number in range(1, 1 + _REQUESTS_PER_FLOW):
            parameters = self._draw_request(flow, number)
            await requests.Request(
                self._socket, self.counters, parameters
            ).run()

    def _draw_request(
        self, flow: int, number: int
    ) -> requests.RequestParameters:
        is_long = self._random.random() < self._traffic.long_share
        run_time = self._traffic.run_time
        if is_long:
            run_time *= self._traffic.long_factor
        payload = contract.RequestPayload(
            token=f'{flow:x}-{number}',
            run_ms=run_time // datetime.timedelta(milliseconds=1),
            answer_bytes=_LARGE_ANSWER_BYTES if is_long else 0,
        )
        return requests.RequestParameters(
            flow=flow,
            request=number,
            idempotent=self._random.random() < 0.5,
            size_class=wire.SizeClass.LONG
            if is_long
            else wire.SizeClass.SHORT,
            payload=payload,
            timeout=self._traffic.timeout,
        )

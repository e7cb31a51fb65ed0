"""Process of a balancer: the driver and the tasks around it."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import datetime
import functools
import logging
import pathlib
import random
import signal

from acaciamoor import sockets
from acaciamoor.balancer import core as cores
from acaciamoor.balancer import keys
from acaciamoor.balancer.shell import driver as drivers
from acaciamoor.balancer.shell import health_endpoint
from acaciamoor.balancer.shell import metrics
from acaciamoor.balancer.shell import platform_task
from acaciamoor.balancer.shell import request_log
from acaciamoor.balancer.shell import upstream_poller
import acaciamoor.clock as clocks
import acaciamoor.model as model
import acaciamoor.platform as platform
import acaciamoor.supervision as supervision
import acaciamoor.telemetry as telemetry

LOG = logging.getLogger('acaciamoor.balancer')
# A placer with requests needs a call at least every 10 ms. Without requests,
# the longer interval reduced the CPU time from 4.0 % to 1.8 % of a core in a
# trial.
TICK_INTERVAL = datetime.timedelta(milliseconds=10)
IDLE_TICK_INTERVAL = datetime.timedelta(milliseconds=50)


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Settings of a balancer process.

    Parameters
    ----------
    core : CoreSettings
        Settings of the core.
    listen : Address
        Address for datagrams from the fabric.
    peer_address : Address
        Address for messages of other balancers.
    health_address : Address
        Address of the health endpoint for the fabric.
    metrics_address : Address or None
        Address of the Prometheus endpoint, if there is one.
    platform_url : str
        Address of the platform.
    keys_file : Path
        Keys for messages between balancers.
    host_interval : datetime.timedelta
        Mean time between reads of the host list.
    """

    core: cores.CoreSettings
    listen: model.Address
    peer_address: model.Address
    health_address: model.Address
    metrics_address: model.Address | None
    platform_url: str
    keys_file: pathlib.Path
    host_interval: datetime.timedelta


class BalancerProcess:
    """Runs one balancer until it has shut down.

    Parameters
    ----------
    settings : ProcessSettings
        Settings of the process.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._stopped = asyncio.Event()

    async def run(self) -> None:
        """Serve until a graceful shutdown has ended.

        Raises
        ------
        OSError
            If an address cannot be bound.
        FindingsError
            If the key file is not valid.
        """
        loop = asyncio.get_running_loop()
        core = cores.BalancerCore(
            self._settings.core,
            self._clock,
            self._rng,
            keys.read_keyring(self._settings.keys_file),
        )
        async with contextlib.AsyncExitStack() as stack:
            driver = self._create_driver(core)
            stack.callback(driver.close, loop)
            self._serve_metrics(stack, driver)
            endpoint = health_endpoint.HealthEndpoint(
                core, self._settings.health_address
            )
            stack.push_async_callback(endpoint.close)
            await endpoint.start()
            await self._start_tasks(stack, driver)
            self._handle_signals(loop, driver)
            driver.start(loop)
            LOG.info('serving on %s', self._settings.listen)
            await self._stopped.wait()
            LOG.info('exiting')

    def _create_driver(self, core: cores.BalancerCore) -> drivers.Driver:
        listen, peer = self._settings.listen, self._settings.peer_address
        small = drivers.CALLER_DATAGRAM_BYTES
        large = drivers.PEER_DATAGRAM_BYTES
        return drivers.Driver(
            core,
            sockets.DatagramSocket(listen.ip, listen.port, small),
            sockets.DatagramSocket(listen.ip, 0, small),
            sockets.DatagramSocket(peer.ip, peer.port, large),
        )

    def _serve_metrics(
        self, stack: contextlib.AsyncExitStack, driver: drivers.Driver
    ) -> None:
        identity = self._settings.core
        endpoint = telemetry.MetricsEndpoint(
            telemetry.ProcessIdentity(
                'acaciamoor-balancer', identity.data_centre, identity.host_id
            ),
            self._settings.metrics_address,
        )
        stack.callback(endpoint.close)
        meter = endpoint.meter('acaciamoor.balancer')
        metrics.register(meter, driver)
        driver.effects.subscribe(metrics.RequestMetrics(meter).record)
        driver.effects.subscribe(request_log.RequestLog(self._clock).record)

    async def _start_tasks(
        self, stack: contextlib.AsyncExitStack, driver: drivers.Driver
    ) -> None:
        transport = await stack.enter_async_context(
            platform.HttpTransport(self._settings.platform_url)
        )
        post = driver.events.on_next
        platform_connection = platform_task.PlatformTask(
            platform.PlatformStore(transport, self._rng),
            self._settings.core.data_centre,
            driver.core,
            post,
            self._rng,
            self._settings.host_interval,
        )
        poller = upstream_poller.UpstreamPoller(self._clock, post)
        driver.effects.subscribe(
            functools.partial(
                _carry_out,
                platform_connection=platform_connection,
                poller=poller,
                stopped=self._stopped,
            )
        )
        for name, run in (
            ('the connection to the platform', platform_connection.run),
            ('polling upstreams', poller.run),
            ('the clock', functools.partial(_run_ticks, driver)),
        ):
            _start_task(stack, supervision.supervise(name, run))

    def _handle_signals(
        self, loop: asyncio.AbstractEventLoop, driver: drivers.Driver
    ) -> None:
        post = driver.events.on_next
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, post, cores.LeaveRequested())
        loop.add_signal_handler(
            signal.SIGHUP, keys.reload, self._settings.keys_file, post
        )


def _start_task(
    stack: contextlib.AsyncExitStack,
    coroutine: collections.abc.Coroutine[object, object, None],
) -> None:
    task = supervision.spawn(coroutine)

    async def end() -> None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    stack.push_async_callback(end)


async def _run_ticks(driver: drivers.Driver) -> None:
    while True:
        driver.events.on_next(cores.Tick())
        placers = driver.core.request_path.placers
        idle = placers.queued + placers.bound == 0
        await asyncio.sleep(
            (IDLE_TICK_INTERVAL if idle else TICK_INTERVAL).total_seconds()
        )


@functools.singledispatch
def _carry_out(
    effect: cores.Effect,
    platform_connection: platform_task.PlatformTask,
    poller: upstream_poller.UpstreamPoller,
    stopped: asyncio.Event,
) -> None:
    raise TypeError(
        f'{type(effect).__name__} is not an effect of the balancer core'
    )


@_carry_out.register
def _(
    effect: cores.SetWatch,
    platform_connection: platform_task.PlatformTask,
    poller: upstream_poller.UpstreamPoller,
    stopped: asyncio.Event,
) -> None:
    LOG.info('watch of the platform %s', 'held' if effect.active else 'ended')
    platform_connection.set_watch(effect.active)


@_carry_out.register
def _(
    effect: cores.WriteStatus,
    platform_connection: platform_task.PlatformTask,
    poller: upstream_poller.UpstreamPoller,
    stopped: asyncio.Event,
) -> None:
    platform_connection.write_status(effect.version)


@_carry_out.register
def _(
    effect: cores.PollUpstreams,
    platform_connection: platform_task.PlatformTask,
    poller: upstream_poller.UpstreamPoller,
    stopped: asyncio.Event,
) -> None:
    poller.set_upstreams(effect)


@_carry_out.register
def _(
    effect: cores.WriteLog,
    platform_connection: platform_task.PlatformTask,
    poller: upstream_poller.UpstreamPoller,
    stopped: asyncio.Event,
) -> None:
    fields = {'service': effect.service or None, 'flow': effect.flow}
    LOG.log(effect.severity, effect.message, extra=fields)


@_carry_out.register(cores.RequestStarted)
@_carry_out.register(cores.RequestRefused)
@_carry_out.register(cores.RequestEnded)
def _(
    effect: cores.Effect,
    platform_connection: platform_task.PlatformTask,
    poller: upstream_poller.UpstreamPoller,
    stopped: asyncio.Event,
) -> None:
    """Do nothing; `RequestMetrics` and `RequestLog` record requests."""


@_carry_out.register
def _(
    effect: cores.Exit,
    platform_connection: platform_task.PlatformTask,
    poller: upstream_poller.UpstreamPoller,
    stopped: asyncio.Event,
) -> None:
    stopped.set()

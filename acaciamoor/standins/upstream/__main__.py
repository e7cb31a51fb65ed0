"""Runs the upstream stand-in until SIGTERM or SIGINT."""

import asyncio
import contextlib
import datetime
import sys

from aiohttp import web

from acaciamoor import clock as clocks
from acaciamoor import settings
from acaciamoor.standins import processes
from acaciamoor.standins.upstream import behaviour as behaviours
from acaciamoor.standins.upstream import control as controls
from acaciamoor.standins.upstream import server as servers
import acaciamoor.telemetry as telemetry

_ZERO = datetime.timedelta(0)
NAME = settings.RequiredFlag(
    'name', settings.text, 'Identifier of the upstream.'
)
SERVICE = settings.RequiredFlag(
    'service', settings.integer(0), 'Identifier of the service.'
)
LISTEN = settings.RequiredFlag(
    'listen', settings.address, 'Address to receive datagrams on.', 'ip:port'
)
CONTROL = settings.RequiredFlag(
    'control', settings.address, 'Address of the HTTP endpoints.', 'ip:port'
)
SLOTS = settings.Flag('slots', settings.integer(1), 2, 'Slots.', 'requests')
CONNECTIONS = settings.Flag(
    'connections',
    settings.integer(0),
    2000,
    'Maximum number of open streams.',
    'streams',
)
COLD_START = settings.Flag(
    'cold-start',
    settings.duration(),
    _ZERO,
    'Time after the start with slower processing.',
    's',
)
REPORT_LAG = settings.Flag(
    'report-lag',
    settings.duration(),
    _ZERO,
    'Age of the reported health and load.',
    's',
)
HEALTH_MISLEADS = settings.Flag(
    'health-misleads', settings.boolean, False, 'Always report to be healthy.'
)
LOAD_MISLEADS = settings.Flag(
    'load-misleads',
    settings.boolean,
    False,
    'Always report all slots as free.',
)
PUSH_INTERVAL = settings.Flag(
    'push-interval',
    settings.duration(),
    _ZERO,
    'Time between datagrams pushed to each stream; 0 disables.',
    's',
)
SHED_SHARE = settings.Flag(
    'shed-share',
    settings.number(0.0, 1.0),
    0.0,
    'Share of requests shed although a slot is free.',
)
SEED = settings.Flag('seed', settings.integer(), 7, 'Random seed.')
FLAGS = (
    NAME,
    SERVICE,
    LISTEN,
    CONTROL,
    SLOTS,
    CONNECTIONS,
    COLD_START,
    REPORT_LAG,
    HEALTH_MISLEADS,
    LOAD_MISLEADS,
    PUSH_INTERVAL,
    SHED_SHARE,
    SEED,
    *telemetry.LOG_FLAGS,
)


def _behaviour_from_settings(given: settings.Settings) -> behaviours.Behaviour:
    return behaviours.Behaviour(
        name=given[NAME],
        service=given[SERVICE],
        slots=given[SLOTS],
        connections=given[CONNECTIONS],
        cold_start=given[COLD_START],
        report_lag=given[REPORT_LAG],
        health_misleads=given[HEALTH_MISLEADS],
        load_misleads=given[LOAD_MISLEADS],
        push_interval=given[PUSH_INTERVAL],
        shed_share=given[SHED_SHARE],
        seed=given[SEED],
    )


async def _serve(given: settings.Settings) -> None:
    clock = clocks.SystemClock()
    loop = asyncio.get_running_loop()
    server = servers.UpstreamServer(_behaviour_from_settings(given), clock)
    control = controls.ControlEndpoint(server, clock)
    await loop.create_datagram_endpoint(
        lambda: server, local_addr=given[LISTEN].as_tuple()
    )
    async with contextlib.AsyncExitStack() as stack:
        runner = web.AppRunner(control.application(), access_log=None)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, *given[CONTROL].as_tuple()).start()
        tasks = [
            processes.run_periodically(
                controls.SAMPLE_INTERVAL, control.sample
            ),
        ]
        if given[PUSH_INTERVAL]:
            tasks.append(
                processes.run_periodically(
                    given[PUSH_INTERVAL], server.push_to_streams
                )
            )
        await processes.run_until_stopped(tasks)


def main() -> settings.ExitCode:
    """Run the upstream."""
    given = settings.SettingsParser(
        'upstream', 'Upstream stand-in.', FLAGS
    ).parse()
    telemetry.configure_logging(given, telemetry.ProcessIdentity('upstream'))
    asyncio.run(_serve(given))
    return settings.ExitCode.SUCCESS


if __name__ == '__main__':
    sys.exit(settings.run_program(main))

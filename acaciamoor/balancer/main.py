"""Command-line program ``acaciamoor-balancer``."""

import asyncio
import datetime
import enum
import random
import sys

import uvloop

from acaciamoor.balancer import core as cores
from acaciamoor.balancer import shell
import acaciamoor.clock as clocks
import acaciamoor.model as model
import acaciamoor.settings as settings
import acaciamoor.telemetry as telemetry

EPILOG = """\
exit codes:
  0  graceful shutdown after SIGTERM or SIGINT
  1  failure, for example because an address is in use
  2  invalid settings

signals:
  SIGTERM, SIGINT  shut down gracefully: hand over, wait for bound requests,
                   forward for the grace period, exit
  SIGHUP           reload the key file
"""


class EventLoop(enum.Enum):
    """Implementation of the event loop."""

    UVLOOP = 'uvloop'
    ASYNCIO = 'asyncio'


LISTEN = settings.RequiredFlag(
    'listen',
    settings.address,
    'Address for datagrams from the fabric.',
    'ip:port',
)
PEER_ADDRESS = settings.RequiredFlag(
    'peer-address',
    settings.address,
    'Address for messages of other balancers.',
    'ip:port',
)
HEALTH_ADDRESS = settings.RequiredFlag(
    'health-address',
    settings.address,
    'Address of the health endpoint for the fabric.',
    'ip:port',
)
PLATFORM_URL = settings.RequiredFlag(
    'platform-url', settings.text, 'Address of the platform.', 'URL'
)
KEYS_FILE = settings.RequiredFlag(
    'keys-file',
    settings.path,
    'Keys for messages between balancers; reloaded on SIGHUP.',
    'path',
)
GRACE_PERIOD = settings.Flag(
    'grace-period',
    settings.duration(),
    datetime.timedelta(seconds=10),
    'Time of forwarding after the last bound request when shutting down.',
    's',
)
HOST_INTERVAL = settings.Flag(
    'host-interval',
    settings.duration(datetime.timedelta(milliseconds=100)),
    datetime.timedelta(seconds=30),
    "Mean time between reads of the platform's host list.",
    's',
)
EVENT_LOOP = settings.Flag(
    'event-loop',
    settings.choice(EventLoop),
    EventLoop.UVLOOP,
    'Implementation of the event loop: uvloop or asyncio.',
)
SEED = settings.Flag(
    'seed',
    settings.optional(settings.integer()),
    None,
    'Seed of random choices; by default chosen by the system.',
)
FLAGS = (
    *telemetry.FLAGS,
    LISTEN,
    PEER_ADDRESS,
    HEALTH_ADDRESS,
    PLATFORM_URL,
    KEYS_FILE,
    GRACE_PERIOD,
    HOST_INTERVAL,
    EVENT_LOOP,
    SEED,
)
_RUNNERS_BY_LOOP = {
    EventLoop.UVLOOP: uvloop.run,
    EventLoop.ASYNCIO: asyncio.run,
}


def process_settings(given: settings.Settings) -> shell.ProcessSettings:
    """Return the settings of the process from the parsed flags."""
    return shell.ProcessSettings(
        core=cores.CoreSettings(
            host_id=model.HostId(given[telemetry.HOST]),
            data_centre=model.DataCentre(given[telemetry.DATA_CENTRE]),
            grace_period=given[GRACE_PERIOD],
        ),
        listen=given[LISTEN],
        peer_address=given[PEER_ADDRESS],
        health_address=given[HEALTH_ADDRESS],
        metrics_address=given[telemetry.METRICS_ADDRESS],
        platform_url=given[PLATFORM_URL],
        keys_file=given[KEYS_FILE],
        host_interval=given[HOST_INTERVAL],
    )


async def _serve(given: settings.Settings, rng: random.Random) -> None:
    process = shell.BalancerProcess(
        process_settings(given), clocks.SystemClock(), rng
    )
    await process.run()


def _run() -> settings.ExitCode:
    parser = settings.SettingsParser(
        'acaciamoor-balancer',
        'Balances the flows of all services over their upstreams.',
        FLAGS,
        epilog=EPILOG,
    )
    given = parser.parse()
    telemetry.configure_logging(
        given,
        telemetry.ProcessIdentity(
            'acaciamoor-balancer',
            given[telemetry.DATA_CENTRE],
            given[telemetry.HOST],
        ),
    )
    rng = random.Random(given[SEED])
    try:
        _RUNNERS_BY_LOOP[given[EVENT_LOOP]](_serve(given, rng))
    except OSError as error:
        print(f'acaciamoor-balancer: {error}', file=sys.stderr)
        return settings.ExitCode.FAILURE
    return settings.ExitCode.SUCCESS


def main() -> int:
    """Run the balancer and return the exit code of the process."""
    return settings.run_program(_run)


if __name__ == '__main__':
    sys.exit(main())

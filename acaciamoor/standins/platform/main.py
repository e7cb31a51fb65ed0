"""The platform stand-in as a process of its own."""

import asyncio
import signal
import sys

from acaciamoor import model
from acaciamoor import settings
from acaciamoor.standins.platform import server as servers
import acaciamoor.telemetry as telemetry

ADDRESS = settings.Flag(
    'address',
    settings.address,
    model.Address('127.0.0.1', 8001),
    'Where the stand-in listens.',
    'ip:port',
)


async def serve(address: model.Address) -> None:
    """Serve until the process is told to stop."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    server = servers.PlatformServer()
    await server.start(address)
    await stopped.wait()
    await server.stop()


def main() -> int:
    """Run the stand-in and return the exit code of the process."""
    return settings.run_program(_run)


def _run() -> None:
    parser = settings.SettingsParser(
        'acaciamoor-standin-platform',
        'Stands in for the platform in tests and the demo.',
        (ADDRESS, *telemetry.LOG_FLAGS),
    )
    given = parser.parse()
    telemetry.configure_logging(given, telemetry.ProcessIdentity('platform'))
    asyncio.run(serve(given[ADDRESS]))


if __name__ == '__main__':
    sys.exit(main())

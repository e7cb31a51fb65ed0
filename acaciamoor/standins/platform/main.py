"""Command line of the platform stand-in."""

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
    'Address to listen on.',
    'ip:port',
)


async def serve(address: model.Address) -> None:
    """Serve on `address` until SIGINT or SIGTERM."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stop_requested.set)
    server = servers.PlatformServer()
    await server.start(address)
    await stop_requested.wait()
    await server.stop()


def main() -> int:
    """Run the stand-in and return the exit code of the process."""
    return settings.run_program(_run)


def _run() -> None:
    parser = settings.SettingsParser(
        'acaciamoor-standin-platform',
        'Platform stand-in for tests and the demo.',
        (ADDRESS, *telemetry.LOG_FLAGS),
    )
    given = parser.parse()
    telemetry.configure_logging(given, telemetry.ProcessIdentity('platform'))
    asyncio.run(serve(given[ADDRESS]))


if __name__ == '__main__':
    sys.exit(main())

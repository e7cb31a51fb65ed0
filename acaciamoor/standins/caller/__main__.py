"""Runs the caller stand-in and prints what it saw as JSON."""

import asyncio
import datetime
import signal
import sys

import msgspec

from acaciamoor import model
from acaciamoor import settings
from acaciamoor.standins.caller import checks
from acaciamoor.standins.caller import client as clients
import acaciamoor.telemetry as telemetry

_ZERO = datetime.timedelta(0)


def service_address(value: str) -> tuple[int, model.Address]:
    """Return number and address in ``number=ip:port``."""
    number, separator, address = value.partition('=')
    if not separator:
        raise ValueError(f'{value!r} is not of the form number=ip:port')
    return int(number), model.Address.parse(address)


SERVICES = settings.Flag(
    'service',
    settings.repeatable(service_address),
    (),
    'Services to call.',
    'number=ip:port',
)
CONTROLS = settings.Flag(
    'upstream-control',
    settings.repeatable(settings.address),
    (),
    'Upstreams to ask for their run records.',
    'ip:port',
)
STREAMS = settings.Flag(
    'streams', settings.integer(0), 20, 'Open streams.', 'streams a service'
)
RATE = settings.Flag(
    'rate', settings.number(0.001), 20.0, 'New flows.', '1/s a service'
)
RUN_TIME = settings.Flag(
    'run-time',
    settings.duration(),
    datetime.timedelta(milliseconds=10),
    'Time that short work takes.',
    's',
)
DURATION = settings.Flag(
    'duration',
    settings.duration(),
    _ZERO,
    'Length of the traffic; 0 lasts until SIGTERM.',
    's',
)
SEED = settings.Flag('seed', settings.integer(), 7, 'Random seed.')
FLAGS = (
    SERVICES,
    CONTROLS,
    STREAMS,
    RATE,
    RUN_TIME,
    DURATION,
    SEED,
    *telemetry.LOG_FLAGS,
)


async def _call(given: settings.Settings) -> bool:
    closing = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, closing.set)
    if given[DURATION]:
        loop.call_later(given[DURATION].total_seconds(), closing.set)
    callers = [
        clients.Client(
            clients.Traffic(
                service=number,
                address=address,
                streams=given[STREAMS],
                rate=given[RATE],
                run_time=given[RUN_TIME],
                seed=given[SEED],
            )
        )
        for number, address in given[SERVICES]
    ]
    async with asyncio.TaskGroup() as group:
        for caller in callers:
            group.create_task(caller.run(closing))
    records = await checks.fetch_records(given[CONTROLS])
    for caller in callers:
        checks.check_runs(caller.tally, records)
    print(
        msgspec.json.encode([c.tally.document() for c in callers]).decode(),
        flush=True,
    )
    return not any(
        count
        for caller in callers
        for count in caller.tally.broken_promises.values()
    )


def main() -> settings.ExitCode:
    """Run the caller; the exit code says whether all promises were kept."""
    given = settings.SettingsParser(
        'caller', 'Caller stand-in.', FLAGS
    ).parse()
    telemetry.configure_logging(given, telemetry.ProcessIdentity('caller'))
    kept = asyncio.run(_call(given))
    return settings.ExitCode.SUCCESS if kept else settings.ExitCode.FAILURE


if __name__ == '__main__':
    sys.exit(settings.run_program(main))

"""Runs the caller stand-in and prints its counters as JSON."""

import asyncio
import datetime
import signal
import sys

import msgspec

from acaciamoor import model
from acaciamoor import settings
from acaciamoor.standins.caller import checks
from acaciamoor.standins.caller import traffic
import acaciamoor.telemetry as telemetry

_ZERO = datetime.timedelta(0)


def service_address(value: str) -> tuple[int, model.Address]:
    """Parse a service identifier and address given as ``number=ip:port``."""
    number, separator, address = value.partition('=')
    if not separator:
        raise ValueError(f'{value!r} is not of the form number=ip:port')
    return int(number), model.Address.parse(address)


SERVICES = settings.Flag(
    'service',
    settings.repeatable(service_address),
    (),
    'Identifiers and addresses of the services to call.',
    'number=ip:port',
)
CONTROLS = settings.Flag(
    'upstream-control',
    settings.repeatable(settings.address),
    (),
    'HTTP addresses of the upstreams whose run records are checked.',
    'ip:port',
)
STREAMS = settings.Flag(
    'streams',
    settings.integer(0),
    20,
    'Concurrently open streams.',
    'streams a service',
)
RATE = settings.Flag(
    'rate',
    settings.number(0.001),
    20.0,
    'Rate of new request flows.',
    '1/s a service',
)
RUN_TIME = settings.Flag(
    'run-time',
    settings.duration(),
    datetime.timedelta(milliseconds=10),
    'Processing time of a short request.',
    's',
)
DURATION = settings.Flag(
    'duration',
    settings.duration(),
    _ZERO,
    'Duration of the traffic; 0 runs until SIGTERM.',
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


async def _run_generators(given: settings.Settings) -> bool:
    closing = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, closing.set)
    if given[DURATION]:
        loop.call_later(given[DURATION].total_seconds(), closing.set)
    generators = [
        traffic.TrafficGenerator(
            traffic.TrafficSettings(
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
        for generator in generators:
            group.create_task(generator.run(closing))
    records = await checks.fetch_records(given[CONTROLS])
    for generator in generators:
        checks.count_run_violations(generator.counters, records)
    print(
        msgspec.json.encode(
            [generator.counters.to_document() for generator in generators]
        ).decode(),
        flush=True,
    )
    return not any(
        count
        for generator in generators
        for count in generator.counters.violations.values()
    )


def main() -> settings.ExitCode:
    """Run the caller; the exit code is FAILURE if a guarantee was violated."""
    given = settings.SettingsParser(
        'caller', 'Caller stand-in.', FLAGS
    ).parse()
    telemetry.configure_logging(given, telemetry.ProcessIdentity('caller'))
    all_guarantees_held = asyncio.run(_run_generators(given))
    return (
        settings.ExitCode.SUCCESS
        if all_guarantees_held
        else settings.ExitCode.FAILURE
    )


if __name__ == '__main__':
    sys.exit(settings.run_program(main))

"""Runs the fabric stand-in until SIGTERM or SIGINT."""

import asyncio
import sys

from acaciamoor import model
from acaciamoor import settings
from acaciamoor.standins.fabric import health
from acaciamoor.standins.fabric import spray
import acaciamoor.standins.processes as processes
import acaciamoor.telemetry as telemetry

HostAddress = tuple[model.HostId, model.Address]


def host_address(value: str) -> HostAddress:
    """Parse a host and address given as ``host=ip:port``."""
    host, separator, address = value.partition('=')
    if not separator:
        raise ValueError(f'{value!r} is not of the form host=ip:port')
    return model.HostId(host), model.Address.parse(address)


SERVICES = settings.Flag(
    'service-address',
    settings.repeatable(settings.address),
    (),
    'Addresses of the services.',
    'ip:port',
)
BALANCERS = settings.Flag(
    'balancer',
    settings.repeatable(host_address),
    (),
    'Hosts and data addresses of the balancers.',
    'host=ip:port',
)
HEALTH = settings.Flag(
    'health',
    settings.repeatable(host_address),
    (),
    'Health endpoints of the balancers; if empty, checks are disabled.',
    'host=ip:port',
)
CUT = settings.Flag(
    'cut',
    settings.repeatable(settings.text),
    (),
    'Balancers to which all datagrams are dropped.',
)
LOSS = settings.Flag(
    'loss', settings.number(0.0, 1.0), 0.0, 'Share of datagrams to drop.'
)
SEED = settings.Flag('seed', settings.integer(), 7, 'Random seed.')
FLAGS = (
    SERVICES,
    BALANCERS,
    HEALTH,
    CUT,
    LOSS,
    SEED,
    *telemetry.LOG_FLAGS,
)


async def _serve(given: settings.Settings) -> None:
    loop = asyncio.get_running_loop()
    faults = spray.Faults(
        loss=given[LOSS],
        cut=frozenset(model.HostId(host) for host in given[CUT]),
    )
    fabric = spray.Fabric(dict(given[BALANCERS]), given[SEED], faults)
    for address in given[SERVICES]:
        await loop.create_datagram_endpoint(
            lambda address=address: spray.ServiceProtocol(fabric, address),
            local_addr=address.as_tuple(),
        )
    checker = health.HealthChecker(fabric, dict(given[HEALTH]))
    await processes.run_until_stopped([checker.run()])


def main() -> settings.ExitCode:
    """Run the fabric."""
    given = settings.SettingsParser(
        'fabric', 'Fabric stand-in.', FLAGS
    ).parse()
    telemetry.configure_logging(given, telemetry.ProcessIdentity('fabric'))
    asyncio.run(_serve(given))
    return settings.ExitCode.SUCCESS


if __name__ == '__main__':
    sys.exit(settings.run_program(main))

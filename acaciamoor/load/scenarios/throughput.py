"""Datagrams a second through one balancer process.

The balancer is compared with a bare blocking recvfrom/sendto loop in the same
run. Both get more datagrams than they can take, and the figure is the number
forwarded for each second of processor time of the process, so that other
load on the machine does not count against either.
"""

import asyncio
import dataclasses
import datetime
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import threading

from acaciamoor.demo import fleet as fleets
from acaciamoor.demo import launcher as launchers
from acaciamoor.demo import site as sites
from acaciamoor.load import measurement
from acaciamoor.load.scenarios import registry as registries
import acaciamoor.model as model
import acaciamoor.wire as wire

SCENARIO = 'throughput'
TARGET_RATIO = measurement.Target(measurement.TargetOperator.AT_LEAST, 0.5)
_SERVICE = 'order-desk'
_FLOWS = 1000
_PAYLOAD_BYTES = 100
_ROUNDS = 3
# Longer rounds change the ratio by less than the rounds differ.
_LONGEST_ROUND = datetime.timedelta(seconds=2)
_CALLER = model.Address('127.0.0.1', 40000)


@dataclasses.dataclass(slots=True)
class _Total:
    datagrams: int = 0
    processor_seconds: float = 0.0

    @property
    def rate(self) -> float:
        """Datagrams for each second of processor time."""
        return self.datagrams / self.processor_seconds


def run_throughput(
    options: registries.Options,
) -> list[measurement.Measurement]:
    """Measure the balancer and the bare loop in alternating rounds."""
    round_time = min(options.duration / (2 * _ROUNDS), _LONGEST_ROUND)
    with (
        tempfile.TemporaryDirectory() as directory,
        launchers.Launcher(pathlib.Path(directory)) as launcher,
    ):
        site = sites.new_site(1, {_SERVICE: 1})
        fleet = fleets.Fleet(site, launcher, pathlib.Path(directory))
        asyncio.run(_start(fleet))
        balancer, bare = _measure(fleet, options.seed, round_time)
    return [
        _figure('datagrams per core', balancer.rate, '1/s', None, options),
        _figure('bare loop per core', bare.rate, '1/s', None, options),
        _figure(
            'ratio to bare loop',
            balancer.rate / bare.rate,
            '',
            TARGET_RATIO,
            options,
        ),
    ]


def register(registry: registries.ScenarioRegistry) -> None:
    """Add the scenario to `registry`."""
    registry.add(
        registries.Scenario(
            SCENARIO,
            'Datagrams a second of one balancer beside a bare loop.',
            run_throughput,
        )
    )


async def _start(fleet: fleets.Fleet) -> None:
    await fleet.start_platform()
    await fleet.create_services()
    for host in fleet.site.balancers_by_host:
        fleet.start_balancer(host)
    await fleet.wait_until_balancers_ready()


def _measure(
    fleet: fleets.Fleet, seed: int, round_time: datetime.timedelta
) -> tuple[_Total, _Total]:
    service = fleet.site.services_by_name[_SERVICE]
    (sink_address,) = (
        upstream.address for upstream in service.upstreams_by_id.values()
    )
    ports = sites.PortAllocator()
    loop_address = ports.allocate_address()
    ports.release()
    sink = _start_loop(fleet, 'sink', sink_address)
    loop = _start_loop(
        fleet, 'loop', loop_address, '--target', str(sink_address)
    )
    ((host, addresses),) = fleet.site.balancers_by_host.items()
    process_id = fleet.launcher.process_id(host)
    datagrams = _datagrams(service, seed)
    balancer, bare = _Total(), _Total()
    for _ in range(_ROUNDS):
        for total, address, pid in (
            (balancer, addresses.listen, process_id),
            (bare, loop_address, loop.pid),
        ):
            _run_round(total, address, pid, datagrams, sink, round_time)
    return balancer, bare


def _start_loop(
    fleet: fleets.Fleet, name: str, address: model.Address, *flags: str
) -> subprocess.Popen:
    process = fleet.launcher.start(
        name,
        '-m',
        'acaciamoor.load.scenarios.bare_loop',
        '--listen',
        str(address),
        *flags,
    )
    process.stdout.readline()
    return process


def _received(sink: subprocess.Popen) -> int:
    sink.send_signal(signal.SIGUSR1)
    return int(sink.stdout.readline())


def _run_round(
    total: _Total,
    address: model.Address,
    process_id: int,
    datagrams: list[bytes],
    sink: subprocess.Popen,
    round_time: datetime.timedelta,
) -> None:
    _flood(address, datagrams, round_time / 4)
    before, used = _received(sink), _processor_seconds(process_id)
    _flood(address, datagrams, round_time)
    total.datagrams += _received(sink) - before
    total.processor_seconds += _processor_seconds(process_id) - used


def _flood(
    address: model.Address,
    datagrams: list[bytes],
    duration: datetime.timedelta,
) -> None:
    target = address.as_tuple()
    done = threading.Event()
    timer = threading.Timer(duration.total_seconds(), done.set)
    timer.start()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as source:
        while not done.is_set():
            for data in datagrams:
                source.sendto(data, target)
    timer.join()


def _datagrams(service: model.Service, seed: int) -> list[bytes]:
    rng = random.Random(seed)
    header = wire.encode_proxy_header(
        wire.ProxyHeader(_CALLER, service.address)
    )
    return [
        header
        + wire.encode(
            wire.Envelope(
                wire.EnvelopeKind.DATA,
                service.service_id,
                rng.getrandbits(64),
                payload=rng.randbytes(_PAYLOAD_BYTES),
            )
        )
        for _ in range(_FLOWS)
    ]


def _processor_seconds(process_id: int) -> float:
    """Return user and system time of a process (proc(5), stat)."""
    text = pathlib.Path(f'/proc/{process_id}/stat').read_text('ascii')
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf('SC_CLK_TCK')


def _figure(
    measure: str,
    value: float,
    unit: str,
    target: measurement.Target | None,
    options: registries.Options,
) -> measurement.Measurement:
    return measurement.Measurement(
        SCENARIO,
        measurement.Variant.ACACIAMOOR,
        measure,
        value,
        unit,
        target,
        options.seed,
    )

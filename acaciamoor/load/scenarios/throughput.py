"""Throughput of one balancer process, in datagrams per second.

The balancer is compared with a bare loop of blocking `recvfrom` and `sendto`
calls in the same run. Both receive more datagrams than they can forward. The
measured value is the number of forwarded datagrams per second of processor
time of the process, so that other load on the machine affects neither.
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
_FLOW_COUNT = 1000
_PAYLOAD_BYTES = 100
_ROUND_COUNT = 3
# Longer rounds change the ratio by less than it varies between rounds.
_MAX_ROUND_DURATION = datetime.timedelta(seconds=2)
_CALLER = model.Address('127.0.0.1', 40000)


@dataclasses.dataclass(slots=True)
class _RoundTotals:
    datagrams: int = 0
    processor_seconds: float = 0.0

    @property
    def rate(self) -> float:
        """Forwarded datagrams per second of processor time."""
        return self.datagrams / self.processor_seconds


def run_throughput(
    options: registries.Options,
) -> list[measurement.Measurement]:
    """Measure the balancer and the bare loop in alternating rounds."""
    round_duration = min(
        options.duration / (2 * _ROUND_COUNT), _MAX_ROUND_DURATION
    )
    with (
        tempfile.TemporaryDirectory() as directory,
        launchers.Launcher(pathlib.Path(directory)) as launcher,
    ):
        site = sites.new_site(1, {_SERVICE: 1})
        fleet = fleets.Fleet(site, launcher, pathlib.Path(directory))
        asyncio.run(_start_fleet(fleet))
        balancer, bare_loop = _run_rounds(fleet, options.seed, round_duration)
    return [
        _make_measurement(
            'datagrams per core', balancer.rate, '1/s', None, options
        ),
        _make_measurement(
            'bare loop per core', bare_loop.rate, '1/s', None, options
        ),
        _make_measurement(
            'ratio to bare loop',
            balancer.rate / bare_loop.rate,
            '',
            TARGET_RATIO,
            options,
        ),
    ]


def register(registry: registries.ScenarioRegistry) -> None:
    """Add the throughput scenario to `registry`."""
    registry.add(
        registries.Scenario(
            SCENARIO,
            'Measure datagrams per second of a balancer and of a bare loop.',
            run_throughput,
        )
    )


async def _start_fleet(fleet: fleets.Fleet) -> None:
    await fleet.start_platform()
    await fleet.create_services()
    for host in fleet.site.balancers_by_host:
        fleet.start_balancer(host)
    await fleet.wait_until_balancers_ready()


def _run_rounds(
    fleet: fleets.Fleet, seed: int, round_duration: datetime.timedelta
) -> tuple[_RoundTotals, _RoundTotals]:
    service = fleet.site.services_by_name[_SERVICE]
    (sink_address,) = (
        upstream.address for upstream in service.upstreams_by_id.values()
    )
    ports = sites.PortAllocator()
    loop_address = ports.allocate_address()
    ports.release()
    sink = _start_program(fleet, 'sink', sink_address)
    loop = _start_program(
        fleet, 'loop', loop_address, '--target', str(sink_address)
    )
    ((host, addresses),) = fleet.site.balancers_by_host.items()
    process_id = fleet.launcher.process_id(host)
    datagrams = _make_datagrams(service, seed)
    balancer, bare_loop = _RoundTotals(), _RoundTotals()
    for _ in range(_ROUND_COUNT):
        for totals, address, pid in (
            (balancer, addresses.listen, process_id),
            (bare_loop, loop_address, loop.pid),
        ):
            _run_round(totals, address, pid, datagrams, sink, round_duration)
    return balancer, bare_loop


def _start_program(
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


def _read_received_count(sink: subprocess.Popen) -> int:
    sink.send_signal(signal.SIGUSR1)
    return int(sink.stdout.readline())


def _run_round(
    totals: _RoundTotals,
    address: model.Address,
    process_id: int,
    datagrams: list[bytes],
    sink: subprocess.Popen,
    round_duration: datetime.timedelta,
) -> None:
    # Warms up the process; these datagrams are not counted.
    _flood(address, datagrams, round_duration / 4)
    received_before, used_before = (
        _read_received_count(sink),
        _processor_seconds(process_id),
    )
    _flood(address, datagrams, round_duration)
    totals.datagrams += _read_received_count(sink) - received_before
    totals.processor_seconds += _processor_seconds(process_id) - used_before


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


def _make_datagrams(service: model.Service, seed: int) -> list[bytes]:
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
        for _ in range(_FLOW_COUNT)
    ]


def _processor_seconds(process_id: int) -> float:
    """Return the user and system time of a process.

    See ``/proc/pid/stat`` in proc(5).
    """
    text = pathlib.Path(f'/proc/{process_id}/stat').read_text('ascii')
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf('SC_CLK_TCK')


def _make_measurement(
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

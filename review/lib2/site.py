"""A small deployment on loopback, with the hosts as real processes."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import zlib

from lib2 import backend
from lib2 import requester
from lib2 import store
from lib2 import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ('kgn-a', 'kgn-b', 'kgn-c')
# Hosts of each zone, as on the sheet of `sites/bsw-orders.toml`.
HOSTS = (('kgn-a', 3), ('kgn-b', 3), ('kgn-c', 2))
SERVICES = (('order-desk', 7), ('quote-bench', 3))
DESK = ('198.18.0.1', 443)
BENCH = ('198.18.0.2', 8443)
DRAIN_S = 3.0
CONTACT_S = 4.0
RECOVER_S = 12.0
CONFIG_S = 3.0
LIMIT_S = 1.0
METRICS_PORT = 9464
_PROBE_S = 0.5
_START_S = 20.0


class CannotRun(Exception):
    """Raised if the case cannot run here."""


class Host:
    """A host of the system: one process of the deploy file."""

    def __init__(self, site, name, zone, ip) -> None:
        self.site, self.name, self.zone, self.ip = site, name, zone, ip
        self.process = None
        self.started_at = 0.0
        self.ready = False
        self.in_rotation = False
        self.misses = 0
        self.exits = []
        self.path = site.folder / f'{name}.conf'

    def start(self, first: bool) -> None:
        """Write the settings file and start the process."""
        site = self.site
        control = site.port + 2
        seeds = ','.join(f'{item.ip}:{control}' for item in site.seeds)
        self.path.write_text(
            f'NodeName={self.name}\nRole=forwarder\n'
            'MachineClass=frontend\nServes=frontend,control_plane\n'
            f'Ip={self.ip}\nZone={self.zone}\nRegion=kingston\n'
            + ''.join(f'Zones.{zone}=kingston\n' for zone in ZONES)
            + f'Listen.DatagramAddr={self.ip}:{site.port}\n'
            f'Listen.ReadyAddr={self.ip}:{site.port + 1}\n'
            f'Listen.Control={self.ip}:{control}\n'
            f'InternalPortRange={site.port + 3},{site.port + 18}\n'
            f'Seeds={seeds}\nBootstrap={"true" if first else "false"}\n'
            'LossCounted=false\nLimits.CpuShare=0.537\nLimits.CpuCores=2\n'
            'Limits.MemoryMb=300\nLimits.MaxFds=4100\n'
            'Limits.LinkMbps=1000.0\nLimits.DiskMb=0\n'
            'Discovery=platform\nEntry=announce\nHeartbeatMs=1200\n'
            'Contracts=base,drain,config,cost,recover,flows,platform\n'
            'FaultTolerance.Machines=2\nFaultTolerance.Zones=1\n'
            'FaultTolerance.Regions=0\nBounds.SeedLagS=3\n'
            'Bounds.AddrReuseS=2\nBounds.ContactMs=4000\n'
            'Bounds.AckMs=5000\nBounds.CatchupS=4\nBounds.DrainMs=3000\n'
            'Bounds.GraceS=6\nBounds.LossSlackMs=200\n'
            'Bounds.ConfigApplyMs=3000\nBounds.DowngradeMs=250\n'
            'Bounds.MaxStretchMs=12000\nBounds.RecoverS=12\n'
            'Bounds.ReorderMs=2000\nBounds.FlowTtlS=60\nFlowHash=mod\n'
            f'ForwardingMode=echo\nplatform.Address={site.store.address}\n'
            'platform.ForwardingMode=objects\nplatform.WritesPerS=400\n'
            'platform.ReadsPerS=2000\nplatform.HistoryS=20\n'
            'platform.ValueBytes=1048576\nplatform.TtlMinMs=1000\n',
            encoding='utf-8',
        )
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['ACACIAMOOR_SETTINGS'] = str(self.path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with open(site.folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(  # noqa: S603
                site.command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.started_at = time.monotonic()
        site.record(f'{self.name} starts')

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        self.process = None

    async def check(self) -> None:
        """Ask whether the host is ready, twice a second, as routers do."""
        while True:
            began_at = time.monotonic()
            self.ready = await self._ask()
            self.misses = 0 if self.ready else self.misses + 1
            before = self.in_rotation
            if self.ready:
                self.in_rotation = True
            elif self.misses >= 2:
                self.in_rotation = False
            if before != self.in_rotation:
                state = 'in' if self.in_rotation else 'out of'
                self.site.record(f'{self.name} is {state} rotation')
            process = self.process
            if process is not None and process.poll() is not None:
                code = process.returncode
                self.site.record(f'{self.name} ended by itself: {code}')
                self.exits.append(time.monotonic())
                self.start(first=False)
            await asyncio.sleep(
                max(0.0, began_at + _PROBE_S - time.monotonic())
            )

    async def _ask(self) -> bool:
        writer = None
        try:
            async with asyncio.timeout(_PROBE_S):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.site.port + 1
                )
                writer.write(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
                line = await reader.readline()
                return line.split()[1:2] == [b'200']
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()


class Site:
    """Store, backends, hosts, routers and requesters.

    Parameters
    ----------
    folder : Path
        Folder of the case, for `record.txt`.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._record_file = open(  # noqa: SIM115
            folder / 'record.txt', 'w', encoding='utf-8'
        )
        self.began_at = time.monotonic()
        self.trouble = os.environ.get('TROUBLE') != '0'
        self.broken = []
        self.attempts = []
        self.backends = []
        self.hosts = []
        self.seeds = []
        self.runs = {}
        self.opened = []
        self.born_ms = int(time.time() * 1000)
        self._tasks = []
        self._config_version = 0
        self._count = 0
        self.on_open_hooks = []
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            roles = tomllib.load(file)['roles']
        self.command = roles['forwarder']['run'].split(' ')

    def record(self, text: str) -> None:
        """Write a line with the time to the record."""
        at = time.monotonic() - self.began_at
        self._record_file.write(f'{at:8.3f} {text}\n')

    def break_rule(self, rule: str, text: str) -> None:
        """Record that a rule was broken."""
        self.broken.append((rule, text))
        self.record(f'RULE {rule}: {text}')

    async def start(self, prepare=None, needs_ready=True) -> None:
        """Start everything; return when all hosts are ready.

        Parameters
        ----------
        prepare : callable or None
            Called with the site before the hosts start.
        needs_ready : bool
            Whether to wait until the hosts are ready.
        """
        self.folder = pathlib.Path(self._stack.enter_context(_folder()))
        prefix, self.port = _find_addresses()
        self.store = store.Store(self.record)
        await self.store.start(f'{prefix}.7', self.port + 40)
        for zone, count in HOSTS:
            for _ in range(count):
                number = len(self.hosts) + 1
                name = f'frontend-{zone}-{number}'
                ip = f'{prefix}.{10 + number}'
                self.hosts.append(Host(self, name, zone, ip))
        by_zone = {host.zone: host for host in reversed(self.hosts)}
        self.seeds = [by_zone[zone] for zone in ZONES]
        for service, count in SERVICES:
            for number in range(count):
                await self.add_backend(
                    service, ZONES[number % 3], f'{prefix}.{100 + number}'
                )
        await self.change_config()
        self._ingress = []
        self.requesters = []
        for number, zone in enumerate(ZONES):
            ip = f'{prefix}.{200 + number}'
            asker = requester.Requesters(self, zone, ip)
            self.requesters.append(asker)
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind((ip, self.port))
            sock.setblocking(False)
            self._ingress.append(sock)
            asyncio.get_running_loop().add_reader(
                sock, self._read, sock, asker
            )
        self._out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._out.bind((f'{prefix}.9', 0))
        self._out.setblocking(False)
        if prepare is not None:
            await prepare(self)
        for host in self.hosts:
            host.start(first=True)
            self.spawn(host.check())
        if needs_ready:
            await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Wait until all hosts are in rotation."""
        try:
            async with asyncio.timeout(_START_S):
                while not all(host.in_rotation for host in self.hosts):
                    await asyncio.sleep(0.05)
        except TimeoutError as error:
            raise CannotRun('the hosts do not become ready') from error

    def spawn(self, coroutine) -> asyncio.Task:
        """Run a task until the end of the case."""
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        return task

    async def add_backend(self, service, zone, ip) -> backend.Backend:
        """Start a backend and register it."""
        self._count += 1
        name = f'i-{random.getrandbits(28):07x}{self._count % 16:x}'
        found = backend.Backend(self, name, service, zone, ip)
        self.backends.append(found)
        await found.register()
        self.record(
            f'{name} of {service} at {found.address} in {zone}: registered'
        )
        return found

    async def change_config(self) -> float:
        """Write the next desired state; return the time of the ack."""
        self._config_version += 3
        routes = [
            _make_route('r-status', DESK, 'order-desk', 'idempotent', 2),
            _make_route('r-photo', BENCH, 'quote-bench', 'upload', 2),
        ]
        routes += [
            _make_route(
                f'r-idle{number}',
                ('198.18.1.1', 1000 + number),
                'order-desk',
                'idempotent',
                2,
            )
            for number in range(20)
        ]
        document = {
            'Version': self._config_version,
            'Routes': routes,
            'Services': [
                {
                    'Name': name,
                    'HealthPath': '/health',
                    'MaxConns': 2000,
                    'Protocol': 'h1',
                    'Tls': False,
                }
                for name, _ in SERVICES
            ],
            'Limits': {'IdleTimeoutMs': 15000},
        }
        value = json.dumps(document).encode()
        at = await self.store.put('config', 'main', value)
        self.record(f'config version {self._config_version}: acknowledged')
        return at

    def _read(self, sock, asker) -> None:
        while True:
            try:
                datagram = sock.recv(2048)
            except BlockingIOError:
                return
            except OSError:
                continue
            asker.take(*wire.decode(datagram))

    def route(self, zone: str, packet: wire.Packet) -> None:
        """Hand a packet to a host, as the platform's routers do."""
        nodes = self._select_nodes(zone)
        if not nodes:
            return
        key = f'{packet.src}{packet.sport}{packet.dst}{packet.dport}'
        host = nodes[zlib.crc32(key.encode()) % len(nodes)]
        packet_key = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.flags == wire.SYN:
            self.taken_by.setdefault(packet_key, []).append(host)
        with contextlib.suppress(OSError):
            self._out.sendto(packet.encode(), (host.ip, self.port))

    def _select_nodes(self, zone: str) -> list[Host]:
        for name in (zone, *ZONES):
            local = [host for host in self.hosts if host.zone == name]
            up = [host for host in local if host.in_rotation]
            if up:
                return up if 2 * len(up) >= len(local) else local
        return []

    def on_open(self, server, key, arrived_at) -> None:
        """Note that a flow opened at a backend."""
        self.opened.append((arrived_at, server, key))
        for hook in self.on_open_hooks:
            hook(server, key, arrived_at)

    def on_run(self, server, head, key) -> None:
        """Note that a backend began to work on a request."""
        attempt = backend.read_header(head, 'Attempt-Id')
        runs = self.runs.setdefault(attempt, [])
        runs.append(server.name)
        self.record(f'{server.name} runs {attempt}')
        if len(runs) > 1:
            self.break_rule('runs', f'{attempt} ran at {runs}')
        if attempt not in self.asked:
            self.break_rule('UNASKED', f'{attempt} was never sent')

    async def ask_all(self, per_s: float, retries: int = 2) -> None:
        """Send requests of all zones until cancelled."""
        number = 0
        while True:
            number += 1
            asker = self.requesters[number % len(self.requesters)]
            route = BENCH if number % 10 == 0 else DESK
            self.spawn(self._ask(asker, number, route, retries))
            await asyncio.sleep(random.expovariate(per_s))

    async def _ask(self, asker, number, route, retries) -> None:
        until = time.monotonic() + LIMIT_S
        for turn in range(1 + retries):
            name = f'q{number}.{turn}'
            left = until - time.monotonic()
            if left <= 0:
                return
            self.asked.add(name)
            self.record(f'{name} sent from {asker.zone} to {route[0]}')
            attempt = await asker.ask(name, route, left)
            attempt.request = number
            self.attempts.append(attempt)
            self.record(f'{name} ended: {attempt.outcome}')
            if attempt.served:
                return
            await asyncio.sleep(0.05)

    def count(self, since: float, until: float) -> tuple[int, int, int, int]:
        """Return attempts and served ones, requests and served ones."""
        found = [a for a in self.attempts if since <= a.sent_at < until]
        served = [a for a in found if a.served]
        return (
            len(found),
            len(served),
            len({a.request for a in found}),
            len({a.request for a in served}),
        )

    async def __aenter__(self):
        """Return the site, which is not started yet."""
        self._stack = contextlib.ExitStack()
        self.taken_by = {}
        self.asked = set()
        return self

    async def __aexit__(self, *_) -> None:
        """End all processes that the case started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for host in self.hosts:
            host.kill()
        for server in self.backends:
            server.close()
        with contextlib.suppress(AttributeError):
            self.store.close()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for path in self.folder.glob('*.log'):
                (pathlib.Path(keep) / path.name).write_bytes(path.read_bytes())
        self._stack.close()
        self._record_file.close()


def run(folder: pathlib.Path, case, prepare=None, needs_ready=True) -> int:
    """Run a case; return the exit code of its script.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    case : callable
        Plays the case with the site; returns whether a rule was broken.
    prepare, needs_ready : callable or None, bool
        See `Site.start`.
    """

    async def play() -> int:
        # The processes of the site are ended also if the script is stopped.
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, task.cancel)
        async with Site(folder) as site:
            try:
                await site.start(prepare, needs_ready)
                verdict = await case(site)
            except CannotRun as error:
                site.record(f'cannot run: {error}')
                print(f'cannot run: {error}')
                return 2
            for rule, text in site.broken[:5]:
                print(f'{rule}: {text}')
            site.record('broken' if verdict or site.broken else 'held')
            return 1 if verdict or site.broken else 0

    try:
        return asyncio.run(play())
    except asyncio.CancelledError:
        print('stopped')
        return 2
    except (OSError, KeyError) as error:
        print(f'cannot run: {error!r}')
        return 2


def _folder() -> tempfile.TemporaryDirectory:
    return tempfile.TemporaryDirectory(prefix='acaciamoor-review-')


def _make_route(name, address, service, kind, priority) -> dict:
    return {
        'Name': name,
        'Host': address[0],
        'PathPrefix': f'/{address[1]}/',
        'Service': service,
        'Kind': kind,
        'TimeoutMs': 1000,
        'GoalMs': 150,
        'Priority': priority,
        'MaxAttempts': 2,
    }


def _find_addresses() -> tuple[str, int]:
    """Return the first three numbers of free addresses, and a free port."""
    for _ in range(50):
        prefix = f'127.{random.randrange(20, 250)}.{random.randrange(250)}'
        port = random.randrange(20_000, 29_000)
        try:
            for number in range(11, 19):
                for used in (port, port + 1, port + 2, METRICS_PORT):
                    with socket.socket() as sock:
                        sock.bind((f'{prefix}.{number}', used))
            with socket.socket() as sock:
                sock.bind((f'{prefix}.7', port + 40))
        except OSError:
            continue
        return prefix, port
    raise CannotRun('no free addresses')

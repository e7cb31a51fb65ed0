"""A small deployment on loopback: forwarders and all that they talk to."""

import asyncio
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

from standins import backend as backends
from standins import forwarder as forwarders
from standins import requester as requesters
from standins import store as stores

ZONES = ('kgn-a', 'kgn-b', 'kgn-c')
MACHINES = {'kgn-a': 3, 'kgn-b': 3, 'kgn-c': 2}
HEARTBEAT_S = 1.2
CONTACT_S = 4.0
DRAIN_S = 3.0
METRICS_PORT = 9464
# Time until the platform starts a process again.
RESTART_S = 0.3


class World:
    """Forwarders, store, backends and requesters.

    Parameters
    ----------
    folder : Path
        Folder of the case, for `record.txt`.
    settings : dict
        Settings that differ from those of the small sites.
    """

    def __init__(
        self, folder: pathlib.Path, settings: dict | None = None
    ) -> None:
        self._settings = settings or {}
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self._record = (folder / 'record.txt').open('w')
        self._began_at = time.monotonic()
        self._lock, self._net = _reserve_net()
        self.route_ip = f'{self._net}.250.1'
        self.store = stores.Store(f'{self._net}.100.1', HEARTBEAT_S, self.log)
        self.paths: dict[str, stores.StorePath] = {}
        self.forwarders: list[forwarders.Forwarder] = []
        self.backends: list[backends.Backend] = []
        self.requesters: dict[str, requesters.Requesters] = {}
        self.routers: list[requesters.Router] = []
        # Time of the last impairment of each forwarder.
        self.impaired_at: dict[str, float] = {}
        self.broken: list[str] = []
        # Latest opening packet after an acknowledgement, by forwarder.
        self.latest: dict[tuple, float] = {}
        self.ports = _free_ports(self._net)
        self._request_count = 0
        # Times at which processes ended by themselves, by machine.
        self.ends: dict[str, int] = {}
        self.peak_mb = 0.0

    @property
    def elapsed_s(self) -> float:
        """Time since the start of the case."""
        return time.monotonic() - self._began_at

    def log(self, text: str) -> None:
        """Write a line to the record."""
        self._record.write(f'{self.elapsed_s:8.3f} {text}\n')

    async def start_store(self) -> None:
        """Start the store and the paths of the zones to it."""
        address = await self.store.start()
        for number, zone in enumerate(ZONES):
            for index in range(MACHINES[zone]):
                path = stores.StorePath(
                    f'{self._net}.{101 + number}.{index + 1}', address
                )
                await path.start()
                self.paths[_machine(zone, index)] = path

    async def start_forwarders(self) -> None:
        """Start all forwarders; wait until they are ready."""
        seeds = [
            f'{self._net}.{number + 1}.1:{self.ports[2]}' for number in (0, 1)
        ]
        for number, zone in enumerate(ZONES):
            local = [
                forwarders.Forwarder(
                    _machine(zone, index),
                    zone,
                    f'{self._net}.{number + 1}.{index + 1}',
                    self.ports,
                    self.paths[_machine(zone, index)].address,
                    seeds,
                    self.folder,
                    self._settings,
                )
                for index in range(MACHINES[zone])
            ]
            self.forwarders += local
            router = requesters.Router(local)
            self.routers.append(router)
            self.requesters[zone] = requesters.Requesters(
                f'{self._net}.{200 + number}.1',
                self.ports[0],
                router,
                self.log,
            )
        for item in self.forwarders:
            await item.start()
        for item in self.forwarders:
            await item.wait_until_ready()
            self.log(f'{item.name} is ready')
        for router in self.routers:
            router.start()

    def add_backend(
        self, name: str, service: str, zone: str, work_s: float = 0.005
    ) -> backends.Backend:
        """Start a backend."""
        number = ZONES.index(zone) + 1
        index = 100 + len(self.backends)
        backend = backends.Backend(
            name,
            service,
            zone,
            f'{self._net}.{number}.{index}',
            work_s,
            self.store,
            HEARTBEAT_S,
            self.check_syn,
        )
        backend.requester_port = self.ports[0]
        self.backends.append(backend)
        backend.start()
        return backend

    async def put_config(
        self, version: int, routes: dict, quiet: bool = False
    ) -> None:
        """Write a desired state: services by port."""
        await self.store.put(
            'config',
            'main',
            {
                'Version': version,
                'Routes': [
                    {
                        'Name': f'r-{port}',
                        'Host': self.route_ip,
                        'PathPrefix': f'/{port}/',
                        'Kind': 'idempotent',
                        'TimeoutMs': 800,
                        'GoalMs': 120,
                        'Priority': 2,
                        'Service': service,
                        'MaxAttempts': 2,
                    }
                    for port, service in routes.items()
                ],
                'Services': [
                    {
                        'Name': service,
                        'HealthPath': '/health',
                        'MaxConns': 2000,
                        'Protocol': 'h1',
                        'Tls': False,
                    }
                    for service in sorted(set(routes.values()))
                ],
                'Limits': {
                    'MaxHeaderBytes': 16384,
                    'MaxBodyBytes': 262144,
                    'HeaderTimeoutMs': 3000,
                    'IdleTimeoutMs': 15000,
                },
            },
        )
        if not quiet:
            self.log(f'store: version {version} is acknowledged')

    async def send_requests(self, port: int, per_s: float) -> None:
        """Send requests from all zones until cancelled."""
        while True:
            for zone in ZONES:
                self._request_count += 1
                self.requesters[zone].open(
                    (self.route_ip, port), f'q{self._request_count}'
                )
            await asyncio.sleep(len(ZONES) / per_s)

    def cut_zone(self, zone: str) -> None:
        """Cut the path between a zone and the store."""
        for item in self.forwarders:
            if item.zone == zone:
                self.paths[item.name].cut()
        for backend in self.backends:
            backend.reaches_store = backend.reaches_store and (
                backend.zone != zone
            )
        self.log(f'{zone} is cut off from the store')

    def restore_zone(self, zone: str) -> None:
        """Restore the path between a zone and the store."""
        now = time.monotonic()
        for item in self.forwarders:
            if item.zone == zone:
                self.paths[item.name].restore()
                self.impaired_at[item.name] = now
        for backend in self.backends:
            backend.reaches_store = backend.reaches_store or (
                backend.zone == zone
            )
        self.log(f'{zone} reaches the store again')

    async def find_relay(self, within_s: float) -> forwarders.Forwarder:
        """Return the forwarder that calls the store most often."""
        before = {name: path.connections for name, path in self.paths.items()}
        await asyncio.sleep(within_s)
        return max(
            self.forwarders,
            key=lambda item: (
                self.paths[item.name].connections - before[item.name]
            ),
        )

    def freeze(self, forwarder) -> None:
        """Stop a machine's process."""
        self.impaired_at[forwarder.name] = float('inf')
        forwarder.signal(signal.SIGSTOP)
        self.log(f'{forwarder.name} freezes')

    def wake(self, forwarder) -> None:
        """Let a machine's process go on."""
        forwarder.signal(signal.SIGCONT)
        self.impaired_at[forwarder.name] = time.monotonic()
        self.log(f'{forwarder.name} wakes')

    async def run_machine(self, forwarder, memory_mb: float) -> None:
        """Act as a machine: kill the process over its memory, restart it."""
        while True:
            await asyncio.sleep(0.05)
            used_mb = forwarder.memory_mb
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > memory_mb:
                forwarder.signal(signal.SIGKILL)
                await forwarder.process.wait()
            if forwarder.process.returncode is None:
                continue
            self.ends[forwarder.name] = self.ends.get(forwarder.name, 0) + 1
            self.log(
                f'{forwarder.name} ends at {used_mb:.0f} MB, for the '
                f'{self.ends[forwarder.name]}. time'
            )
            await asyncio.sleep(RESTART_S)
            await forwarder.start()

    def in_touch(self, forwarder, now: float) -> bool:
        """Return whether a forwarder's machine is in touch."""
        if self.paths[forwarder.name].is_cut:
            return False
        return now - self.impaired_at.get(forwarder.name, 0.0) > CONTACT_S

    def check_syn(self, backend, packet, sender, now: float) -> None:
        """Check rule DRAIN for an opening packet at a backend."""
        forwarder = next(
            (item for item in self.forwarders if item.ip == sender[0]), None
        )
        if forwarder is None:
            self.broken.append(f'a packet from {sender} reached a backend')
            return
        acks = (
            ('gone', self.store.gone_at.get(backend.name)),
            ('draining', self.store.draining_at.get(backend.name)),
        )
        for state, acked_at in acks:
            if acked_at is None:
                continue
            key = (backend.name, acked_at, forwarder.name)
            self.latest[key] = now - acked_at
            if now - acked_at <= DRAIN_S:
                continue
            touch = 'in touch' if self.in_touch(forwarder, now) else 'excused'
            text = (
                f'an opening packet reached {backend.name} '
                f'{now - acked_at:.3f} s after the store had acknowledged '
                f'that it is {state}, through {forwarder.name} ({touch})'
            )
            self.log(text)
            if touch == 'in touch':
                self.broken.append(text)

    async def drain(self, backend, serves_s: float) -> None:
        """Let a backend drain, serve for some time, and leave."""
        backend.state = 'draining'
        await backend.report_now()
        await asyncio.sleep(serves_s)
        lost = backend.exit()
        await self.store.leave(backend.name)
        self.log(
            f'{backend.name} has left with {len(lost)} requests in progress '
            f'that came after its last due one: {lost}'
        )

    def count_served(self) -> tuple[int, int]:
        """Return how many requests were served, and how many have ended."""
        counts = [item.counts for item in self.requesters.values()]
        return (
            sum(item.get('200', 0) for item in counts),
            sum(sum(item.values()) for item in counts),
        )

    def check_served(self) -> None:
        """Raise an error unless requests were served in each zone."""
        for zone, item in self.requesters.items():
            if not item.counts.get('200'):
                raise RuntimeError(f'no request was served in {zone}')

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for item in self.forwarders:
            await item.stop()
        for router in self.routers:
            router.close()
        for item in self.requesters.values():
            item.close()
            self.broken += item.problems
        for backend in self.backends:
            backend.close()
            self.broken += backend.problems
        for path in self.paths.values():
            path.close()
        self.store.close()
        if os.environ.get('KEEP_LOGS'):
            shutil.copytree(
                self.folder, os.environ['KEEP_LOGS'], dirs_exist_ok=True
            )
        counts: dict[str, int] = {}
        for item in self.requesters.values():
            for kind, count in item.counts.items():
                counts[kind] = counts.get(kind, 0) + count
        self.log(f'outcomes of flows: {counts}')
        for (name, _, via), late in self.latest.items():
            self.log(f'last opening packet at {name} via {via}: {late:.3f} s')
        self._record.close()
        self._lock.close()


def run_case(play) -> int:
    """Play a case; return 1 if a rule was broken, 0 if not, 2 on failure.

    Parameters
    ----------
    play : callable
        Coroutine function; takes whether to cause the disruption, and returns
        what broke the rule.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    # Ends the processes of the case, too, if the case is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(play(trouble))
    except Exception as error:
        print(f'the case could not run: {error!r}')
        return 2
    for text in broken[:5]:
        print(text)
    print(f'breaks of the rule: {len(broken)}')
    return 1 if broken else 0


def _machine(zone: str, index: int) -> str:
    return f'frontend-{zone}-{index + 1}'


def _reserve_net() -> tuple[socket.socket, str]:
    """Return a network of loopback addresses that no other play uses.

    All forwarders serve metrics at the same port, so that plays beside each
    other need addresses of their own.
    """
    while True:
        net = f'127.{random.SystemRandom().randint(16, 250)}'
        lock = socket.socket()
        try:
            lock.bind((f'{net}.0.1', METRICS_PORT))
            lock.listen()
        except OSError:
            lock.close()
        else:
            return lock, net


def _free_ports(net: str) -> tuple[int, int, int]:
    """Return three ports that are free, as all machines use the same."""
    held = []
    for _ in range(3):
        sock = socket.socket()
        sock.bind((f'{net}.1.1', 0))
        held.append(sock)
    ports = tuple(sock.getsockname()[1] for sock in held)
    for sock in held:
        sock.close()
    return ports

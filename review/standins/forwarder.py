"""Processes of the project, started with the command of the deploy file."""

import asyncio
import os
import pathlib
import signal
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
START_LIMIT_S = 15.0


class Forwarder:
    """A forwarder process.

    Parameters
    ----------
    name, zone, ip : str
        Its machine.
    ports : tuple of int
        Ports of packets, readiness and control.
    store : tuple
        Address of the store.
    seeds : list of str
        Control addresses of seeds.
    folder : Path
        Folder for settings and logs.
    changed : dict
        Settings that differ from those of the small sites.
    """

    def __init__(
        self, name, zone, ip, ports, store, seeds, folder, changed
    ) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.datagram_address = (ip, ports[0])
        self._ready_address = (ip, ports[1])
        self._settings = folder / f'{name}.conf'
        self._log = folder / f'{name}.log'
        self._fields = {
            'NodeName': name,
            'Role': 'forwarder',
            'MachineClass': 'frontend',
            'Serves': 'frontend,control_plane',
            'Ip': ip,
            'Zone': zone,
            'Region': 'kingston',
            'Zones.kgn-a': 'kingston',
            'Zones.kgn-b': 'kingston',
            'Zones.kgn-c': 'kingston',
            'Listen.DatagramAddr': f'{ip}:{ports[0]}',
            'Listen.ReadyAddr': f'{ip}:{ports[1]}',
            'Listen.Control': f'{ip}:{ports[2]}',
            'InternalPortRange': '7720,7735',
            'Seeds': ','.join(seeds),
            'Bootstrap': 'true',
            'LossCounted': 'false',
            'Limits.CpuShare': '0.537',
            'Limits.CpuCores': '2',
            'Limits.MemoryMb': '300',
            'Limits.MaxFds': '4100',
            'Limits.LinkMbps': '1000.0',
            'Limits.DiskMb': '0',
            'Discovery': 'platform',
            'Entry': 'announce',
            'HeartbeatMs': '1200',
            'Contracts': 'base,drain,config,cost,recover,flows,platform',
            'FaultTolerance.Machines': '2',
            'FaultTolerance.Zones': '1',
            'FaultTolerance.Regions': '0',
            'Bounds.SeedLagS': '3',
            'Bounds.AddrReuseS': '2',
            'Bounds.ContactMs': '4000',
            'Bounds.AckMs': '5000',
            'Bounds.CatchupS': '4',
            'Bounds.DrainMs': '3000',
            'Bounds.GraceS': '6',
            'Bounds.LossSlackMs': '200',
            'Bounds.ConfigApplyMs': '3000',
            'Bounds.DowngradeMs': '250',
            'Bounds.MaxStretchMs': '12000',
            'Bounds.RecoverS': '12',
            'Bounds.ReorderMs': '2000',
            'Bounds.FlowTtlS': '60',
            'FlowHash': 'mod',
            'ForwardingMode': 'echo',
            'platform.Address': f'{store[0]}:{store[1]}',
            'platform.ForwardingMode': 'objects',
            'platform.WritesPerS': '400',
            'platform.ReadsPerS': '2000',
            'platform.HistoryS': '20',
            'platform.ValueBytes': '1048576',
            'platform.TtlMinMs': '1000',
            **changed,
        }
        self.process = None

    async def start(self) -> None:
        """Write the settings and start the process."""
        self._settings.write_text(
            ''.join(f'{key}={item}\n' for key, item in self._fields.items())
        )
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['forwarder']['run'].split()
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        with self._log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env={
                    **environment,
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'ACACIAMOOR_SETTINGS': str(self._settings),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def memory_mb(self) -> float:
        """Memory of the process, without shared pages; 0 if it has ended."""
        try:
            with open(f'/proc/{self.process.pid}/statm') as file:
                resident, shared = file.read().split()[1:3]
        except (OSError, ValueError):
            return 0.0
        pages = int(resident) - int(shared)
        return pages * os.sysconf('SC_PAGE_SIZE') / 1e6

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(
                    *self._ready_address
                )
                try:
                    writer.write(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
                    line = await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line

    async def wait_until_ready(self) -> None:
        """Wait until the readiness check succeeds."""
        async with asyncio.timeout(START_LIMIT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

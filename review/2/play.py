"""Rule Fault while desired states come in quick succession."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import world as worlds  # noqa: E402

# Settings of most machines of the grown site.
MEMORY_MB = 120
SETTINGS = {
    'Limits.CpuShare': '0.516',
    'Limits.CpuCores': '1',
    'Limits.MemoryMb': str(MEMORY_MB),
    'Limits.LinkMbps': '10.0',
    'Bounds.ContactMs': '5000',
    'Bounds.DrainMs': '5000',
    'Bounds.ConfigApplyMs': '5000',
}
PORT = 8443
REQUESTS_PER_S = 60.0
# Routes without traffic, and those that two `big_config` of 1,400 add.
IDLE_ROUTES = 240
ADDED_ROUTES = 2800
FIRST_IDLE_PORT = 10_000
# A `config_storm`, and the pause until the next one.
STORM_S = 2.0
STORM_GAP_S = 0.08
PAUSE_S = 0.25
STORMS = 44
# No storm begins later than this after the start of the case.
LAST_START_S = 110.0
# Ends of processes by themselves, and machines, that break the rule.
MOST_ENDS = 3
MOST_MACHINES = 2


async def play(trouble: bool) -> list[str]:
    """Play the case; return what broke the rule."""
    world = worlds.World(FOLDER, SETTINGS)
    try:
        await world.start_store()
        version = 7
        routes = {PORT: 'order-desk'}
        for port in range(FIRST_IDLE_PORT, FIRST_IDLE_PORT + IDLE_ROUTES):
            routes[port] = 'order-desk'
        await world.put_config(version, routes)
        for index, zone in enumerate(worlds.ZONES):
            world.add_backend(f'i-7f3a91c{index}', 'order-desk', zone)
        await world.start_forwarders()
        tasks = [
            asyncio.create_task(world.send_requests(PORT, REQUESTS_PER_S))
        ]
        tasks += [
            asyncio.create_task(world.run_machine(item, MEMORY_MB))
            for item in world.forwarders
        ]
        await asyncio.sleep(2.0)
        first = FIRST_IDLE_PORT + IDLE_ROUTES
        if trouble:
            for port in range(first, first + ADDED_ROUTES):
                routes[port] = 'order-desk'
        for _ in range(STORMS):
            for _ in range(int(STORM_S / STORM_GAP_S)):
                if trouble:
                    version += 2
                    # Each version moves one of the routes without traffic.
                    routes.pop(next(port for port in routes if port != PORT))
                    routes[first + ADDED_ROUTES + version] = 'order-desk'
                    await world.put_config(version, routes, quiet=True)
                await asyncio.sleep(STORM_GAP_S)
            await asyncio.sleep(PAUSE_S)
            if trouble:
                world.log(
                    f'version {version} is acknowledged; most memory so far: '
                    f'{world.peak_mb:.0f} MB'
                )
            if is_broken(world) or world.elapsed_s > LAST_START_S:
                break
        for task in tasks:
            task.cancel()
        world.check_served()
    finally:
        await world.close()
    if is_broken(world):
        world.broken.append(f'processes ended by themselves: {world.ends}')
    return world.broken


def is_broken(world: worlds.World) -> bool:
    """Return whether the rule is broken."""
    often = [name for name, ends in world.ends.items() if ends >= MOST_ENDS]
    return len(often) >= MOST_MACHINES


if __name__ == '__main__':
    sys.exit(worlds.run_case(play))

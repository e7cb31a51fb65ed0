"""Rules RECOVER and DRAIN while an entry lies in the store unreadable."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import world as worlds  # noqa: E402

PORT = 8443
REQUESTS_PER_S = 60.0
WORK_S = 0.1
# Valid JSON. The version is half of a surrogate pair, and the number is larger
# than a float can hold.
ODD_ENTRY = (
    rb'{"Service":"order-desk","Address":"","Zone":"kgn-a",'
    rb'"Version":"\ud800","Slots":2,"State":"planned","ColdLeftMs":1e400}'
)
# A draining backend goes on for `DrainMs` and a little longer, then exits.
EXTRA_S = 2.0
DOWN_S = 1.5
RECOVER_S = 12.0
JUDGED_S = 8.0


async def play(trouble: bool) -> list[str]:
    """Play the case; return what broke the rules."""
    world = worlds.World(FOLDER)
    try:
        await world.start_store()
        await world.put_config(7, {PORT: 'order-desk'})
        backends = [
            world.add_backend(f'i-7f3a91c{index}', 'order-desk', zone, WORK_S)
            for index, zone in enumerate(('kgn-a', 'kgn-b', 'kgn-c', 'kgn-a'))
        ]
        await world.start_forwarders()
        await asyncio.sleep(3.0)
        traffic = asyncio.create_task(
            world.send_requests(PORT, REQUESTS_PER_S)
        )
        await asyncio.sleep(3.0)
        if trouble:
            await world.store.put_raw('servers', 'i-7f3a91ee', ODD_ENTRY)
        await asyncio.sleep(2.0)
        await world.drain(backends[0], worlds.DRAIN_S + EXTRA_S)
        await asyncio.sleep(2.0)
        before = world.count_served()
        await kill_all(world)
        await asyncio.sleep(RECOVER_S)
        judge_recovery(world, before, await measure(world))
        traffic.cancel()
    finally:
        await world.close()
    return world.broken


async def kill_all(world: worlds.World) -> None:
    """Kill all forwarders at once and start them again."""
    world.log('all forwarders are killed')
    for item in world.forwarders:
        await item.stop()
        world.impaired_at[item.name] = float('inf')
    await asyncio.sleep(DOWN_S)
    for item in world.forwarders:
        await item.start()
        world.impaired_at[item.name] = time.monotonic()
    world.log('all forwarders are started')


async def measure(world: worlds.World) -> tuple[int, int]:
    """Return how many requests are served, and ended, in some seconds."""
    served, ended = world.count_served()
    await asyncio.sleep(JUDGED_S)
    served_later, ended_later = world.count_served()
    return served_later - served, ended_later - ended


def judge_recovery(
    world: worlds.World, before: tuple[int, int], after: tuple[int, int]
) -> None:
    """Check rule RECOVER."""
    text = (
        f'of the requests sent later than {RECOVER_S:.0f} s after the '
        f'machines were back {after[0]} of {after[1]} were served; before '
        f'the final fault {before[0]} of {before[1]}'
    )
    world.log(text)
    if 4 * before[0] < before[1]:
        raise RuntimeError('too few requests were served before the fault')
    if 4 * after[0] < after[1]:
        world.broken.insert(0, f'RECOVER: {text}')


if __name__ == '__main__':
    sys.exit(worlds.run_case(play))

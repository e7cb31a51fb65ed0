"""Rule DRAIN while a zone is cut off from the store."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import world as worlds  # noqa: E402

ROUNDS = 8
CUT_S = 6.5
# A cut backend is back, and its forwarders are in touch, before the next cut.
CALM_S = 6.0
CUT_ZONE = 'kgn-b'
PORTS = {8443: 'quote-bench', 8080: 'order-desk'}
REQUESTS_PER_S = 90.0
# Most backends of each service are in the zone that is cut off.
PLACEMENT = (
    ('i-7f3a91c1', 'quote-bench', 'kgn-b'),
    ('i-7f3a91c2', 'quote-bench', 'kgn-b'),
    ('i-7f3a91c3', 'quote-bench', 'kgn-a'),
    ('i-7f3a91d1', 'order-desk', 'kgn-b'),
    ('i-7f3a91d2', 'order-desk', 'kgn-b'),
    ('i-7f3a91d3', 'order-desk', 'kgn-c'),
)
START_GAP_S = 0.2


async def play(trouble: bool) -> list[str]:
    """Play the case; return what broke the rule."""
    world = worlds.World(FOLDER)
    try:
        await world.start_store()
        await world.put_config(7, PORTS)
        for name, service, zone in PLACEMENT:
            world.add_backend(name, service, zone)
            await asyncio.sleep(START_GAP_S)
        await world.start_forwarders()
        await asyncio.sleep(2.0)
        traffic = [
            asyncio.create_task(world.send_requests(port, REQUESTS_PER_S))
            for port in PORTS
        ]
        for _ in range(ROUNDS):
            await asyncio.sleep(CALM_S)
            if trouble:
                world.cut_zone(CUT_ZONE)
            await asyncio.sleep(CUT_S)
            if trouble:
                world.restore_zone(CUT_ZONE)
        await asyncio.sleep(2.0)
        for task in traffic:
            task.cancel()
        world.check_served()
    finally:
        await world.close()
    return world.broken


if __name__ == '__main__':
    sys.exit(worlds.run_case(play))

"""Rule DRAIN while an entry lies in the store that cannot be read."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import world as worlds  # noqa: E402

PORT = 8443
REQUESTS_PER_S = 60.0
# The version consists of bytes that are no text, as a faulty writer leaves
# them.
ODD_ENTRY = (
    b'{"Service":"order-desk","Address":"","Zone":"kgn-a",'
    b'"Version":"\x8a\x00\x17\xfe","Slots":2,"State":"planned"}'
)


async def play(trouble: bool) -> list[str]:
    """Play the case; return what broke the rule."""
    world = worlds.World(FOLDER)
    try:
        await world.start_store()
        await world.put_config(7, {PORT: 'order-desk'})
        backends = []
        for index, zone in enumerate(('kgn-a', 'kgn-b', 'kgn-c', 'kgn-a')):
            backends.append(
                world.add_backend(f'i-7f3a91c{index}', 'order-desk', zone)
            )
        await world.start_forwarders()
        await asyncio.sleep(3.0)
        traffic = asyncio.create_task(
            world.send_requests(PORT, REQUESTS_PER_S)
        )
        await asyncio.sleep(3.0)
        if trouble:
            await world.store.put_raw('servers', 'i-7f3a91ee', ODD_ENTRY)
        await asyncio.sleep(2.0)
        backends[0].state = 'draining'
        await backends[0].report_now()
        await asyncio.sleep(12.0)
        traffic.cancel()
        world.check_served()
    finally:
        await world.close()
    return world.broken


if __name__ == '__main__':
    sys.exit(worlds.run_case(play))

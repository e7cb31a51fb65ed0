"""Hosts that list the store beside an unreadable entry serve nobody."""

import asyncio
import json
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib2 import site as sites

# Bytes of the entry that another writer left; an object holds 1,048,576.
ENTRY_BYTES = 250_000
PER_S = 30.0
DOWN_S = 1.2
WINDOW_S = 8.0


def make_cut_off_listing(seed: int = 1) -> bytes:
    """Return a listing of earlier backends that was cut off in the middle."""
    source = random.Random(seed)
    items = []
    while sum(map(len, items)) < ENTRY_BYTES:
        number = source.randrange(1 << 31, 1 << 32)
        revision = len(items) + 1
        item = {
            'meta': {
                'Name': f'i-{number:08x}',
                'Revision': revision,
                'CreateRev': revision,
                'Finalizers': [],
                'Deleting': False,
            },
            'spec': {
                'Service': 'order-desk' if len(items) % 10 else 'quote-bench',
                'Address': f'127.0.0.{2 + len(items) % 200}:9',
                'Zone': sites.ZONES[len(items) % 3],
                'Version': 'v0',
                'Slots': 2,
                'State': 'ready',
                'ColdLeftMs': 0,
                'Sequence': 4,
            },
            'status': None,
        }
        items.append(json.dumps(item))
    return ('{"items":[' + ','.join(items)).encode()[:ENTRY_BYTES]


async def play(site: sites.Site) -> bool:
    """Play the case; return whether the rule was broken."""
    traffic = site.spawn(site.ask_all(PER_S))
    await asyncio.sleep(sites.CONTACT_S)
    if site.trouble:
        await site.store.put('servers', 'ops-history', make_cut_off_listing())
        site.record('another writer has left the entry ops-history')
    before_at = time.monotonic()
    await asyncio.sleep(WINDOW_S)
    fault_at = time.monotonic()
    await site.change_config()
    for host in site.hosts:
        host.kill()
    site.record('all processes are killed')
    await asyncio.sleep(DOWN_S)
    for host in site.hosts:
        host.start(first=False)
    back_at = time.monotonic()
    site.record('the machines are back')
    await asyncio.sleep(sites.RECOVER_S + WINDOW_S)
    traffic.cancel()
    await asyncio.sleep(sites.LIMIT_S + 0.2)
    before = site.count(before_at, fault_at)
    since = back_at + sites.RECOVER_S
    after = site.count(since, since + WINDOW_S)
    for name, counts in (('before', before), ('after', after)):
        text = (
            f'{name}: {counts[1]} of {counts[0]} attempts served, '
            f'{counts[3]} of {counts[2]} requests'
        )
        site.record(text)
        print(text)
    if 4 * before[1] < before[0]:
        raise sites.CannotRun('too little was served before the fault')
    broken = 4 * after[1] < after[0]
    if broken:
        site.break_rule('RECOVER', 'less than a quarter is served')
    return broken


sys.exit(sites.run(pathlib.Path(__file__).resolve().parent, play))

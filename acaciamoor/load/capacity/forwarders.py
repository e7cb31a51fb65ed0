"""Slopes of forwarders: packets, openings, what a host knows, and relays."""

import datetime
import random

from acaciamoor import directory
from acaciamoor import forwarder
from acaciamoor import model
from acaciamoor import openings
from acaciamoor import platform
from acaciamoor import replica
from acaciamoor.load import scaling
from acaciamoor.load.capacity import samples

_ADDRESS = (0xC6120001, 443)
_SERVICE = 'desk'
_KIND = 'upstreams'
_PACKETS = 20_000
_OPENINGS = 1_000
_UPSTREAM_COUNTS = (7, 60, 240)
_LISTED_COUNTS = (250, 1_000, 4_000)
_FLOW_COUNTS = (1_000, 4_000, 16_000)
_ZERO = datetime.timedelta(0)


def packet_slopes(seed: int) -> list[scaling.ScalingFit]:
    """Return the time of a packet of an open flow by upstreams."""
    points = []
    for count in _UPSTREAM_COUNTS:
        core = _core(count, seed)
        token = core.handle(b'', _packet(0, opens=True), _ZERO).forward.token
        packet = _packet(0, token=token)

        def forward(core=core, packet=packet) -> None:
            for _ in range(_PACKETS):
                core.handle(b'', packet, _ZERO)

        points.append(
            scaling.Sample(count, samples.seconds_of(forward) / _PACKETS)
        )
    return [
        scaling.fit_samples(
            'processor time of a packet', 's', 'upstreams of a service', points
        )
    ]


def opening_slopes(seed: int) -> list[scaling.ScalingFit]:
    """Return the time to place a flow by upstreams."""
    points = []
    for count in _UPSTREAM_COUNTS:
        core = _core(count, seed)

        def place(core=core) -> None:
            for number in range(_OPENINGS):
                core.handle(b'', _packet(number, opens=True), _ZERO)

        points.append(
            scaling.Sample(count, samples.seconds_of(place) / _OPENINGS)
        )
    return [
        scaling.fit_samples(
            'processor time of an opening',
            's',
            'upstreams of a service',
            points,
        )
    ]


def knowledge_slopes(seed: int) -> list[scaling.ScalingFit]:
    """Return memory of upstreams and of flows that a host remembers."""
    listed = [
        scaling.Sample(
            count, samples.memory_of(lambda count=count: _directory(count))
        )
        for count in _LISTED_COUNTS
    ]
    flows = [
        scaling.Sample(
            count, samples.memory_of(lambda count=count: _activity(count))
        )
        for count in _FLOW_COUNTS
    ]
    return [
        scaling.fit_samples('memory of a directory', 'B', 'upstreams', listed),
        scaling.fit_samples('memory of remembered flows', 'B', 'flows', flows),
    ]


def relay_slopes(seed: int) -> list[scaling.ScalingFit]:
    """Return the bytes of a change and of a whole collection."""
    change, whole = [], []
    for count in _LISTED_COUNTS:
        copy = replica.Replica(_KIND)
        events = tuple(_event(number) for number in range(count))
        copy.apply(replica.Batch(0, count, events, snapshot=True))
        whole.append(scaling.Sample(count, _encoded(copy.changes_since(0))))
        copy.apply(replica.Batch(count, count + 1, (_event(count),)))
        change.append(
            scaling.Sample(count, _encoded(copy.changes_since(count)))
        )
    return [
        scaling.fit_samples('message of a change', 'B', 'upstreams', change),
        scaling.fit_samples(
            'message of a whole collection', 'B', 'upstreams', whole
        ),
    ]


def _listed(number: int) -> directory.UpstreamEntry:
    return directory.UpstreamEntry(
        model.Upstream(
            model.UpstreamId(f'i-{number:010x}'),
            model.DataCentre('dc-1'),
            model.Address('127.0.0.1', 1 + number % 60_000),
        ),
        service=_SERVICE,
        wire_id=number + 1,
        revision=number + 1,
    )


def _directory(count: int) -> directory.Directory:
    result = directory.Directory()
    route = directory.Route('board', _ADDRESS, {_SERVICE: 1.0})
    result.adopt_routes(directory.RouteTable(1, {_ADDRESS: route}))
    for number in range(count):
        result.put_upstream(_listed(number))
    result.confirm_entries(count)
    result.find_upstream(_ADDRESS, 1)
    return result


def _core(count: int, seed: int) -> forwarder.ForwarderCore:
    return forwarder.ForwarderCore(
        forwarder.CoreSettings(model.DataCentre('dc-1')),
        _directory(count),
        random.Random(seed),
    )


def _packet(
    number: int, opens: bool = False, token: int = 0
) -> forwarder.Packet:
    key = (0x64400000 + number, 40_000, *_ADDRESS)
    return forwarder.Packet(key, opens, False, False, token, 1, 1, 0)


def _activity(count: int) -> openings.FlowTracker:
    result = openings.FlowTracker(openings.LoadTracker())
    for number in range(count):
        key = (0x64400000 + number, 40_000, *_ADDRESS)
        result.record_packet(key, 'i-1', 1, 1, 0, _ZERO)
    return result


def _event(number: int) -> platform.WatchEvent:
    value = {
        'service': _SERVICE,
        'address': f'127.0.0.1:{1 + number % 60_000}',
        'data_centre': 'dc-1',
        'slots': 2,
        'state': 'active',
    }
    stored = platform.StoredObject(
        _KIND, f'i-{number:010x}', number + 1, value
    )
    return platform.WatchEvent(platform.EventType.PUT, number + 1, stored)


def _encoded(batch: replica.Batch) -> int:
    message = replica.Update.from_batch(_KIND, batch, _ZERO)
    return len(replica.MessageCodec().encode(message))

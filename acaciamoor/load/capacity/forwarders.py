"""Measurements of the forwarder, its memory and its relays against size."""

import datetime
import random

from acaciamoor import directory
from acaciamoor import forwarder
from acaciamoor import model
from acaciamoor import openings
from acaciamoor import platform
from acaciamoor import replica
from acaciamoor.load import scaling
from acaciamoor.load.capacity import measuring

_ADDRESS = (0xC6120001, 443)
_SERVICE = 'desk'
_KIND = 'upstreams'
_PACKET_COUNT = 20_000
_OPENING_COUNT = 1_000
_UPSTREAM_COUNTS = (7, 60, 240)
_ENTRY_COUNTS = (250, 1_000, 4_000)
_FLOW_COUNTS = (1_000, 4_000, 16_000)
_ZERO = datetime.timedelta(0)


def measure_packets(seed: int) -> list[scaling.ScalingFit]:
    """Measure processor time per packet of open flows, by upstream count."""
    points = []
    for count in _UPSTREAM_COUNTS:
        core = _build_core(count, seed)
        token = core.handle(
            b'', _build_packet(0, is_opening=True), _ZERO
        ).forward.token
        packet = _build_packet(0, token=token)

        def forward(core=core, packet=packet) -> None:
            for _ in range(_PACKET_COUNT):
                core.handle(b'', packet, _ZERO)

        points.append(
            scaling.Sample(
                count, measuring.min_processor_seconds(forward) / _PACKET_COUNT
            )
        )
    return [
        scaling.fit_samples(
            'processor time of a packet', 's', 'upstreams of a service', points
        )
    ]


def measure_openings(seed: int) -> list[scaling.ScalingFit]:
    """Measure processor time to place a flow, by upstream count."""
    points = []
    for count in _UPSTREAM_COUNTS:
        core = _build_core(count, seed)

        def place(core=core) -> None:
            for number in range(_OPENING_COUNT):
                core.handle(b'', _build_packet(number, is_opening=True), _ZERO)

        points.append(
            scaling.Sample(
                count, measuring.min_processor_seconds(place) / _OPENING_COUNT
            )
        )
    return [
        scaling.fit_samples(
            'processor time of an opening',
            's',
            'upstreams of a service',
            points,
        )
    ]


def measure_memory(seed: int) -> list[scaling.ScalingFit]:
    """Measure the memory of the directory and of the flow tracker."""
    directories = [
        scaling.Sample(
            count,
            measuring.allocated_bytes(
                lambda count=count: _build_directory(count)
            ),
        )
        for count in _ENTRY_COUNTS
    ]
    trackers = [
        scaling.Sample(
            count,
            measuring.allocated_bytes(
                lambda count=count: _build_flow_tracker(count)
            ),
        )
        for count in _FLOW_COUNTS
    ]
    return [
        scaling.fit_samples(
            'memory of a directory', 'B', 'upstreams', directories
        ),
        scaling.fit_samples(
            'memory of remembered flows', 'B', 'flows', trackers
        ),
    ]


def measure_relay_messages(seed: int) -> list[scaling.ScalingFit]:
    """Measure the encoded size of one change and of a whole collection."""
    changes, snapshots = [], []
    for count in _ENTRY_COUNTS:
        collection = replica.Replica(_KIND)
        events = tuple(_build_event(number) for number in range(count))
        collection.apply(replica.Batch(0, count, events, snapshot=True))
        snapshots.append(
            scaling.Sample(count, _encoded_size(collection.changes_since(0)))
        )
        collection.apply(
            replica.Batch(count, count + 1, (_build_event(count),))
        )
        changes.append(
            scaling.Sample(
                count, _encoded_size(collection.changes_since(count))
            )
        )
    return [
        scaling.fit_samples('message of a change', 'B', 'upstreams', changes),
        scaling.fit_samples(
            'message of a whole collection', 'B', 'upstreams', snapshots
        ),
    ]


def _build_entry(number: int) -> directory.UpstreamEntry:
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


def _build_directory(count: int) -> directory.Directory:
    result = directory.Directory()
    route = directory.Route('board', _ADDRESS, {_SERVICE: 1.0})
    result.adopt_routes(directory.RouteTable(1, {_ADDRESS: route}))
    for number in range(count):
        result.put_upstream(_build_entry(number))
    result.confirm_entries(count)
    result.find_upstream(_ADDRESS, 1)
    return result


def _build_core(count: int, seed: int) -> forwarder.ForwarderCore:
    return forwarder.ForwarderCore(
        forwarder.CoreSettings(model.DataCentre('dc-1')),
        _build_directory(count),
        random.Random(seed),
    )


def _build_packet(
    number: int, is_opening: bool = False, token: int = 0
) -> forwarder.Packet:
    key = (0x64400000 + number, 40_000, *_ADDRESS)
    return forwarder.Packet(key, is_opening, False, False, token, 1, 1, 0)


def _build_flow_tracker(count: int) -> openings.FlowTracker:
    result = openings.FlowTracker(
        openings.LoadTracker(), openings.DemandTracker()
    )
    for number in range(count):
        key = (0x64400000 + number, 40_000, *_ADDRESS)
        result.record_packet(key, 'i-1', 1, 1, 0, _ZERO)
    return result


def _build_event(number: int) -> platform.WatchEvent:
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


def _encoded_size(batch: replica.Batch) -> int:
    message = replica.Update.from_batch(_KIND, batch, _ZERO)
    return len(replica.MessageCodec().encode(message))

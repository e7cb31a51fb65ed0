"""Measurements of membership and configuration against size."""

import collections
import random
import time

import msgspec

from acaciamoor import configuration
from acaciamoor import model
from acaciamoor import platform
from acaciamoor import wire
from acaciamoor.balancer.core import compact
from acaciamoor.harness import control
from acaciamoor.harness import control_sizes
from acaciamoor.load import scaling
from acaciamoor.load.capacity import measuring
from acaciamoor.platform import codec

# Hosts of the data centre. The largest is the mean size in the plan.
HOST_COUNTS = (8, 64, 367)
_WARM_UP_SECONDS = 5.0
_MEASURED_SECONDS = 10.0
_KEYRING = wire.Keyring({1: b'capacity-probe-1'}, active_key_id=1)


class _EncodingFleet(control.ControlFleet):
    """Fleet that counts the bytes of control messages as encoded."""

    def send_all(self, host_id, sends) -> None:
        """Send messages from a host and count their encoded size."""
        for send in sends:
            self.messages_sent_by_id[host_id] += 1
            self.bytes_sent_by_id[host_id] += len(_encode(host_id, send))
            self.network.send(host_id, send.host_id, send.message)


def measure_membership(seed: int) -> list[scaling.ScalingFit]:
    """Measure probe traffic and processor time per host, by host count."""
    points = [_measure_steady_state(hosts, seed) for hosts in HOST_COUNTS]
    return [
        scaling.fit_samples(name, unit, 'hosts of the data centre', column)
        for name, unit, column in (
            ('probe messages sent by a host', '1/s', [p[0] for p in points]),
            ('probe bytes sent by a host', 'B/s', [p[1] for p in points]),
            (
                'processor share of probes at a host',
                'cores',
                [p[2] for p in points],
            ),
        )
    ]


def measure_change_size(seed: int) -> list[scaling.ScalingFit]:
    """Measure the encoded size of a change, by upstream count."""
    points = []
    for upstreams in (2, 7, 64):
        change = configuration.ServiceVersion(
            model.ServiceId(1),
            1,
            measuring.build_service(1, upstreams),
        )
        points.append(scaling.Sample(upstreams, len(compact.pack(change))))
    return [
        scaling.fit_samples(
            'encoded configuration change', 'B', 'upstreams', points
        )
    ]


def measure_host_list_size(seed: int) -> list[scaling.ScalingFit]:
    """Measure the encoded size of the host list, by host count."""
    points = []
    for hosts in HOST_COUNTS:
        listing = codec.ListDocument(
            codec.Metadata(resource_version=str(hosts)),
            [_host_document(number) for number in range(hosts)],
        )
        points.append(scaling.Sample(hosts, len(msgspec.json.encode(listing))))
    return [
        scaling.fit_samples(
            'encoded host list', 'B', 'hosts of the data centre', points
        )
    ]


def measure_store_memory(seed: int) -> list[scaling.ScalingFit]:
    """Measure memory of the configuration on a host, by service count."""
    points = []
    for services in (250, 500, 1000):
        memory = measuring.allocated_bytes(
            lambda count=services: _build_store(count, seed)
        )
        points.append(scaling.Sample(services, memory))
    return [
        scaling.fit_samples(
            'memory of the configuration', 'B', 'services', points
        )
    ]


def _measure_steady_state(
    hosts: int, seed: int
) -> tuple[scaling.Sample, scaling.Sample, scaling.Sample]:
    fleet = _EncodingFleet(hosts, seed)
    fleet.warm_up()
    fleet.run(_WARM_UP_SECONDS)
    fleet.bytes_sent_by_id = collections.Counter()
    fleet.messages_sent_by_id = collections.Counter()
    start = time.process_time()
    fleet.run(_MEASURED_SECONDS)
    processor_seconds = time.process_time() - start
    per_host = 1.0 / (hosts * _MEASURED_SECONDS)
    return (
        scaling.Sample(
            hosts, sum(fleet.messages_sent_by_id.values()) * per_host
        ),
        scaling.Sample(hosts, sum(fleet.bytes_sent_by_id.values()) * per_host),
        scaling.Sample(hosts, processor_seconds * per_host),
    )


def _host_document(number: int) -> codec.ObjectDocument:
    address = model.Address('127.0.0.1', 10_000 + number)
    return codec.to_document(
        platform.StoredObject(
            'hosts',
            f'{measuring.DATA_CENTRE}-{number}',
            number + 1,
            {
                'data_centre': measuring.DATA_CENTRE,
                'address': str(address),
                'state': platform.HostState.LIVE.value,
            },
        )
    )


def _encode(host_id: str, send) -> bytes:
    body = wire.Document(
        type(send.message).__name__, compact.pack(send.message)
    )
    return _KEYRING.sign(
        wire.encode_peer_message(wire.PeerMessage(host_id, body))
    )


def _build_store(services: int, seed: int) -> configuration.ConfigurationStore:
    clock = measuring.manual_clock()
    store = configuration.ConfigurationStore(
        model.HostId('kgn-a-1'),
        clock,
        random.Random(seed),
        control_sizes.change_size,
    )
    store.on_listing(
        services,
        [
            measuring.build_service(number, 3).at_version(number)
            for number in range(1, services + 1)
        ],
    )
    store.take_changes()
    return store

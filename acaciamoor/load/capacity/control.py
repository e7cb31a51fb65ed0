"""Slopes of membership and configuration traffic."""

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
from acaciamoor.load.capacity import samples
from acaciamoor.platform import codec

# The largest size is the mean data centre of the plan.
HOSTS = (8, 64, 367)
_WARM_UP_SECONDS = 5.0
_MEASURED_SECONDS = 10.0
_KEYRING = wire.Keyring({1: b'capacity-probe-1'}, active_key_id=1)


class _EncodedFleet(control.ControlFleet):
    """Fleet that counts control bytes as they are sent on a wire."""

    def send_all(self, host_id, sends) -> None:
        """Count the encoded size of every message, then send it."""
        for send in sends:
            self.messages_sent_by_id[host_id] += 1
            self.bytes_sent_by_id[host_id] += len(_encode(host_id, send))
            self.network.send(host_id, send.host_id, send.message)


def membership_slopes(seed: int) -> list[scaling.ScalingFit]:
    """Return traffic and processor time of one host by hosts."""
    points = [_steady(hosts, seed) for hosts in HOSTS]
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


def change_slopes(seed: int) -> list[scaling.ScalingFit]:
    """Return the bytes of one configuration change by its upstreams."""
    encoded = []
    for upstreams in (2, 7, 64):
        change = configuration.ServiceVersion(
            model.ServiceId(1),
            1,
            samples.service(1, upstreams),
        )
        encoded.append(scaling.Sample(upstreams, len(compact.pack(change))))
    return [
        scaling.fit_samples(
            'encoded configuration change', 'B', 'upstreams', encoded
        )
    ]


def host_list_slopes(seed: int) -> list[scaling.ScalingFit]:
    """Return the bytes of the host list of a data centre by hosts."""
    points = []
    for hosts in HOSTS:
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


def store_slopes(seed: int) -> list[scaling.ScalingFit]:
    """Return the memory of the configuration at a host by services."""
    points = []
    for services in (250, 500, 1000):
        used = samples.memory_of(lambda count=services: _filled(count, seed))
        points.append(scaling.Sample(services, used))
    return [
        scaling.fit_samples(
            'memory of the configuration', 'B', 'services', points
        )
    ]


def _steady(
    hosts: int, seed: int
) -> tuple[scaling.Sample, scaling.Sample, scaling.Sample]:
    fleet = _EncodedFleet(hosts, seed)
    fleet.warm_up()
    fleet.run(_WARM_UP_SECONDS)
    fleet.bytes_sent_by_id = collections.Counter()
    fleet.messages_sent_by_id = collections.Counter()
    start = time.process_time()
    fleet.run(_MEASURED_SECONDS)
    used = time.process_time() - start
    per_host = 1.0 / (hosts * _MEASURED_SECONDS)
    return (
        scaling.Sample(
            hosts, sum(fleet.messages_sent_by_id.values()) * per_host
        ),
        scaling.Sample(hosts, sum(fleet.bytes_sent_by_id.values()) * per_host),
        scaling.Sample(hosts, used * per_host),
    )


def _host_document(number: int) -> codec.ObjectDocument:
    address = model.Address('127.0.0.1', 10_000 + number)
    return codec.to_document(
        platform.StoredObject(
            'hosts',
            f'{samples.DATA_CENTRE}-{number}',
            number + 1,
            {
                'data_centre': samples.DATA_CENTRE,
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


def _filled(services: int, seed: int) -> configuration.ConfigurationStore:
    clock = samples.clock()
    store = configuration.ConfigurationStore(
        model.HostId('kgn-a-1'),
        clock,
        random.Random(seed),
        control_sizes.change_size,
    )
    store.on_listing(
        services,
        [
            samples.service(number, 3).at_version(number)
            for number in range(1, services + 1)
        ],
    )
    store.take_changes()
    return store

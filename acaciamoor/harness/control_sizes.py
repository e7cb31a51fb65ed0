"""Estimated sizes of control messages.

The estimates follow the Cap'n Proto encoding: structs and lists are padded to
words of 8 bytes, and a text consists of a pointer and its bytes.
"""

import collections.abc
import functools

from acaciamoor import configuration
from acaciamoor import membership
from acaciamoor.naive import membership as naive_membership

# Framing, sender, key identifier and authentication code.
_OVERHEAD_BYTES = 88
_DIGEST_BYTES = 48
# Version, age and flag, present after the first evacuation only.
_EVACUATION_BYTES = 24
_UPDATE_BYTES = 32
_PROBE_BYTES = 48
_EVIDENCE_BYTES = 32
_CHANGE_BYTES = 64
_UPSTREAM_BYTES = 96


def change_size(change: configuration.ServiceVersion) -> int:
    """Return the estimated size of a configuration change, in bytes."""
    if change.service is None:
        return _CHANGE_BYTES
    upstreams = len(change.service.upstreams_by_id)
    return _CHANGE_BYTES + _UPSTREAM_BYTES * upstreams


@functools.singledispatch
def wire_size(message: object) -> int:
    """Return the estimated encoded size of a control message, in bytes."""
    raise TypeError(f'no size estimate for {type(message).__name__}')


def _updates_size(
    updates: collections.abc.Iterable[membership.MemberUpdate],
) -> int:
    return sum(
        _UPDATE_BYTES + 8 * (len(update.host_id) // 8 + 1)
        for update in updates
    )


def _digest_size(digest: configuration.ConfigurationDigest | None) -> int:
    if not digest:
        return 0
    return _DIGEST_BYTES + (_EVACUATION_BYTES if digest.evacuation else 0)


@wire_size.register
def _(message: membership.Probe) -> int:
    digest = _digest_size(message.digest)
    updates = _updates_size((message.member, *message.updates))
    return _OVERHEAD_BYTES + _PROBE_BYTES + digest + updates


@wire_size.register
def _(message: membership.ProbeAck) -> int:
    size = _OVERHEAD_BYTES + _PROBE_BYTES
    size += _digest_size(message.digest)
    size += _updates_size((message.member, *message.updates, *message.page))
    if message.round_trip_ages:
        size += _EVIDENCE_BYTES
        size += len(message.round_trip_ages.entries) + len(
            message.round_trip_ages.host_hashes
        )
    return size


@wire_size.register
def _(message: membership.IndirectProbe) -> int:
    updates = _updates_size((message.member, *message.updates))
    return _OVERHEAD_BYTES + _PROBE_BYTES + updates


@wire_size.register
def _(message: naive_membership.Heartbeat) -> int:
    return _OVERHEAD_BYTES + _DIGEST_BYTES


@wire_size.register
def _(message: configuration.SnapshotRequest) -> int:
    return _OVERHEAD_BYTES + 16


@wire_size.register(configuration.Delta)
@wire_size.register(configuration.Snapshot)
def _(message) -> int:
    return (
        _OVERHEAD_BYTES + 32 + sum(change_size(item) for item in message.items)
    )

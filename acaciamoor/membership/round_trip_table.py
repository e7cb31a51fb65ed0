"""Times of the latest round trips of all hosts, spread by gossip.

Every host keeps the time of the latest round trip that each listed host is
known to have completed, and sends all of them as ages in its answers to
probes. This is gossip-style heartbeating [1]_. Leases and quorums are derived
from these times, because a host of a large data centre cannot hear from half
of the other hosts directly within a lease at constant traffic.

The time of a round trip is the time at which its probe was sent. The answer
was created later, so every recorded time is a lower bound of the true time,
however long the network, a socket buffer or a paused peer delayed the message.
A round trip can therefore expire too early, but never too late.

References
----------
.. [1] R. van Renesse, Y. Minsky and M. Hayden, "A gossip-style failure
   detection service", Middleware 1998.
"""

import collections.abc
import datetime
import random

import numpy as np

from acaciamoor.hashing import rendezvous
from acaciamoor.membership import messages
from acaciamoor.model import identifiers

# An entry has 7 bits for the age; 126 units of 16 ms cover the lease of 1.5 s.
AGE_UNIT = datetime.timedelta(milliseconds=16)
_UNKNOWN_AGE = 127
_IN_FORCE_BIT = 128
# Maximum number of entries in an answer to a host with a different host list;
# an entry and its host hash take 5 bytes.
MAX_HASHED_ENTRIES = 220
_MICROSECOND = datetime.timedelta(microseconds=1)
_AGE_UNIT_US = AGE_UNIT // _MICROSECOND
_NEVER_US = -(10**15)


def _host_hash(host_id: identifiers.HostId) -> int:
    return rendezvous.hash64(host_id) & 0xFFFFFFFF


class RoundTripTable:
    """Latest known round trip of each listed host.

    The table also holds which hosts have the current target version of the
    configuration in force.

    Parameters
    ----------
    rng : random.Random
        Selects the entries for hosts with a different host list.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._target = 0
        self._cleared_at = datetime.timedelta(0)
        self.set_hosts(frozenset())

    def set_hosts(
        self, hosts: collections.abc.Set[identifiers.HostId]
    ) -> None:
        """Replace the host list; keep what is known of remaining hosts."""
        known = getattr(self, '_index_by_id', {})
        ids = tuple(sorted(hosts))
        seen_us = np.full(len(ids), _NEVER_US, dtype=np.int64)
        in_force = np.zeros(len(ids), dtype=bool)
        for index, host_id in enumerate(ids):
            if host_id in known:
                seen_us[index] = self._seen_us[known[host_id]]
                in_force[index] = self._in_force[known[host_id]]
        self._seen_us, self._in_force = seen_us, in_force
        self.ids = ids
        self.host_list_hash = rendezvous.hash64('\n'.join(ids))
        self._index_by_id = {host_id: i for i, host_id in enumerate(ids)}
        self._host_hashes = np.array(
            [_host_hash(host_id) for host_id in ids], '<u4'
        )
        self._index_by_hash = {
            int(value): i for i, value in enumerate(self._host_hashes)
        }

    def record(
        self, host_id: identifiers.HostId, at: datetime.timedelta
    ) -> None:
        """Record that `host_id` completed a round trip at or after `at`."""
        index = self._index_by_id.get(host_id)
        if index is not None:
            at_us = at // _MICROSECOND
            self._seen_us[index] = max(self._seen_us[index], at_us)

    def clear(self, now: datetime.timedelta) -> None:
        """Discard all round trips and restart the measurement of silence."""
        self._seen_us.fill(_NEVER_US)
        self._cleared_at = now

    def silent_since(
        self, since: datetime.timedelta
    ) -> tuple[identifiers.HostId, ...]:
        """Return the hosts without a known round trip since `since`.

        No host is returned if the table was cleared after `since`.
        """
        if self._cleared_at > since:
            return ()
        silent = self._seen_us < since // _MICROSECOND
        return tuple(self.ids[index] for index in np.flatnonzero(silent))

    def has_quorum(
        self, own: identifiers.HostId, since: datetime.timedelta
    ) -> bool:
        """Return whether a majority completed a round trip since `since`.

        Exactly half of the hosts is a quorum if it includes the host with the
        lowest identifier. The host `own` counts without a round trip.
        """
        if not self.ids:
            return False
        recent = self._seen_us >= since // _MICROSECOND
        if own in self._index_by_id:
            recent[self._index_by_id[own]] = True
        count = 2 * int(np.count_nonzero(recent))
        return count > len(self.ids) or (
            count == len(self.ids) and bool(recent[0])
        )

    def seen_since(self, since: datetime.timedelta) -> set[identifiers.HostId]:
        """Return the hosts that completed a round trip since `since`."""
        recent = self._seen_us >= since // _MICROSECOND
        return {self.ids[index] for index in np.flatnonzero(recent)}

    def predecessor(self, host_id: identifiers.HostId) -> identifiers.HostId:
        """Return the listed host before `host_id`, or the empty string."""
        index = self._index_by_id[host_id]
        return self.ids[index - 1] if index else identifiers.HostId('')

    def encode(
        self,
        receiver_host_list_hash: int,
        now: datetime.timedelta,
        target: int,
    ) -> messages.RoundTripAges:
        """Return the ages to send to a host with the given host list."""
        self._set_target(target)
        ages_us = now // _MICROSECOND - self._seen_us
        units = np.clip(-(-ages_us // _AGE_UNIT_US), 0, _UNKNOWN_AGE)
        entries = units + self._in_force * _IN_FORCE_BIT
        entries = entries.astype(np.uint8)
        if receiver_host_list_hash == self.host_list_hash:
            return messages.RoundTripAges(
                self.host_list_hash, entries.tobytes()
            )
        (known,) = np.nonzero(units < _UNKNOWN_AGE)
        chosen = known.tolist()
        if len(chosen) > MAX_HASHED_ENTRIES:
            chosen = self._rng.sample(chosen, MAX_HASHED_ENTRIES)
        return messages.RoundTripAges(
            self.host_list_hash,
            entries[chosen].tobytes(),
            self._host_hashes[chosen].tobytes(),
        )

    def merge(
        self,
        ages: messages.RoundTripAges,
        created_after: datetime.timedelta,
        target: int,
        own_target: int,
    ) -> None:
        """Merge the ages of a peer, created at or after `created_after`.

        `target` is the peer's target version. The marks of hosts that have it
        in force are merged only if it equals `own_target`.
        """
        entries = np.frombuffer(ages.entries, dtype=np.uint8)
        indexes = self._indexes_of(ages, len(entries))
        if indexes is None:
            return
        entries, indexes = entries[indexes >= 0], indexes[indexes >= 0]
        units = (entries & _UNKNOWN_AGE).astype(np.int64)
        seen_us = created_after // _MICROSECOND - units * _AGE_UNIT_US
        seen_us[units == _UNKNOWN_AGE] = _NEVER_US
        self._seen_us[indexes] = np.maximum(self._seen_us[indexes], seen_us)
        self._set_target(own_target)
        if target == own_target:
            self._in_force[indexes] |= entries >= _IN_FORCE_BIT

    def mark_target_in_force(
        self, host_id: identifiers.HostId, target: int
    ) -> None:
        """Record that `host_id` has `target` in force."""
        self._set_target(target)
        index = self._index_by_id.get(host_id)
        if index is not None:
            self._in_force[index] = True

    def has_target_in_force(
        self, host_id: identifiers.HostId, target: int
    ) -> bool:
        """Return whether `host_id` is known to have `target` in force."""
        self._set_target(target)
        index = self._index_by_id.get(host_id)
        return index is not None and bool(self._in_force[index])

    def _set_target(self, target: int) -> None:
        if target != self._target:
            self._target = target
            self._in_force.fill(False)

    def _indexes_of(
        self, ages: messages.RoundTripAges, count: int
    ) -> np.ndarray | None:
        if ages.host_hashes:
            host_hashes = np.frombuffer(ages.host_hashes, dtype='<u4')
            if len(host_hashes) != count:
                return None
            found = [
                self._index_by_hash.get(int(value), -1)
                for value in host_hashes
            ]
            return np.array(found, dtype=np.int64)
        if ages.host_list_hash != self.host_list_hash or count != len(
            self.ids
        ):
            return None
        return np.arange(count)

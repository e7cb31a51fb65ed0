"""Transitive evidence of round trips, with ages.

Every host keeps the time of the latest round trip that each listed host is
known to have completed, and passes all of them on as ages in its answers to
probes. This spreads heartbeats by gossip [1]_, and it is what a lease and a
quorum are counted from: a host of a large data centre cannot hear from half of
the others directly within a lease at constant traffic.

An answer is dated by the time at which its probe was sent. The answer was
made after that, so every date is a lower bound of the true time, whatever the
network, a socket buffer or a paused peer did to the message. Evidence can
therefore expire too early, but not too late.

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

# One byte holds 7 bits of age; 126 units of 16 ms cover the lease of 1.5 s.
AGE_UNIT = datetime.timedelta(milliseconds=16)
_UNKNOWN_AGE = 127
_CONFIRMED_BIT = 128
# Entries in an answer to a host that has another host list, 5 bytes each.
MAX_TAGGED = 220
_MICROSECOND = datetime.timedelta(microseconds=1)
_AGE_UNIT_US = AGE_UNIT // _MICROSECOND
_NEVER_US = -(10**15)


def _tag(host_id: identifiers.HostId) -> int:
    return rendezvous.hash64(host_id) & 0xFFFFFFFF


class EvidenceTable:
    """Latest known round trip of each listed host.

    Parameters
    ----------
    rng : random.Random
        Chooses the entries for hosts with another list.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._confirmed_target = 0
        self._cleared_at = datetime.timedelta(0)
        self.set_hosts(frozenset())

    def set_hosts(
        self, hosts: collections.abc.Set[identifiers.HostId]
    ) -> None:
        """Follow another list of hosts and keep what is known."""
        known = getattr(self, '_index_by_id', {})
        ids = tuple(sorted(hosts))
        seen_us = np.full(len(ids), _NEVER_US, dtype=np.int64)
        confirmed = np.zeros(len(ids), dtype=bool)
        for index, host_id in enumerate(ids):
            if host_id in known:
                seen_us[index] = self._seen_us[known[host_id]]
                confirmed[index] = self._confirmed[known[host_id]]
        self._seen_us, self._confirmed = seen_us, confirmed
        self.ids = ids
        self.listing = rendezvous.hash64('\n'.join(ids))
        self._index_by_id = {host_id: i for i, host_id in enumerate(ids)}
        self._tags = np.array([_tag(host_id) for host_id in ids], '<u4')
        self._index_by_tag = {int(tag): i for i, tag in enumerate(self._tags)}

    def note(
        self, host_id: identifiers.HostId, at: datetime.timedelta
    ) -> None:
        """Note that `host_id` completed a round trip at or after `at`."""
        index = self._index_by_id.get(host_id)
        if index is not None:
            at_us = at // _MICROSECOND
            self._seen_us[index] = max(self._seen_us[index], at_us)

    def clear(self, now: datetime.timedelta) -> None:
        """Forget all round trips; silence is counted from now on."""
        self._seen_us.fill(_NEVER_US)
        self._cleared_at = now

    def silent_since(
        self, since: datetime.timedelta
    ) -> tuple[identifiers.HostId, ...]:
        """Return the hosts without a known round trip after `since`."""
        if self._cleared_at > since:
            return ()
        silent = self._seen_us < since // _MICROSECOND
        return tuple(self.ids[index] for index in np.flatnonzero(silent))

    def has_quorum(
        self, own: identifiers.HostId, since: datetime.timedelta
    ) -> bool:
        """Return whether a majority completed a round trip after `since`.

        Exactly half counts if it includes the lowest host identifier. This
        host itself counts without evidence.
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

    def answering_since(
        self, since: datetime.timedelta
    ) -> set[identifiers.HostId]:
        """Return the hosts that completed a round trip after `since`."""
        recent = self._seen_us >= since // _MICROSECOND
        return {self.ids[index] for index in np.flatnonzero(recent)}

    def predecessor(self, host_id: identifiers.HostId) -> identifiers.HostId:
        """Return the host before a listed one, or the empty string."""
        index = self._index_by_id[host_id]
        return self.ids[index - 1] if index else identifiers.HostId('')

    def encode(
        self, receiver_listing: int, now: datetime.timedelta, target: int
    ) -> messages.Evidence:
        """Return the evidence for a host with the given list."""
        self._follow_target(target)
        ages_us = now // _MICROSECOND - self._seen_us
        units = np.clip(-(-ages_us // _AGE_UNIT_US), 0, _UNKNOWN_AGE)
        entries = units + self._confirmed * _CONFIRMED_BIT
        entries = entries.astype(np.uint8)
        if receiver_listing == self.listing:
            return messages.Evidence(self.listing, entries.tobytes())
        (known,) = np.nonzero(units < _UNKNOWN_AGE)
        chosen = known.tolist()
        if len(chosen) > MAX_TAGGED:
            chosen = self._rng.sample(chosen, MAX_TAGGED)
        return messages.Evidence(
            self.listing,
            entries[chosen].tobytes(),
            self._tags[chosen].tobytes(),
        )

    def merge(
        self,
        evidence: messages.Evidence,
        heard_at: datetime.timedelta,
        target: int,
        own_target: int,
    ) -> None:
        """Take over the evidence of a peer, made at or after `heard_at`."""
        entries = np.frombuffer(evidence.entries, dtype=np.uint8)
        indexes = self._indexes_of(evidence, len(entries))
        if indexes is None:
            return
        entries, indexes = entries[indexes >= 0], indexes[indexes >= 0]
        units = (entries & _UNKNOWN_AGE).astype(np.int64)
        seen_us = heard_at // _MICROSECOND - units * _AGE_UNIT_US
        seen_us[units == _UNKNOWN_AGE] = _NEVER_US
        self._seen_us[indexes] = np.maximum(self._seen_us[indexes], seen_us)
        self._follow_target(own_target)
        if target == own_target:
            self._confirmed[indexes] |= entries >= _CONFIRMED_BIT

    def confirm(self, host_id: identifiers.HostId, target: int) -> None:
        """Note that `host_id` has `target` in force."""
        self._follow_target(target)
        index = self._index_by_id.get(host_id)
        if index is not None:
            self._confirmed[index] = True

    def confirms(self, host_id: identifiers.HostId, target: int) -> bool:
        """Return whether `host_id` is known to have `target` in force."""
        self._follow_target(target)
        index = self._index_by_id.get(host_id)
        return index is not None and bool(self._confirmed[index])

    def _follow_target(self, target: int) -> None:
        if target != self._confirmed_target:
            self._confirmed_target = target
            self._confirmed.fill(False)

    def _indexes_of(
        self, evidence: messages.Evidence, count: int
    ) -> np.ndarray | None:
        if evidence.tags:
            tags = np.frombuffer(evidence.tags, dtype='<u4')
            if len(tags) != count:
                return None
            found = [self._index_by_tag.get(int(tag), -1) for tag in tags]
            return np.array(found, dtype=np.int64)
        if evidence.listing != self.listing or count != len(self.ids):
            return None
        return np.arange(count)

"""Whom to probe next, and which answers are due."""

import collections.abc
import dataclasses
import datetime
import math
import random

from acaciamoor.model import identifiers

# One probe a period. A host of a small data centre sends 4 probes/s.
MAX_PROBE_PERIOD = datetime.timedelta(milliseconds=250)
# News and evidence reach half of n hosts after about ln(n) periods, which has
# to stay well within the lease of 1.5 s. So the period shrinks with ln(n):
# to 152 ms for 367 hosts.
_GOSSIP_TIME = datetime.timedelta(milliseconds=900)
# Round trips take about 2 ms; the rest is for a host that is busy.
DIRECT_TIMEOUT = datetime.timedelta(milliseconds=100)
PROBE_TIMEOUT = datetime.timedelta(milliseconds=300)
HELPERS = 3
# Every eighth time, a listed host that is not a live member is probed too, so
# that partitions heal and new hosts are found.
RECONNECT_EVERY = 8
# A helper forwards at most this many probes at a time.
MAX_FORWARDED = 8


def probe_period(hosts: int) -> datetime.timedelta:
    """Return the time between two probes of one host.

    Examples
    --------
    >>> probe_period(8) / datetime.timedelta(milliseconds=1)
    250.0
    >>> round(probe_period(367) / datetime.timedelta(milliseconds=1))
    152
    """
    if hosts < 2:
        return MAX_PROBE_PERIOD
    return min(MAX_PROBE_PERIOD, _GOSSIP_TIME / math.log(hosts))


@dataclasses.dataclass(frozen=True, slots=True)
class Forwarding:
    """For whom a helper probes."""

    host_id: identifiers.HostId
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class PendingProbe:
    """A probe whose answer is due.

    Parameters
    ----------
    sequence : int
        Number of the probe.
    target : HostId
        The probed host.
    sent_at : datetime.timedelta
        Monotonic time; the answer was made later than this.
    forwarding : Forwarding or None
        Set if this host probes as a helper.
    is_indirect : bool
        Whether helpers were asked.
    """

    sequence: int
    target: identifiers.HostId
    sent_at: datetime.timedelta
    forwarding: Forwarding | None = None
    is_indirect: bool = False


class PendingProbes:
    """Probes by sequence number."""

    def __init__(self, rng: random.Random) -> None:
        # A random start keeps answers to an earlier process apart.
        self._sequence = rng.getrandbits(31)
        self._probes_by_sequence: dict[int, PendingProbe] = {}

    def add(
        self,
        target: identifiers.HostId,
        now: datetime.timedelta,
        forwarding: Forwarding | None = None,
    ) -> PendingProbe:
        """Register a probe that is sent now."""
        self._sequence = (self._sequence + 1) & 0xFFFFFFFF
        probe = PendingProbe(self._sequence, target, now, forwarding)
        self._probes_by_sequence[probe.sequence] = probe
        return probe

    def take(
        self, sequence: int, target: identifiers.HostId
    ) -> PendingProbe | None:
        """Return and remove the probe that `target` answers, if it is due."""
        probe = self._probes_by_sequence.get(sequence)
        if probe is None or probe.target != target:
            return None
        return self._probes_by_sequence.pop(sequence)

    def take_unanswered(self, now: datetime.timedelta) -> list[PendingProbe]:
        """Return and remove the probes that failed."""
        failed = [
            probe
            for probe in self._probes_by_sequence.values()
            if now - probe.sent_at >= PROBE_TIMEOUT
        ]
        for probe in failed:
            del self._probes_by_sequence[probe.sequence]
        return failed

    def mark_late(self, now: datetime.timedelta) -> list[PendingProbe]:
        """Return the probes for which helpers are to be asked now."""
        late = [
            probe
            for probe in self._probes_by_sequence.values()
            if not probe.is_indirect
            and probe.forwarding is None
            and now - probe.sent_at >= DIRECT_TIMEOUT
        ]
        for probe in late:
            self._probes_by_sequence[probe.sequence] = dataclasses.replace(
                probe, is_indirect=True
            )
        return late

    def may_forward(self) -> bool:
        """Return whether this host helps with one more probe."""
        forwarded = [
            probe
            for probe in self._probes_by_sequence.values()
            if probe.forwarding
        ]
        return len(forwarded) < MAX_FORWARDED

    def clear(self) -> None:
        """Forget all probes."""
        self._probes_by_sequence.clear()


class TargetOrder:
    """Order of probing: every live member once in each shuffled round.

    A killed host is therefore probed by someone within a few periods, and by
    each host within one round.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._round: list[identifiers.HostId] = []
        self._count = rng.randrange(RECONNECT_EVERY)

    def next(
        self,
        live: collections.abc.Set[identifiers.HostId],
        others: collections.abc.Set[identifiers.HostId],
    ) -> list[identifiers.HostId]:
        """Return the next hosts to probe, at most two.

        Parameters
        ----------
        live : Set of HostId
            Members that are not dead.
        others : Set of HostId
            Listed hosts that are dead or not known. They are probed in
            addition, so that they do not slow the gossip of the live ones.
        """
        self._count += 1
        targets = self._next_live(live)
        if others and (not live or self._count % RECONNECT_EVERY == 0):
            targets.append(self._rng.choice(sorted(others)))
        return targets

    def _next_live(
        self, live: collections.abc.Set[identifiers.HostId]
    ) -> list[identifiers.HostId]:
        while self._round:
            host_id = self._round.pop()
            if host_id in live:
                return [host_id]
        self._round = sorted(live)
        self._rng.shuffle(self._round)
        return [self._round.pop()] if self._round else []

    def helpers(
        self,
        live: collections.abc.Set[identifiers.HostId],
        target: identifiers.HostId,
    ) -> list[identifiers.HostId]:
        """Return hosts that probe `target` on this host's behalf."""
        candidates = sorted(live - {target})
        return self._rng.sample(candidates, min(HELPERS, len(candidates)))

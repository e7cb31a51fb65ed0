"""Selection of probe targets, and bookkeeping of pending probes."""

import collections.abc
import dataclasses
import datetime
import math
import random

from acaciamoor.model import identifiers

# A host sends one probe per period: 4 probes/s in a small data centre.
MAX_PROBE_PERIOD = datetime.timedelta(milliseconds=250)
# Updates and round trips reach half of n hosts after about ln(n) periods. This
# time has to be well below the lease of 1.5 s, so the period is this constant
# divided by ln(n), for example 152 ms for 367 hosts.
_GOSSIP_TIME = datetime.timedelta(milliseconds=900)
# Time until helpers are asked. Round trips take about 2 ms; the rest is margin
# for a busy host.
DIRECT_PROBE_TIMEOUT = datetime.timedelta(milliseconds=100)
PROBE_TIMEOUT = datetime.timedelta(milliseconds=300)
HELPER_COUNT = 3
# In every eighth period, a listed host that is not a live member is probed as
# well, so that partitions heal and new hosts are discovered.
RECONNECT_EVERY = 8
# Limit of the probes that a helper has pending on behalf of other hosts.
MAX_FORWARDED = 8


def probe_period(hosts: int) -> datetime.timedelta:
    """Return the time between two probes sent by one host.

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
class AckRecipient:
    """Host to which a helper forwards an answer.

    Parameters
    ----------
    host_id : HostId
        Host that requested the probe.
    sequence : int
        Sequence number of its request.
    """

    host_id: identifiers.HostId
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class PendingProbe:
    """A probe that has not been answered.

    Parameters
    ----------
    sequence : int
        Sequence number of the probe.
    target : HostId
        Probed host.
    sent_at : datetime.timedelta
        Monotonic time of sending, a lower bound of the time of the answer.
    forward_to : AckRecipient or None
        Set if this host probes as a helper.
    helpers_asked : bool
        Whether helpers were asked to probe the target.
    """

    sequence: int
    target: identifiers.HostId
    sent_at: datetime.timedelta
    forward_to: AckRecipient | None = None
    helpers_asked: bool = False


class PendingProbes:
    """Pending probes by sequence number."""

    def __init__(self, rng: random.Random) -> None:
        # A random start prevents answers to an earlier process from matching.
        self._sequence = rng.getrandbits(31)
        self._probes_by_sequence: dict[int, PendingProbe] = {}

    def add(
        self,
        target: identifiers.HostId,
        now: datetime.timedelta,
        forward_to: AckRecipient | None = None,
    ) -> PendingProbe:
        """Register a probe that is sent at `now`."""
        self._sequence = (self._sequence + 1) & 0xFFFFFFFF
        probe = PendingProbe(self._sequence, target, now, forward_to)
        self._probes_by_sequence[probe.sequence] = probe
        return probe

    def take(
        self, sequence: int, target: identifiers.HostId
    ) -> PendingProbe | None:
        """Remove and return the probe that `target` answers, if pending."""
        probe = self._probes_by_sequence.get(sequence)
        if probe is None or probe.target != target:
            return None
        return self._probes_by_sequence.pop(sequence)

    def take_unanswered(self, now: datetime.timedelta) -> list[PendingProbe]:
        """Remove and return the probes older than `PROBE_TIMEOUT`."""
        failed = [
            probe
            for probe in self._probes_by_sequence.values()
            if now - probe.sent_at >= PROBE_TIMEOUT
        ]
        for probe in failed:
            del self._probes_by_sequence[probe.sequence]
        return failed

    def mark_overdue(self, now: datetime.timedelta) -> list[PendingProbe]:
        """Return the probes for which to ask helpers, and mark them."""
        overdue = [
            probe
            for probe in self._probes_by_sequence.values()
            if not probe.helpers_asked
            and probe.forward_to is None
            and now - probe.sent_at >= DIRECT_PROBE_TIMEOUT
        ]
        for probe in overdue:
            self._probes_by_sequence[probe.sequence] = dataclasses.replace(
                probe, helpers_asked=True
            )
        return overdue

    def can_forward(self) -> bool:
        """Return whether this host may send another probe as a helper."""
        forwarded = [
            probe
            for probe in self._probes_by_sequence.values()
            if probe.forward_to
        ]
        return len(forwarded) < MAX_FORWARDED

    def clear(self) -> None:
        """Discard all pending probes."""
        self._probes_by_sequence.clear()


class TargetSelector:
    """Selects probe targets in shuffled rounds over the live members.

    Every live member is selected once in a round. A failed host is therefore
    probed by some host within a few periods, and by each host within a round.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._round: list[identifiers.HostId] = []
        self._count = rng.randrange(RECONNECT_EVERY)

    def next_targets(
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
            Listed hosts that are dead or unknown. They are probed in addition
            to a live member, so that gossip is not slowed down.
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

    def select_helpers(
        self,
        live: collections.abc.Set[identifiers.HostId],
        target: identifiers.HostId,
    ) -> list[identifiers.HostId]:
        """Return random live members to ask for a probe of `target`."""
        candidates = sorted(live - {target})
        return self._rng.sample(candidates, min(HELPER_COUNT, len(candidates)))

"""Messages of the failure detection protocol."""

import dataclasses
import enum

from acaciamoor import configuration
from acaciamoor import model


class Phase(enum.IntEnum):
    """Life cycle phase that a host announces for itself."""

    JOINING = 0  # no complete configuration yet; takes no roles
    ACTIVE = 1
    LEAVING = 2


class Health(enum.IntEnum):
    """Health of a host; the higher value prevails in an incarnation.

    Peers suspect a host and declare it dead. A host that exits on purpose
    declares itself dead.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclasses.dataclass(frozen=True, slots=True)
class MemberUpdate:
    """State of one host, disseminated by gossip.

    Parameters
    ----------
    host_id : HostId
        The host.
    incarnation : int
        Number that only the host itself chooses and raises. Unsigned 64-bit.
    phase : Phase
        Phase that the host announced with this incarnation.
    health : Health
        Health according to the host that originated the update.
    """

    host_id: model.HostId
    incarnation: int
    phase: Phase
    health: Health


@dataclasses.dataclass(frozen=True, slots=True)
class RoundTripAges:
    """Time since each listed host last completed a round trip with any host.

    Each host takes one byte: the low 7 bits are the age in units of 16 ms,
    rounded up, where 127 means unknown; the high bit is set if the host has
    the digest's `target` in force.

    Parameters
    ----------
    host_list_hash : int
        Unsigned 64-bit hash of the sender's host list.
    entries : bytes
        One byte for each host, in the order of `host_hashes` or, if that is
        empty, in the sorted order of the host list.
    host_hashes : bytes
        Empty if the receiver has the same host list; otherwise the 32-bit
        hashes of the hosts in `entries`, little-endian. Not all listed hosts
        need to be included.
    """

    host_list_hash: int
    entries: bytes
    host_hashes: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Checks whether a host is alive.

    Parameters
    ----------
    sequence : int
        Number that the answer echoes; unsigned 32-bit.
    member : MemberUpdate
        State of the sender.
    updates : tuple of MemberUpdate
        Piggybacked updates, at most a bounded number.
    digest : ConfigurationDigest or None
        Digest of the sender's configuration.
    host_list_hash : int
        Hash of the sender's host list.
    page_after : HostId or None
        Requests the page of the full member list that follows this host; the
        empty string requests the first page.
    """

    sequence: int
    member: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()
    digest: configuration.ConfigurationDigest | None = None
    host_list_hash: int = 0
    page_after: model.HostId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAck:
    """Answers a probe.

    Parameters
    ----------
    sequence : int
        Sequence number of the probe.
    member : MemberUpdate
        State of the probed host, also if a helper forwards the answer.
    updates : tuple of MemberUpdate
        Piggybacked updates. They include the receiver's own state if the
        sender does not consider the receiver alive.
    digest : ConfigurationDigest or None
        Digest of the probed host's configuration; None in a forwarded answer.
    round_trip_ages : RoundTripAges or None
        Round trips known to the probed host; None in a forwarded answer.
    page : tuple of MemberUpdate
        Page of the full member list that the probe requested.
    page_end : HostId or None
        Last host of the page, or the empty string for the last page; None
        without a page.
    """

    sequence: int
    member: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()
    digest: configuration.ConfigurationDigest | None = None
    round_trip_ages: RoundTripAges | None = None
    page: tuple[MemberUpdate, ...] = ()
    page_end: model.HostId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Asks a helper to probe `target` and to forward the answer.

    Parameters
    ----------
    sequence : int
        Number that the forwarded answer echoes.
    member : MemberUpdate
        State of the sender.
    target : HostId
        Host that did not answer the sender's direct probe.
    updates : tuple of MemberUpdate
        Piggybacked updates, at most a bounded number.
    """

    sequence: int
    member: MemberUpdate
    target: model.HostId
    updates: tuple[MemberUpdate, ...] = ()


Message = Probe | ProbeAck | IndirectProbe

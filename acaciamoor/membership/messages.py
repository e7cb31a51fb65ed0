"""Messages of failure detection."""

import dataclasses
import enum

from acaciamoor import configuration
from acaciamoor import model


class Phase(enum.IntEnum):
    """What a host says about itself."""

    JOINING = 0  # has no complete configuration yet, takes no roles
    ACTIVE = 1
    LEAVING = 2


class Health(enum.IntEnum):
    """What others say about a host; a later value wins within an incarnation.

    A host that exits on purpose calls itself dead.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclasses.dataclass(frozen=True, slots=True)
class MemberUpdate:
    """News of one host.

    Parameters
    ----------
    host_id : HostId
        The host.
    incarnation : int
        Chosen and raised only by the host itself. Unsigned 64-bit.
    phase : Phase
        As the host announced with this incarnation.
    health : Health
        Judgement of the host that raised the update.
    """

    host_id: model.HostId
    incarnation: int
    phase: Phase
    health: Health


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """How long ago each listed host completed a round trip with anyone.

    One byte for each host: the low 7 bits are the age in units of 16 ms,
    rounded up, where 127 means unknown; the high bit tells that the host has
    the digest's `target` in force.

    Parameters
    ----------
    listing : int
        Unsigned 64-bit hash of the sender's host list.
    entries : bytes
        One byte for each host, in sorted order of the list; with `tags`, in
        the order of the tags.
    tags : bytes
        Empty if the receiver has the same list; otherwise the 32-bit hash of
        each host, little-endian, of some of the hosts.
    """

    listing: int
    entries: bytes
    tags: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Asks a host to answer.

    Parameters
    ----------
    sequence : int
        Number that the answer repeats; unsigned 32-bit.
    member : MemberUpdate
        The sender.
    updates : tuple of MemberUpdate
        News, a bounded number.
    digest : ConfigurationDigest or None
        The sender's configuration.
    listing : int
        Hash of the sender's host list.
    state_after : HostId or None
        Asks for a page of the full state after this host; the empty string
        asks for the first page.
    """

    sequence: int
    member: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()
    digest: configuration.ConfigurationDigest | None = None
    listing: int = 0
    state_after: model.HostId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAck:
    """Answers a probe.

    Parameters
    ----------
    sequence : int
        Of the probe.
    member : MemberUpdate
        The host that was probed (not a helper that forwards the answer).
    updates : tuple of MemberUpdate
        News; includes the judgement of the receiver if it is not alive.
    digest : ConfigurationDigest or None
        The probed host's configuration; None in a forwarded answer.
    evidence : Evidence or None
        Round trips that the probed host knows of; None in a forwarded answer.
    page : tuple of MemberUpdate
        The page of the full state that the probe asked for.
    page_end : HostId or None
        Last host of the page, or the empty string if no host follows; None
        without a page.
    """

    sequence: int
    member: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()
    digest: configuration.ConfigurationDigest | None = None
    evidence: Evidence | None = None
    page: tuple[MemberUpdate, ...] = ()
    page_end: model.HostId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Asks a helper to probe `target` and to forward the answer.

    Parameters
    ----------
    sequence : int
        Number that the forwarded answer repeats.
    member : MemberUpdate
        The sender.
    target : HostId
        The host that did not answer the sender.
    updates : tuple of MemberUpdate
        News, a bounded number.
    """

    sequence: int
    member: MemberUpdate
    target: model.HostId
    updates: tuple[MemberUpdate, ...] = ()


Message = Probe | ProbeAck | IndirectProbe

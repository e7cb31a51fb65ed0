"""Packets of open flows that arrived before the list of upstreams."""

import collections
import datetime

import msgspec

from acaciamoor.forwarder import packet as packets


class HeldPacket(msgspec.Struct, frozen=True):
    """Packet that waits for the list of upstreams.

    Parameters
    ----------
    data : bytes
        Packet as received.
    packet : Packet
        Its header.
    received_at : datetime.timedelta
        Time at which it was handled first.
    """

    data: bytes
    packet: packets.Packet
    received_at: datetime.timedelta


class HeldPackets:
    """Packets to forward once the host knows its upstreams.

    A host that has just started receives packets of open flows before it has
    lists. If it dropped them, callers would retransmit them after up to 1.6 s,
    since their intervals have doubled while no host was up. Of several copies
    of a packet only the latest is held.

    Parameters
    ----------
    limit : int
        Maximum number of packets; the oldest one is evicted first. At the
        maximum they take about 1 MB.
    """

    def __init__(self, limit: int = 512) -> None:
        self._limit = limit
        self._held_by_position: collections.OrderedDict[tuple, HeldPacket] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._held_by_position)

    @property
    def oldest(self) -> HeldPacket | None:
        """Packet that has been held for longest, or None."""
        return next(iter(self._held_by_position.values()), None)

    def put(
        self, data: bytes, packet: packets.Packet, now: datetime.timedelta
    ) -> None:
        """Hold a packet."""
        position = (packet.key, packet.sequence, packet.length)
        self._held_by_position.pop(position, None)
        self._held_by_position[position] = HeldPacket(data, packet, now)
        if len(self._held_by_position) > self._limit:
            self._held_by_position.popitem(last=False)

    def take_all(self) -> list[HeldPacket]:
        """Remove and return all packets, the oldest first."""
        found = list(self._held_by_position.values())
        self._held_by_position.clear()
        return found

    def take_older_than(self, instant: datetime.timedelta) -> list[HeldPacket]:
        """Remove and return the packets received at `instant` or before."""
        found = []
        while self.oldest is not None and self.oldest.received_at <= instant:
            found.append(self._held_by_position.popitem(last=False)[1])
        return found

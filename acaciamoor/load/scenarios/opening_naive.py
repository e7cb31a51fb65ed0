"""Baseline for new flows: decisions by the time at which a packet is read.

The host does not consider how long packets have waited in its socket, drops
what it cannot place, and never refuses a service without upstreams.
"""

import datetime

from acaciamoor import forwarder
from acaciamoor import openings
from acaciamoor.forwarder import effects
from acaciamoor.forwarder import packet as packets
from acaciamoor.forwarder.shell import driver as drivers


class NaiveCore(forwarder.ForwarderCore):
    """Takes every copy of an opening packet for the silence of an upstream."""

    def _handle_opening(
        self,
        data: bytes,
        packet: packets.Packet,
        now: datetime.timedelta,
        backlog: datetime.timedelta,
    ) -> effects.Decision:
        opening = self._pending.pop(packet.key)
        if opening is None:
            opening = openings.Opening(packet.key, data, now)
        elif opening.tried_ids:
            self._record_timeout(opening, now)
        return self._place(opening, now)

    def _wait(
        self,
        opening: openings.Opening,
        now: datetime.timedelta,
        decision: effects.Wait,
    ) -> effects.Drop:
        self._pending.pop(opening.key)
        return effects.Drop(effects.DropReason.NO_UPSTREAM)

    def _handle_empty_service(
        self, opening: openings.Opening, now: datetime.timedelta
    ) -> effects.Drop:
        return self._wait(opening, now, None)

    def _handle_established(
        self, data: bytes, packet: packets.Packet, now: datetime.timedelta
    ) -> effects.Decision:
        if not self._directory.complete:
            return effects.Drop(effects.DropReason.UNKNOWN_TOKEN)
        return super()._handle_established(data, packet, now)


class NaiveDriver(drivers.Driver):
    """Retries openings without reading the packets that wait."""

    def _retry(self) -> None:
        self._retry_timer = None
        now, _ = self._check_for_pause()
        for decision in self._core.retry_openings(now):
            self._execute(decision, None)
        self._record_observations()
        self._arm_retry_timer(now, datetime.timedelta(0))

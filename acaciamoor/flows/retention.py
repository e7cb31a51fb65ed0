"""Agreement of the balancers that a view may be dropped."""

import dataclasses
import datetime

from acaciamoor.flows import handover
from acaciamoor.flows import messages
from acaciamoor.flows import service as service_flows
from acaciamoor.flows import settings
from acaciamoor.model import identifiers
from acaciamoor.views import history as histories
from acaciamoor.views import view as service_views

# Least interval between two announcements of a host.
_NEEDS_INTERVAL = datetime.timedelta(seconds=5)
# Announcements go to all live hosts; in a large data centre they are rarer,
# so that the messages sent by one host stay below 20 a second.
_NEEDS_INTERVAL_PER_PEER = datetime.timedelta(milliseconds=50)
_RESCAN_INTERVAL = datetime.timedelta(seconds=5)


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerNeeds:
    received: datetime.timedelta
    versions_by_service: dict[identifiers.ServiceId, service_views.ViewVersion]


@dataclasses.dataclass(slots=True)
class _NeedScan:
    """Position of the scan for records that need old views.

    Parameters
    ----------
    start : int
        Next slot of the record table.
    unneeded : int
        Number of oldest views that no record visited so far needs.
    based_on : tuple of int
        Epoch of the views and generation of the table; the scan starts again
        if either changes.
    not_before : datetime.timedelta
        When the next scan may start.
    """

    start: int = 0
    unneeded: int = 0
    based_on: tuple[int, int] = (-1, -1)
    not_before: datetime.timedelta = datetime.timedelta.min


class ViewKeeper:
    """Finds out which views of a service no owner needs any more.

    A view is dropped when its retention is over, no record here needs it, and
    every live host has said so after that time. A host that goes on using
    the view for longer is safe: it only asks the owners more often.
    """

    def __init__(self) -> None:
        self._needs_by_peer: dict[identifiers.HostId, _PeerNeeds] = {}
        self._scans_by_service: dict[identifiers.ServiceId, _NeedScan] = {}
        self._announced = datetime.timedelta.min

    def receive(
        self,
        sender: identifiers.HostId,
        message: messages.ViewNeeds,
        now: datetime.timedelta,
    ) -> None:
        """Take in what a peer needs."""
        self._needs_by_peer[sender] = _PeerNeeds(
            now, {need.service_id: need.version for need in message.needs}
        )

    def forget(self, service_id: identifiers.ServiceId) -> None:
        """Forget a service."""
        self._scans_by_service.pop(service_id, None)

    def step(
        self,
        service_id: identifiers.ServiceId,
        flows: service_flows.ServiceFlows,
        now: datetime.timedelta,
        peers: tuple[identifiers.HostId, ...],
    ) -> None:
        """Advance the scan of a service and drop the views that are due."""
        past = _past_retention(flows, now)
        if not past:
            return
        if flows.unneeded < past:
            self._scan(service_id, flows, now, past)
        count = self._droppable(service_id, flows, peers)
        if count:
            flows.drop_oldest(count, now)

    def announcement(
        self,
        flows_by_service: dict[
            identifiers.ServiceId, service_flows.ServiceFlows
        ],
        now: datetime.timedelta,
        peers: int,
    ) -> messages.ViewNeeds | None:
        """Return what this host needs, or None if it is not due."""
        interval = max(_NEEDS_INTERVAL, peers * _NEEDS_INTERVAL_PER_PEER)
        if not peers or now < self._announced + interval:
            return None
        self._announced = now
        return messages.ViewNeeds(
            tuple(
                messages.ViewNeed(service_id, _oldest_needed(flows))
                for service_id, flows in flows_by_service.items()
                if len(flows.history) > 1
            )
        )

    def _droppable(
        self,
        service_id: identifiers.ServiceId,
        flows: service_flows.ServiceFlows,
        peers: tuple[identifiers.HostId, ...],
    ) -> int:
        """Return how many of the oldest views nobody needs."""
        entries = flows.history.entries
        count = flows.unneeded
        for host_id in peers:
            known = self._needs_by_peer.get(host_id)
            if known is None:
                return 0
            version = known.versions_by_service.get(service_id)
            while count and (
                known.received < flows.history.retention_end(count - 1)
                or (
                    version is not None
                    and version < entries[count].view.version
                )
            ):
                count -= 1
        return count

    def _scan(
        self,
        service_id: identifiers.ServiceId,
        flows: service_flows.ServiceFlows,
        now: datetime.timedelta,
        past: int,
    ) -> None:
        """Visit one part of the table.

        Pinned records do not need a view, because every host has them.
        """
        scan = self._scans_by_service.setdefault(service_id, _NeedScan())
        based_on = (flows.epoch, flows.records.generation)
        if scan.based_on != based_on:
            scan.start, scan.not_before = 0, now
            scan.based_on = based_on
        if now < scan.not_before:
            return
        if scan.start == 0:
            scan.unneeded = past
        second = int(now.total_seconds())
        keys, indexes, expiries, following = flows.records.chunk(
            scan.start, handover.SCAN_SLOTS
        )
        counted = (expiries >= second) & (
            expiries <= second + settings.PINNED_LIFE
        )
        keys, indexes = keys[counted], indexes[counted]
        while (
            scan.unneeded
            and flows.contradicted(scan.unneeded, keys, indexes).any()
        ):
            scan.unneeded -= 1
        if following is not None and scan.unneeded:
            scan.start = following
            return
        scan.start, scan.not_before = 0, now + _RESCAN_INTERVAL
        flows.unneeded, flows.scanned = scan.unneeded, True


def _past_retention(
    flows: service_flows.ServiceFlows, now: datetime.timedelta
) -> int:
    """Return the number of views that are past their retention."""
    count = 0
    while flows.history.is_past_retention(count, now):
        count += 1
    return count


def excess_views(
    flows: service_flows.ServiceFlows, now: datetime.timedelta
) -> int:
    """Return how many views over the limit a scan found to be needed."""
    excess = len(flows.history) - histories.VIEW_LIMIT
    if not flows.scanned or excess <= flows.unneeded:
        return 0
    return max(0, min(excess, _past_retention(flows, now)))


def _oldest_needed(
    flows: service_flows.ServiceFlows,
) -> service_views.ViewVersion:
    return flows.history.entries[flows.unneeded].view.version

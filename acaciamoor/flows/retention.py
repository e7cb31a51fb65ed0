"""Distributed garbage collection of the retained views of services."""

import dataclasses
import datetime

from acaciamoor.flows import handover
from acaciamoor.flows import messages
from acaciamoor.flows import service as service_flows
from acaciamoor.flows import settings
from acaciamoor.model import identifiers
from acaciamoor.views import history as histories
from acaciamoor.views import view as service_views

# Minimum interval between two announcements of a host.
_ANNOUNCEMENT_INTERVAL = datetime.timedelta(seconds=5)
# Announcements go to all live hosts. The interval grows with their number, so
# that a host sends no more than 20 messages per second.
_ANNOUNCEMENT_INTERVAL_PER_PEER = datetime.timedelta(milliseconds=50)
_RESCAN_INTERVAL = datetime.timedelta(seconds=5)


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerNeeds:
    received_at: datetime.timedelta
    versions_by_service: dict[identifiers.ServiceId, service_views.ViewVersion]


@dataclasses.dataclass(slots=True)
class _ViewNeedScan:
    """Progress of the scan for records that need old views.

    Parameters
    ----------
    start : int
        Next slot of the record table.
    unneeded_views : int
        Number of the oldest views that no record scanned so far needs.
    based_on : tuple of int
        Epoch of the views and generation of the record table; the scan is
        restarted if either changes.
    not_before : datetime.timedelta
        Earliest time at which the scan may continue or restart.
    """

    start: int = 0
    unneeded_views: int = 0
    based_on: tuple[int, int] = (-1, -1)
    not_before: datetime.timedelta = datetime.timedelta.min


class ViewGarbageCollector:
    """Drops the views of services that no host needs any more.

    A view is dropped once its retention has ended, no local record needs it,
    and every live host has announced after that end that it does not need the
    view. A host that keeps the view for longer still routes correctly: it
    only queries the owners more often.
    """

    def __init__(self) -> None:
        self._needs_by_peer: dict[identifiers.HostId, _PeerNeeds] = {}
        self._scans_by_service: dict[identifiers.ServiceId, _ViewNeedScan] = {}
        self._last_announcement = datetime.timedelta.min

    def receive(
        self,
        sender: identifiers.HostId,
        message: messages.ViewNeeds,
        now: datetime.timedelta,
    ) -> None:
        """Replace the known view needs of a peer."""
        self._needs_by_peer[sender] = _PeerNeeds(
            now, {need.service_id: need.version for need in message.needs}
        )

    def remove_service(self, service_id: identifiers.ServiceId) -> None:
        """Discard the scan of a deleted service."""
        self._scans_by_service.pop(service_id, None)

    def collect(
        self,
        service_id: identifiers.ServiceId,
        flows: service_flows.ServiceFlows,
        now: datetime.timedelta,
        peers: tuple[identifiers.HostId, ...],
    ) -> None:
        """Advance the scan of a service and drop its unneeded views."""
        past_retention = _count_past_retention(flows, now)
        if not past_retention:
            return
        if flows.unneeded_views < past_retention:
            self._scan_records(service_id, flows, now, past_retention)
        count = self._count_droppable(service_id, flows, peers)
        if count:
            flows.drop_oldest(count, now)

    def due_announcement(
        self,
        flows_by_service: dict[
            identifiers.ServiceId, service_flows.ServiceFlows
        ],
        now: datetime.timedelta,
        peer_count: int,
    ) -> messages.ViewNeeds | None:
        """Return the view needs of this host, or None before they are due."""
        interval = max(
            _ANNOUNCEMENT_INTERVAL,
            peer_count * _ANNOUNCEMENT_INTERVAL_PER_PEER,
        )
        if not peer_count or now < self._last_announcement + interval:
            return None
        self._last_announcement = now
        return messages.ViewNeeds(
            tuple(
                messages.ViewNeed(service_id, _oldest_needed_version(flows))
                for service_id, flows in flows_by_service.items()
                if len(flows.history) > 1
            )
        )

    def _count_droppable(
        self,
        service_id: identifiers.ServiceId,
        flows: service_flows.ServiceFlows,
        peers: tuple[identifiers.HostId, ...],
    ) -> int:
        """Return how many of the oldest views no host needs."""
        entries = flows.history.entries
        count = flows.unneeded_views
        for host_id in peers:
            known = self._needs_by_peer.get(host_id)
            if known is None:
                return 0
            version = known.versions_by_service.get(service_id)
            while count and (
                known.received_at < flows.history.retention_end(count - 1)
                or (
                    version is not None
                    and version < entries[count].view.version
                )
            ):
                count -= 1
        return count

    def _scan_records(
        self,
        service_id: identifiers.ServiceId,
        flows: service_flows.ServiceFlows,
        now: datetime.timedelta,
        past_retention: int,
    ) -> None:
        """Scan the next slots of the record table.

        Pinned records do not need a view, because every host has them.
        """
        scan = self._scans_by_service.setdefault(service_id, _ViewNeedScan())
        based_on = (flows.epoch, flows.records.generation)
        if scan.based_on != based_on:
            scan.start, scan.not_before = 0, now
            scan.based_on = based_on
        if now < scan.not_before:
            return
        if scan.start == 0:
            scan.unneeded_views = past_retention
        second = int(now.total_seconds())
        flow_ids, indexes, expiries, next_start = flows.records.read_chunk(
            scan.start, handover.SCAN_SLOTS
        )
        is_unpinned = (expiries >= second) & (
            expiries <= second + settings.PINNED_THRESHOLD_SECONDS
        )
        flow_ids, indexes = flow_ids[is_unpinned], indexes[is_unpinned]
        while (
            scan.unneeded_views
            and flows.records_needing_oldest(
                scan.unneeded_views, flow_ids, indexes
            ).any()
        ):
            scan.unneeded_views -= 1
        if next_start is not None and scan.unneeded_views:
            scan.start = next_start
            return
        scan.start, scan.not_before = 0, now + _RESCAN_INTERVAL
        flows.unneeded_views, flows.scan_completed = scan.unneeded_views, True


def _count_past_retention(
    flows: service_flows.ServiceFlows, now: datetime.timedelta
) -> int:
    """Return the number of views that are past their retention."""
    count = 0
    while flows.history.is_past_retention(count, now):
        count += 1
    return count


def count_excess_views(
    flows: service_flows.ServiceFlows, now: datetime.timedelta
) -> int:
    """Return how many views over the limit are still needed by records.

    The count is 0 until a scan has been completed.
    """
    excess = len(flows.history) - histories.VIEW_LIMIT
    if not flows.scan_completed or excess <= flows.unneeded_views:
        return 0
    return max(0, min(excess, _count_past_retention(flows, now)))


def _oldest_needed_version(
    flows: service_flows.ServiceFlows,
) -> service_views.ViewVersion:
    return flows.history.entries[flows.unneeded_views].view.version

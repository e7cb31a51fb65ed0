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
_RESCAN_INTERVAL = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerNeeds:
    received: datetime.timedelta
    versions_by_service: dict[identifiers.ServiceId, service_views.ViewVersion]


@dataclasses.dataclass(slots=True)
class _NeedScan:
    """Position of the scan for records that need the oldest view."""

    start: int = 0
    generation: int = -1
    not_before: datetime.timedelta = datetime.timedelta.min


class ViewKeeper:
    """Finds out when no owner needs the oldest view of a service any more.

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
        """Advance the scan of a service and drop its oldest view if due."""
        if len(flows.history) < 2 or not flows.history.is_past_retention(
            0, now
        ):
            return
        if not flows.clear_of_oldest:
            self._scan(service_id, flows, now)
        if flows.clear_of_oldest and self._peers_agree(
            service_id, flows, peers
        ):
            flows.drop_oldest(now)

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
                messages.ViewNeed(service_id, _oldest_needed(flows, now))
                for service_id, flows in flows_by_service.items()
                if len(flows.history) > 1
            )
        )

    def _peers_agree(
        self,
        service_id: identifiers.ServiceId,
        flows: service_flows.ServiceFlows,
        peers: tuple[identifiers.HostId, ...],
    ) -> bool:
        oldest = flows.history.entries[0].view.version
        since = flows.history.retention_end(0)
        for host_id in peers:
            known = self._needs_by_peer.get(host_id)
            if known is None or known.received < since:
                return False
            version = known.versions_by_service.get(service_id)
            if version is not None and version <= oldest:
                return False
        return True

    def _scan(
        self,
        service_id: identifiers.ServiceId,
        flows: service_flows.ServiceFlows,
        now: datetime.timedelta,
    ) -> None:
        """Visit one part of the table.

        Pinned records do not need a view, because every host has them.
        """
        scan = self._scans_by_service.setdefault(service_id, _NeedScan())
        if now < scan.not_before:
            return
        if scan.generation != flows.records.generation:
            scan.start, scan.generation = 0, flows.records.generation
        second = int(now.total_seconds())
        keys, indexes, expiries, following = flows.records.chunk(
            scan.start, handover.SCAN_SLOTS
        )
        counted = (expiries >= second) & (
            expiries <= second + settings.RECORD_TTL
        )
        if (flows.needs_oldest(keys, indexes) & counted).any():
            scan.start, scan.not_before = 0, now + _RESCAN_INTERVAL
        elif following is not None:
            scan.start = following
        else:
            scan.start = 0
            flows.clear_of_oldest = True


def _oldest_needed(
    flows: service_flows.ServiceFlows, now: datetime.timedelta
) -> service_views.ViewVersion:
    entries = flows.history.entries
    if flows.clear_of_oldest and flows.history.is_past_retention(0, now):
        return entries[1].view.version
    return entries[0].view.version


def is_over_limit(flows: service_flows.ServiceFlows) -> bool:
    """Return whether a service has more views than it may retain."""
    return len(flows.history) > histories.VIEW_LIMIT

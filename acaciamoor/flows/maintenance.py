"""Periodic maintenance: record expiry, handover and removal of old views."""

import datetime

from acaciamoor.flows import handover
from acaciamoor.flows import messages
from acaciamoor.flows import owners as owner_tables
from acaciamoor.flows import retention
from acaciamoor.flows import service as service_flows
from acaciamoor.flows import settings as router_settings
from acaciamoor.model import identifiers
from acaciamoor.views import history as histories

FlowsByService = dict[identifiers.ServiceId, service_flows.ServiceFlows]

# Time for one expiry sweep over the whole record table.
_SWEEP_SECONDS = 20.0
# Slots swept in one tick, which takes about 0.5 ms.
_MAX_SWEPT_SLOTS = 8192
_BYTES_PER_SLOT = 14


class FlowMaintenance:
    """Maintenance tasks of a flow router that run on its ticks.

    Parameters
    ----------
    host_id : HostId
        This balancer.
    settings : RouterSettings
        Limits of the router.
    """

    def __init__(
        self,
        host_id: identifiers.HostId,
        settings: router_settings.RouterSettings,
    ) -> None:
        self.view_collector = retention.ViewGarbageCollector()
        self._host_id = host_id
        self._record_sender = handover.RecordSender(
            settings.control_bytes_per_second
        )
        self._services_being_pinned: set[identifiers.ServiceId] = set()
        self._last_tick: datetime.timedelta | None = None
        self._owners_before_handover: owner_tables.OwnerTable | None = None

    @property
    def has_pending_records(self) -> bool:
        """Whether records are waiting to be sent."""
        return self._record_sender.has_pending

    def remove_service(self, service_id: identifiers.ServiceId) -> None:
        """Discard the maintenance state of a deleted service."""
        self.view_collector.remove_service(service_id)
        self._services_being_pinned.discard(service_id)

    def start_handover(
        self,
        before: owner_tables.OwnerTable,
        after: owner_tables.OwnerTable,
        flows_by_service: FlowsByService,
        now: int,
    ) -> None:
        """Start to send records to the owners that lack them.

        A handover in progress is cancelled. The new one then starts from the
        owners before the cancelled handover.
        """
        if (
            not self._record_sender.has_pending
            or self._owners_before_handover is None
        ):
            self._owners_before_handover = before
        before = self._owners_before_handover
        self._record_sender.cancel_unpinned()
        refreshed = now + router_settings.RECORD_TTL_SECONDS
        joined = set(after.hosts) - set(before.hosts) - {self._host_id}
        for service_id, flows in flows_by_service.items():
            if not len(flows.records):
                continue
            selector = handover.new_owner_selector(
                self._host_id, before, after, refreshed
            )
            self._record_sender.queue_scan(
                handover.RecordScan(service_id, flows, selector)
            )
            if joined:
                pinned = handover.pinned_record_selector(joined, now)
                self._record_sender.queue_scan(
                    handover.RecordScan(service_id, flows, pinned, pinned=True)
                )

    def tick(
        self,
        flows_by_service: FlowsByService,
        now: datetime.timedelta,
        peers: tuple[identifiers.HostId, ...],
    ) -> list[messages.Message]:
        """Run the maintenance due at `now` and return messages to send."""
        elapsed = self._seconds_since_last_tick(now)
        second = int(now.total_seconds())
        for service_id, flows in flows_by_service.items():
            if len(flows.history) > 1:
                flows.update_tables(now)
                flows.drop_coalesced(histories.VIEW_LIMIT, now)
                if service_id not in self._services_being_pinned:
                    self.view_collector.collect(service_id, flows, now, peers)
                    self._pin_records_of_excess_views(
                        service_id, flows, now, peers
                    )
            if len(flows.records):
                _sweep_expired(flows, second, elapsed)
        due: list[messages.Message] = []
        needs = self.view_collector.due_announcement(
            flows_by_service, now, len(peers)
        )
        if needs is not None:
            self._record_sender.consume(needs.encoded_bytes * len(peers))
            due.append(needs)
        due.extend(self._record_sender.take_due_messages(elapsed))
        return due

    def _seconds_since_last_tick(self, now: datetime.timedelta) -> float:
        previous, self._last_tick = self._last_tick, now
        if previous is None:
            return 0.0
        return (now - previous).total_seconds()

    def _pin_records_of_excess_views(
        self,
        service_id: identifiers.ServiceId,
        flows: service_flows.ServiceFlows,
        now: datetime.timedelta,
        peers: tuple[identifiers.HostId, ...],
    ) -> None:
        """Pin the records that need views over the limit on all hosts.

        The views can be dropped once every host has these records.
        """
        excess = retention.count_excess_views(flows, now)
        if not excess:
            return

        def finish_pinning() -> None:
            self._services_being_pinned.discard(service_id)
            flows.scan_completed = False

        self._services_being_pinned.add(service_id)
        selector = handover.view_pinning_selector(
            flows, excess, peers, int(now.total_seconds())
        )
        self._record_sender.queue_scan(
            handover.RecordScan(
                service_id,
                flows,
                selector,
                pinned=True,
                on_complete=finish_pinning,
            )
        )


def _sweep_expired(
    flows: service_flows.ServiceFlows, now: int, elapsed: float
) -> None:
    slots = int(
        flows.records.nbytes / _BYTES_PER_SLOT * elapsed / _SWEEP_SECONDS
    )
    flows.records.sweep(now, min(slots + 1, _MAX_SWEPT_SLOTS))


def store_received_records(
    flows: service_flows.ServiceFlows,
    message: messages.PutRecords,
    now: int,
) -> None:
    """Store records that a peer sent, unless a different one exists.

    An existing record is replaced only if its upstream is lost. Records of an
    unknown upstream are ignored: the sender has a newer view and still holds
    them.
    """
    index = flows.index_of(message.upstream_id)
    if index is None:
        return
    ttl = (
        router_settings.PINNED_TTL_SECONDS
        if message.pinned
        else router_settings.RECORD_TTL_SECONDS
    )
    for flow in message.flows:
        known = flows.records.get(flow, now)
        if known is None or known == index or flows.is_lost(known):
            expires = max(now + ttl, flows.records.expiry(flow) or 0)
            flows.store_record(flow, index, expires)

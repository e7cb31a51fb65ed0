"""Periodic work of the flow router: expiry, hand-over and old views."""

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

# Time in which the expiry visits the whole table once.
_SWEEP_SECONDS = 20.0
# Slots visited in one tick; about 0.5 ms.
_MAX_SWEPT_SLOTS = 8192
_BYTES_PER_SLOT = 14


class Upkeep:
    """Work that is not caused by a packet.

    Parameters
    ----------
    host_id : HostId
        This balancer.
    settings : RouterSettings
        Limits.
    """

    def __init__(
        self,
        host_id: identifiers.HostId,
        settings: router_settings.RouterSettings,
    ) -> None:
        self.keeper = retention.ViewKeeper()
        self._host_id = host_id
        self._sender = handover.RecordSender(settings.control_bytes_per_second)
        self._pinning: set[identifiers.ServiceId] = set()
        self._ticked: datetime.timedelta | None = None
        self._handed_over: owner_tables.OwnerTable | None = None

    @property
    def busy(self) -> bool:
        """Whether records wait to be sent."""
        return self._sender.busy

    def forget(self, service_id: identifiers.ServiceId) -> None:
        """Forget a service."""
        self.keeper.forget(service_id)
        self._pinning.discard(service_id)

    def change_owners(
        self,
        before: owner_tables.OwnerTable,
        after: owner_tables.OwnerTable,
        flows_by_service: FlowsByService,
        now: int,
    ) -> None:
        """Start to send records to the owners that lack them.

        An unfinished hand-over starts again from the owners before it.
        """
        if not self._sender.busy or self._handed_over is None:
            self._handed_over = before
        before = self._handed_over
        self._sender.cancel_unpinned()
        refreshed = now + router_settings.RECORD_TTL
        joined = set(after.hosts) - set(before.hosts) - {self._host_id}
        for service_id, flows in flows_by_service.items():
            if not len(flows.records):
                continue
            chooser = handover.new_owner_chooser(
                self._host_id, before, after, refreshed
            )
            self._sender.add(handover.Scan(service_id, flows, chooser))
            if joined:
                pinned = handover.pinned_chooser(joined, now)
                self._sender.add(
                    handover.Scan(service_id, flows, pinned, pinned=True)
                )

    def tick(
        self,
        flows_by_service: FlowsByService,
        now: datetime.timedelta,
        peers: tuple[identifiers.HostId, ...],
    ) -> list[messages.Message]:
        """Return the messages that are due at `now`."""
        elapsed = self._elapsed(now)
        second = int(now.total_seconds())
        for service_id, flows in flows_by_service.items():
            if len(flows.history) > 1:
                flows.advance(now)
                flows.drop_merged(histories.VIEW_LIMIT, now)
                if service_id not in self._pinning:
                    self.keeper.step(service_id, flows, now, peers)
                    self._limit_views(service_id, flows, now, peers)
            if len(flows.records):
                _sweep(flows, second, elapsed)
        due: list[messages.Message] = []
        needs = self.keeper.announcement(flows_by_service, now, len(peers))
        if needs is not None:
            self._sender.spend(needs.encoded_bytes * len(peers))
            due.append(needs)
        due.extend(self._sender.send(elapsed))
        return due

    def _elapsed(self, now: datetime.timedelta) -> float:
        previous, self._ticked = self._ticked, now
        if previous is None:
            return 0.0
        return (now - previous).total_seconds()

    def _limit_views(
        self,
        service_id: identifiers.ServiceId,
        flows: service_flows.ServiceFlows,
        now: datetime.timedelta,
        peers: tuple[identifiers.HostId, ...],
    ) -> None:
        """Send the records that need a view over the limit to all hosts.

        That makes the view unnecessary.
        """
        excess = retention.excess_views(flows, now)
        if not excess:
            return

        def done() -> None:
            self._pinning.discard(service_id)
            flows.scanned = False

        self._pinning.add(service_id)
        chooser = handover.pin_chooser(
            flows, excess, peers, int(now.total_seconds())
        )
        self._sender.add(
            handover.Scan(service_id, flows, chooser, pinned=True, done=done)
        )


def _sweep(
    flows: service_flows.ServiceFlows, now: int, elapsed: float
) -> None:
    slots = int(
        flows.records.nbytes / _BYTES_PER_SLOT * elapsed / _SWEEP_SECONDS
    )
    flows.records.sweep(now, min(slots + 1, _MAX_SWEPT_SLOTS))


def store_records(
    flows: service_flows.ServiceFlows,
    message: messages.PutRecords,
    now: int,
) -> None:
    """Store records that a peer sent; a known record wins.

    Records of an upstream that is unknown here are left out: the sender has
    a newer view and still holds them.
    """
    index = flows.index_of(message.upstream_id)
    if index is None:
        return
    life = (
        router_settings.PINNED_TTL
        if message.pinned
        else router_settings.RECORD_TTL
    )
    for flow in message.flows:
        known = flows.records.get(flow, now)
        if known is None or known == index or flows.is_lost(known):
            expires = max(now + life, flows.records.expiry(flow) or 0)
            flows.store(flow, index, expires)

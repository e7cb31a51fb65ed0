"""Routing of flow packets, directly or by way of peer balancers.

References
----------
.. [1] V. Olteanu et al., "Stateless Datacenter Load-balancing with Beamer",
   NSDI 2018 (packets are forwarded by way of the former owner of their
   bucket).
.. [2] R. van Renesse and F. Schneider, "Chain Replication for Supporting
   High Throughput and Availability", OSDI 2004 (the record is stored on
   every owner before the first packet is forwarded to the upstream).
"""

import collections.abc
import datetime

from acaciamoor import clock as clocks
from acaciamoor.flows import chain
from acaciamoor.flows import maintenance
from acaciamoor.flows import messages
from acaciamoor.flows import service as service_flows
from acaciamoor.flows import settings as router_settings
from acaciamoor.model import identifiers
from acaciamoor.model import members as membership
from acaciamoor.views import buckets
from acaciamoor.views import view as service_views
from acaciamoor.wire import envelope as envelopes

# Time without a quorum after which a host routes by the views it has, so that
# a partitioned data centre serves what it can.
NO_QUORUM_SERVE_DELAY = datetime.timedelta(seconds=30)

_UNKNOWN_SERVICE = messages.Refuse(messages.RefusalReason.UNKNOWN_SERVICE)


class FlowRouter:
    """Selects the next hop of flow packets.

    `tick` must be called at least once per second. To keep clock calls out of
    `route`, the router reads the clock only in `tick` and in the calls that
    deliver views, members or messages.

    Parameters
    ----------
    host_id : HostId
        This balancer.
    clock : Clock
        Source of monotonic time.
    settings : RouterSettings or None
        Limits; None selects the defaults.

    Examples
    --------
    >>> import datetime
    >>> from acaciamoor.model.tests import builders
    >>> router = FlowRouter(identifiers.HostId('a'), clocks.ManualClock())
    >>> router.set_members(membership.MembershipView(1, live=('a',)))
    >>> router.apply_view(
    ...     service_views.ServiceView.of(
    ...         builders.service(), builders.DATA_CENTRE
    ...     ),
    ...     age=datetime.timedelta(0),
    ... )
    True
    >>> decision = router.route(1, flow=9, kind=envelopes.EnvelopeKind.OPEN)
    >>> decision.upstream.data_centre
    'kgn-a'
    """

    def __init__(
        self,
        host_id: identifiers.HostId,
        clock: clocks.Clock,
        settings: router_settings.RouterSettings | None = None,
    ) -> None:
        self.host_id = host_id
        self._clock = clock
        self._flows_by_service: dict[
            identifiers.ServiceId, service_flows.ServiceFlows
        ] = {}
        self._chain_router = chain.ChainRouter(host_id)
        self._maintenance = maintenance.FlowMaintenance(
            host_id, settings or router_settings.RouterSettings()
        )
        self._members = membership.MembershipView(0, (), quorum=False)
        self._no_quorum_since = clock.monotonic()
        # Whether this host may route by its own views alone.
        self._authoritative = False
        self._update_time()

    def set_members(self, members: membership.MembershipView) -> None:
        """Replace the membership view of the data centre."""
        now = self._update_time()
        if self._members.quorum and not members.quorum:
            self._no_quorum_since = now
        previous, self._members = self._members, members
        self._update_authority(now)
        if (previous.live, previous.leaving) == (
            members.live,
            members.leaving,
        ):
            return
        before = self._chain_router.owners
        self._chain_router.set_members(members)
        self._maintenance.start_handover(
            before,
            self._chain_router.owners,
            self._flows_by_service,
            self._chain_router.now,
        )

    def apply_view(
        self, view: service_views.ServiceView, age: datetime.timedelta
    ) -> bool:
        """Add a view that was published `age` ago.

        The newest view becomes active `views.ACTIVATION_DELAY` after its
        publication. A view that is older than the active one never becomes
        active, but is retained if it is unknown, so that a joining host may
        receive the views in any order.

        Returns
        -------
        bool
            Whether anything changed.
        """
        now = self._update_time()
        flows = self._flows_by_service.get(view.service_id)
        if flows is None:
            flows = service_flows.ServiceFlows()
            self._flows_by_service[view.service_id] = flows
        return flows.add_view(view, age, now)

    def retained_views(
        self,
    ) -> tuple[tuple[service_views.ServiceView, datetime.timedelta], ...]:
        """Return all retained views with their ages, for a joining peer."""
        now = self._update_time()
        return tuple(
            (entry.view, now - entry.published_at)
            for flows in self._flows_by_service.values()
            for entry in flows.history.entries
        )

    def remove_service(self, service_id: identifiers.ServiceId) -> None:
        """Discard a deleted service with its records."""
        self._flows_by_service.pop(service_id, None)
        self._maintenance.remove_service(service_id)

    def route(
        self,
        service_id: identifiers.ServiceId,
        flow: int,
        kind: envelopes.EnvelopeKind,
        hop: messages.Hop | None = None,
    ) -> messages.Decision:
        """Return the decision for a packet.

        Parameters
        ----------
        service_id, flow : int
            Identifiers in the envelope of the packet.
        kind : EnvelopeKind
            OPEN, DATA, KEEPALIVE or CLOSE.
        hop : Hop or None
            Forwarding state sent by a peer; None for a packet from the
            fabric.
        """
        flows = self._flows_by_service.get(service_id)
        if flows is None:
            return _UNKNOWN_SERVICE
        if hop is None and self._authoritative and not len(flows.records):
            index = flows.agreed_defaults[
                ((flow * buckets.FLOW_MULTIPLIER) & buckets.UINT64_MASK)
                >> buckets.BUCKET_SHIFT
            ]
            if index >= 0:
                return flows.decisions[index]
        return self._chain_router.route(flows, flow, kind, hop)

    def receive_records(self, message: messages.PutRecords) -> None:
        """Store records that a peer sent."""
        self._update_time()
        flows = self._flows_by_service.get(message.service_id)
        if flows is not None:
            maintenance.store_received_records(
                flows, message, self._chain_router.now
            )

    def receive_needs(
        self, sender: identifiers.HostId, message: messages.ViewNeeds
    ) -> None:
        """Replace the known view needs of a peer."""
        self._maintenance.view_collector.receive(
            sender, message, self._update_time()
        )

    def tick(self) -> collections.abc.Sequence[messages.Message]:
        """Run periodic maintenance and return the messages to send.

        `PutRecords` is sent to its `host_id`, `ViewNeeds` to all live hosts.
        """
        now = self._update_time()
        self._update_authority(now)
        peers = tuple(
            host for host in self._members.live if host != self.host_id
        )
        return self._maintenance.tick(self._flows_by_service, now, peers)

    @property
    def handing_over(self) -> bool:
        """Whether records are waiting to be sent to other hosts."""
        return self._maintenance.has_pending_records

    @property
    def recorded_flows(self) -> int:
        """Number of flows that have a record on this host."""
        return sum(
            len(flows.records) for flows in self._flows_by_service.values()
        )

    @property
    def record_bytes(self) -> int:
        """Memory of the record tables, in bytes."""
        return sum(
            flows.records.nbytes for flows in self._flows_by_service.values()
        )

    def _update_time(self) -> datetime.timedelta:
        now = self._clock.monotonic()
        self._chain_router.now = int(now.total_seconds())
        return now

    def _update_authority(self, now: datetime.timedelta) -> None:
        members = self._members
        serves_without_quorum = (
            not members.quorum
            and now >= self._no_quorum_since + NO_QUORUM_SERVE_DELAY
        )
        self._authoritative = serves_without_quorum or (
            members.quorum and members.fresh
        )
        self._chain_router.refusal = self._current_refusal()

    def _current_refusal(self) -> messages.Refuse | None:
        if self._authoritative:
            return None
        if not self._members.quorum:
            return messages.Refuse(messages.RefusalReason.NO_QUORUM)
        return messages.Refuse(messages.RefusalReason.NOT_FRESH)

"""Finds the upstream of a stream's packet, with its peers where needed.

References
----------
.. [1] V. Olteanu et al., "Stateless Datacenter Load-balancing with Beamer",
   NSDI 2018 (a packet passes through the former owner of its bucket).
.. [2] R. van Renesse and F. Schneider, "Chain Replication for Supporting
   High Throughput and Availability", OSDI 2004 (the record stands on every
   owner before its first packet goes on).
"""

import collections.abc
import datetime

from acaciamoor import clock as clocks
from acaciamoor.flows import chain
from acaciamoor.flows import messages
from acaciamoor.flows import service as service_flows
from acaciamoor.flows import settings as router_settings
from acaciamoor.flows import upkeep
from acaciamoor.model import identifiers
from acaciamoor.model import members as membership
from acaciamoor.views import buckets
from acaciamoor.views import view as service_views
from acaciamoor.wire import envelope as envelopes

# A data centre must serve what it can, so hosts without a quorum go on with
# the views they have after this time.
SERVE_ALONE_AFTER = datetime.timedelta(seconds=30)

_UNKNOWN_SERVICE = messages.Refuse(messages.RefusalReason.UNKNOWN_SERVICE)


class FlowRouter:
    """Decides where the packets of streams go.

    `tick` must be called at least once a second: the router takes the time
    only there and in the calls that bring views, members or messages, so
    that `route` stays free of clock calls.

    Parameters
    ----------
    host_id : HostId
        This balancer.
    clock : Clock
        Source of monotonic time.
    settings : RouterSettings or None
        Limits; the defaults without it.

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
        self._chain = chain.ChainRouter(host_id)
        self._upkeep = upkeep.Upkeep(
            host_id, settings or router_settings.RouterSettings()
        )
        self._members = membership.MembershipView(0, (), quorum=False)
        self._no_quorum_since = clock.monotonic()
        # Whether this host may decide by its own views.
        self._trusted = False
        self._update_time()

    def set_members(self, members: membership.MembershipView) -> None:
        """Take in the hosts of the data centre."""
        now = self._update_time()
        if self._members.quorum and not members.quorum:
            self._no_quorum_since = now
        previous, self._members = self._members, members
        self._update_trust(now)
        if (previous.live, previous.leaving) == (
            members.live,
            members.leaving,
        ):
            return
        before = self._chain.owners
        self._chain.set_members(members)
        self._upkeep.change_owners(
            before,
            self._chain.owners,
            self._flows_by_service,
            self._chain.now,
        )

    def apply_view(
        self, view: service_views.ServiceView, age: datetime.timedelta
    ) -> bool:
        """Take in a view that was published `age` ago.

        The newest view takes effect `views.ACTIVATION_DELAY` after its
        publication. A view that is older than the newest one never takes
        effect, but is retained if it is unknown, so that a joining host can
        be given the views in any order.

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
        """Return all views with their ages, for the snapshot of a peer."""
        now = self._update_time()
        return tuple(
            (entry.view, now - entry.published)
            for flows in self._flows_by_service.values()
            for entry in flows.history.entries
        )

    def remove_service(self, service_id: identifiers.ServiceId) -> None:
        """Forget a deleted service with its records."""
        self._flows_by_service.pop(service_id, None)
        self._upkeep.forget(service_id)

    def route(
        self,
        service_id: identifiers.ServiceId,
        flow: int,
        kind: envelopes.EnvelopeKind,
        hop: messages.Hop | None = None,
    ) -> messages.Decision:
        """Return where a packet goes.

        Parameters
        ----------
        service_id, flow : int
            Of the envelope.
        kind : EnvelopeKind
            OPEN, DATA, KEEPALIVE or CLOSE.
        hop : Hop or None
            None for a packet from the fabric, else what the peer sent.
        """
        flows = self._flows_by_service.get(service_id)
        if flows is None:
            return _UNKNOWN_SERVICE
        if hop is None and self._trusted and not len(flows.records):
            index = flows.agreed[
                ((flow * buckets.FLOW_MULTIPLIER) & buckets.UINT64)
                >> buckets.BUCKET_SHIFT
            ]
            if index >= 0:
                return flows.decisions[index]
        return self._chain.route(flows, flow, kind, hop)

    def receive_records(self, message: messages.PutRecords) -> None:
        """Store records that a peer handed over."""
        self._update_time()
        flows = self._flows_by_service.get(message.service_id)
        if flows is not None:
            upkeep.store_records(flows, message, self._chain.now)

    def receive_needs(
        self, sender: identifiers.HostId, message: messages.ViewNeeds
    ) -> None:
        """Take in the oldest views that a peer needs."""
        self._upkeep.keeper.receive(sender, message, self._update_time())

    def tick(self) -> collections.abc.Sequence[messages.Message]:
        """Advance time and return the messages that are due.

        `PutRecords` goes to its receiver, `ViewNeeds` to all live hosts.
        """
        now = self._update_time()
        self._update_trust(now)
        peers = tuple(
            host for host in self._members.live if host != self.host_id
        )
        return self._upkeep.tick(self._flows_by_service, now, peers)

    @property
    def handing_over(self) -> bool:
        """Whether records still wait to be sent to other owners."""
        return self._upkeep.busy

    @property
    def recorded_flows(self) -> int:
        """Number of flows that have a record here."""
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
        self._chain.now = int(now.total_seconds())
        return now

    def _update_trust(self, now: datetime.timedelta) -> None:
        members = self._members
        alone = (
            not members.quorum
            and now >= self._no_quorum_since + SERVE_ALONE_AFTER
        )
        self._trusted = alone or (members.quorum and members.fresh)
        self._chain.distrust = self._distrust()

    def _distrust(self) -> messages.Refuse | None:
        if self._trusted:
            return None
        if not self._members.quorum:
            return messages.Refuse(messages.RefusalReason.NO_QUORUM)
        return messages.Refuse(messages.RefusalReason.NOT_FRESH)

"""Control plane of one balancer: members, configuration, views, health."""

import dataclasses
import random

from acaciamoor.balancer.core import compact
from acaciamoor.balancer.core import effects
from acaciamoor.balancer.core import events
from acaciamoor.balancer.core import health
from acaciamoor.balancer.core import message_dispatch
from acaciamoor.balancer.core import messages
from acaciamoor.balancer.core import peer_link
from acaciamoor.balancer.core import placer_registry
from acaciamoor.balancer.core import request_path
from acaciamoor.balancer.core import view_synchronizer
import acaciamoor.clock as clocks
import acaciamoor.configuration as configuration
import acaciamoor.flows as flows
import acaciamoor.membership as membership
import acaciamoor.model as model
import acaciamoor.placement as placement
import acaciamoor.views as views

Effects = list[effects.Effect]


class ControlPlane:
    """Connects membership, configuration, views and health to data paths.

    Parameters
    ----------
    host_id : HostId
        This balancer.
    data_centre : DataCentre
        Its data centre.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Source of random choices.
    link : PeerLink
        Sends messages to other balancers.
    """

    def __init__(
        self,
        host_id: model.HostId,
        data_centre: model.DataCentre,
        clock: clocks.Clock,
        rng: random.Random,
        link: peer_link.PeerLink,
    ) -> None:
        self.store = configuration.ConfigurationStore(
            host_id, clock, rng, lambda change: len(compact.pack(change))
        )
        self.table = membership.MembershipTable(
            host_id, clock, rng, self.store
        )
        self.router = flows.FlowRouter(host_id, clock)
        self.health_table = health.HealthTable(host_id, clock)
        self.view_synchronizer = view_synchronizer.ViewSynchronizer(
            host_id, clock, rng, self.router, link
        )
        self.link = link
        self.request_path: request_path.RequestPath | None = None
        self.members: model.MembershipView | None = None
        # Stays set when the quorum is lost, since the host then still forwards
        # packets to peers, and serves again after 30 s.
        self.joined = False
        self.hosts: tuple[events.Host, ...] = ()
        self._host_id = host_id
        self._rng = rng
        self._data_centre = data_centre
        self._membership_view: model.MembershipView | None = None
        self._upstreams_by_address: dict[
            events.SocketAddress, tuple[model.ServiceId, model.UpstreamId]
        ] = {}
        self._addresses_by_service: dict[int, model.Address] = {}
        self._logged_versions_by_service: dict[model.ServiceId, int] = {}
        self._is_watching = False
        # Applied to all views; the store may already know a newer one.
        self._evacuation: configuration.EvacuationState | None = None

    def connect(self, request_path: request_path.RequestPath) -> None:
        """Set the request path, which receives the members and services."""
        self.request_path = request_path

    def on_hosts(self, host_list: tuple[events.Host, ...]) -> None:
        """Set the host list of the platform."""
        self.hosts = host_list
        local_hosts = [
            host for host in host_list if host.data_centre == self._data_centre
        ]
        self.link.set_addresses(
            {
                host.host_id: host.peer_address
                for host in local_hosts
                if host.host_id != self._host_id
            }
        )
        self.table.on_host_list(
            membership.HostList(
                live=frozenset(
                    h.host_id for h in local_hosts if not h.leaving
                ),
                leaving=frozenset(h.host_id for h in local_hosts if h.leaving),
            )
        )

    def on_message(self, sender: model.HostId, message: object) -> Effects:
        """Handle a control message of a peer."""
        return message_dispatch.receive(message, self, sender)

    def on_pause(self) -> None:
        """Discard state that may be outdated, and stop routing by default."""
        self.store.on_pause()
        self.view_synchronizer.reset()
        self.joined = False

    def on_health(
        self, key: placer_registry.ShardKey, change: placement.HealthChanged
    ) -> Effects:
        """Publish a health change, or report it to the publishing leader."""
        publishing_shard = placer_registry.ShardKey(key.service_id, 0)
        leader = self.request_path.placers.leader(publishing_shard)
        if leader is None or leader == self._host_id:
            self.health_table.publish(key.service_id, change)
            self.apply_health(key.service_id)
            return []
        report = messages.HealthReport(
            key.service_id, change.upstream_id, change.healthy, change.dead
        )
        return self.link.send(leader, report)

    def apply_health(self, service_id: model.ServiceId) -> None:
        """Apply a view of a service with its newest health."""
        service = self.store.services_by_id.get(service_id)
        if service is not None:
            update = self.health_table.update_for(service_id)
            self.router.apply_view(self._view_of(service), update.age)

    def tick(self) -> Effects:
        """Run the timers of the control plane; call every 50 ms."""
        produced = self.send_all(self.table.tick())
        view = self.table.view()
        produced += self.send_all(
            self.store.tick(view, self.table.has_target_in_force)
        )
        produced += self._apply_evacuation()
        produced += self._apply_changes()
        if self.store.is_complete and not self.view_synchronizer.started:
            self.view_synchronizer.start(set(self.store.services_by_id))
        produced += self._apply_members(view)
        produced += self.view_synchronizer.tick(self.members)
        produced += self._publish_updates()
        produced += self._request_hosts()
        return produced + self._update_relay_role(view)

    @property
    def evacuated(self) -> bool:
        """Whether the upstreams of the data centre get no new work."""
        return self._evacuation is not None and self._evacuation.evacuated

    def upstream_at(
        self, address: events.SocketAddress
    ) -> tuple[model.ServiceId, model.UpstreamId] | None:
        """Return the service and upstream that last used an address."""
        return self._upstreams_by_address.get(address)

    def name_of(self, service_id: model.ServiceId) -> str:
        """Return the name of a service, or its identifier if it is unknown."""
        service = self.store.services_by_id.get(service_id)
        return str(service_id) if service is None else service.name

    def is_misaddressed(self, service: int, address: model.Address) -> bool:
        """Return whether `address` differs from that of a known service."""
        known = self._addresses_by_service.get(service)
        return known is not None and (
            known.port != address.port or known.ip != address.ip
        )

    def send_all(self, sends: list[configuration.Send]) -> Effects:
        """Return the effects that send `sends`."""
        return [
            effect
            for send in sends
            for effect in self.link.send(send.host_id, send.message)
        ]

    def _view_of(self, service: model.Service) -> views.ServiceView:
        service_health = self.health_table.get(service.service_id)
        return views.ServiceView.of(
            service,
            self._data_centre,
            service_health.version,
            service_health.unhealthy,
            service_health.lost,
            self._evacuation.version if self._evacuation else 0,
            self.evacuated,
        )

    def _apply_evacuation(self) -> Effects:
        """Apply a change of the evacuation to the views of all services."""
        state = self.store.take_evacuation()
        if state is None:
            return []
        known, self._evacuation = self._evacuation, state
        for service in self.store.services_by_id.values():
            self.router.apply_view(self._view_of(service), state.age)
        if known is not None and known.version == state.version:
            return []
        change = 'evacuated' if state.evacuated else 'taken back'
        log = effects.WriteLog(
            effects.Severity.WARNING,
            f'the data centre is {change} from version {state.version}',
        )
        return [log, *self.request_path.set_evacuated(state.evacuated)]

    def _apply_changes(self) -> Effects:
        produced: Effects = []
        for change in self.store.take_changes():
            if change.service is None:
                self.router.remove_service(change.service_id)
                self._addresses_by_service.pop(change.service_id, None)
                produced += self.request_path.remove_service(change.service_id)
                continue
            self._addresses_by_service[change.service_id] = (
                change.service.address
            )
            for upstream in change.service.upstreams_in(self._data_centre):
                self._upstreams_by_address[upstream.address.as_tuple()] = (
                    change.service_id,
                    upstream.upstream_id,
                )
            self.router.apply_view(self._view_of(change.service), change.age)
            produced += self.request_path.set_service(change.service)
            produced += self._log_version(change)
        return produced

    def _log_version(self, change: configuration.ServiceVersion) -> Effects:
        # The store returns a change again when a peer reports a larger age.
        if (
            self._logged_versions_by_service.get(change.service_id)
            == change.version
        ):
            return []
        self._logged_versions_by_service[change.service_id] = change.version
        return [
            effects.WriteLog(
                effects.Severity.INFO,
                f'adopted version {change.version}',
                service=change.service.name,
            )
        ]

    def _apply_members(self, view: model.MembershipView) -> Effects:
        fresh = view.fresh and self.view_synchronizer.complete
        known = self.members
        if (
            known is not None
            and self._membership_view is view
            and known.fresh == fresh
        ):
            return []
        hosts_changed = known is None or (known.live, known.leaving) != (
            view.live,
            view.leaving,
        )
        self._membership_view = view
        self.members = dataclasses.replace(view, fresh=fresh)
        self.joined = self.joined or (fresh and view.quorum)
        self.router.set_members(self.members)
        if not hosts_changed:
            return []
        log = effects.WriteLog(
            effects.Severity.INFO,
            f'live: {" ".join(view.live)}; '
            f'leaving: {" ".join(view.leaving) or "none"}',
        )
        return [log, *self.request_path.set_members(self.members)]

    def _request_hosts(self) -> Effects:
        # There is no quorum without a host list. During an outage of the
        # platform, a peer that probes this host has a list.
        known = self.link.known_hosts
        if self.hosts or not known:
            return []
        return self.link.send(self._rng.choice(known), messages.HostsRequest())

    def _publish_updates(self) -> Effects:
        produced: Effects = []
        for message in self.router.tick():
            produced += message_dispatch.send(message, self)
        for update in self.health_table.due_updates():
            produced += self.broadcast(update)
        return produced

    def broadcast(self, message: object) -> Effects:
        """Send a message to all other hosts that answer probes."""
        others = {*self.members.live, *self.members.leaving}
        return [
            effect
            for host_id in sorted(others - {self._host_id})
            for effect in self.link.send(host_id, message)
        ]

    def _update_relay_role(self, view: model.MembershipView) -> Effects:
        produced: Effects = []
        is_watching = self.store.is_relay(view)
        if is_watching != self._is_watching:
            self._is_watching = is_watching
            produced.append(effects.SetWatch(is_watching))
        status = self.store.take_status()
        if status is not None:
            produced.append(effects.WriteStatus(status))
        return produced

"""Control plane of one balancer: members, configuration, views, health."""

import dataclasses
import random

from acaciamoor.balancer.core import compact
from acaciamoor.balancer.core import effects
from acaciamoor.balancer.core import events
from acaciamoor.balancer.core import health
from acaciamoor.balancer.core import inbox
from acaciamoor.balancer.core import joining
from acaciamoor.balancer.core import messages
from acaciamoor.balancer.core import peers
from acaciamoor.balancer.core import placers as leaders
from acaciamoor.balancer.core import work as works
import acaciamoor.clock as clocks
import acaciamoor.configuration as configuration
import acaciamoor.flows as flows
import acaciamoor.membership as membership
import acaciamoor.model as model
import acaciamoor.placement as placement
import acaciamoor.views as views

Effects = list[effects.Effect]


class ControlPath:
    """Connects the decision packages and feeds the data path.

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
        Makes messages to other balancers.
    """

    def __init__(
        self,
        host_id: model.HostId,
        data_centre: model.DataCentre,
        clock: clocks.Clock,
        rng: random.Random,
        link: peers.PeerLink,
    ) -> None:
        self.store = configuration.ConfigurationStore(
            host_id, clock, rng, lambda change: len(compact.pack(change))
        )
        self.table = membership.MembershipTable(
            host_id, clock, rng, self.store
        )
        self.router = flows.FlowRouter(host_id, clock)
        self.board = health.HealthBoard(host_id, clock)
        self.learner = joining.ViewLearner(
            host_id, clock, rng, self.router, link
        )
        self.link = link
        self.work: works.WorkPath | None = None
        self.members: model.MembershipView | None = None
        # Stays set when the quorum is lost, since the host then still passes
        # packets on, and serves again after 30 s.
        self.joined = False
        self.hosts: tuple[events.Host, ...] = ()
        self._host_id = host_id
        self._rng = rng
        self._data_centre = data_centre
        self._source: model.MembershipView | None = None
        self._upstreams_by_address: dict[
            events.SocketAddress, tuple[model.ServiceId, model.UpstreamId]
        ] = {}
        self._address_by_service: dict[int, model.Address] = {}
        self._noted_by_service: dict[model.ServiceId, int] = {}
        self._watching = False

    def connect(self, work: works.WorkPath) -> None:
        """Tell the path of requests about members and services from now."""
        self.work = work

    def on_hosts(self, listed: tuple[events.Host, ...]) -> None:
        """Take in the platform's list of hosts."""
        self.hosts = listed
        own = [
            host for host in listed if host.data_centre == self._data_centre
        ]
        self.link.set_addresses(
            {
                host.host_id: host.peer_address
                for host in own
                if host.host_id != self._host_id
            }
        )
        self.table.on_host_list(
            membership.HostList(
                live=frozenset(h.host_id for h in own if not h.leaving),
                leaving=frozenset(h.host_id for h in own if h.leaving),
            )
        )

    def on_message(self, sender: model.HostId, message: object) -> Effects:
        """Take a control message of a peer."""
        return inbox.receive(message, self, sender)

    def on_pause(self) -> None:
        """Learn everything again before routing by default."""
        self.store.on_pause()
        self.learner.restart()
        self.joined = False

    def on_health(
        self, key: leaders.ShardKey, change: placement.HealthChanged
    ) -> Effects:
        """Publish a judgement, or send it to the placer that publishes."""
        first = leaders.ShardKey(key.service_id, 0)
        leader = self.work.placers.leader(first)
        if leader is None or leader == self._host_id:
            self.board.judge(key.service_id, change)
            self.apply_health(key.service_id)
            return []
        report = messages.HealthReport(
            key.service_id, change.upstream_id, change.healthy, change.dead
        )
        return self.link.send(leader, report)

    def apply_health(self, service_id: model.ServiceId) -> None:
        """Make a view of a service with its newest health."""
        service = self.store.services_by_id.get(service_id)
        if service is not None:
            update = self.board.update_for(service_id)
            self.router.apply_view(self._view(service), update.age)

    def tick(self) -> Effects:
        """Run the timers of the control plane; call every 50 ms."""
        done = self.send_all(self.table.tick())
        view = self.table.view()
        done += self.send_all(
            self.store.tick(view, self.table.has_target_in_force)
        )
        done += self._apply_changes()
        if self.store.is_complete and not self.learner.started:
            self.learner.start(set(self.store.services_by_id))
        done += self._apply_members(view)
        done += self.learner.tick(self.members)
        done += self._publish()
        done += self._ask_for_hosts()
        return done + self._relay(view)

    def upstream_at(
        self, address: events.SocketAddress
    ) -> tuple[model.ServiceId, model.UpstreamId] | None:
        """Return the service and upstream that last used an address."""
        return self._upstreams_by_address.get(address)

    def name_of(self, service_id: model.ServiceId) -> str:
        """Return the name of a service, or its number if it is unknown."""
        service = self.store.services_by_id.get(service_id)
        return str(service_id) if service is None else service.name

    def is_misaddressed(self, service: int, address: model.Address) -> bool:
        """Return whether `address` is not the one of a known service."""
        known = self._address_by_service.get(service)
        return known is not None and (
            known.port != address.port or known.ip != address.ip
        )

    def send_all(self, sends: list[configuration.Send]) -> Effects:
        """Return the effects of messages that the core wants to send."""
        return [
            effect
            for send in sends
            for effect in self.link.send(send.host_id, send.message)
        ]

    def _view(self, service: model.Service) -> views.ServiceView:
        state = self.board.get(service.service_id)
        return views.ServiceView.of(
            service,
            self._data_centre,
            state.version,
            state.unhealthy,
            state.lost,
        )

    def _apply_changes(self) -> Effects:
        done: Effects = []
        for change in self.store.take_changes():
            if change.service is None:
                self.router.remove_service(change.service_id)
                self._address_by_service.pop(change.service_id, None)
                done += self.work.remove_service(change.service_id)
                continue
            self._address_by_service[change.service_id] = (
                change.service.address
            )
            for upstream in change.service.upstreams_in(self._data_centre):
                self._upstreams_by_address[upstream.address.as_tuple()] = (
                    change.service_id,
                    upstream.upstream_id,
                )
            self.router.apply_view(self._view(change.service), change.age)
            done += self.work.set_service(change.service)
            done += self._note_version(change)
        return done

    def _note_version(self, change: configuration.ServiceVersion) -> Effects:
        # A change is reported again when a larger age is heard for it.
        if self._noted_by_service.get(change.service_id) == change.version:
            return []
        self._noted_by_service[change.service_id] = change.version
        return [
            effects.Note(
                effects.Severity.INFO,
                f'adopted version {change.version}',
                service=change.service.name,
            )
        ]

    def _apply_members(self, view: model.MembershipView) -> Effects:
        fresh = view.fresh and self.learner.complete
        known = self.members
        if known is not None and self._source is view and known.fresh == fresh:
            return []
        hosts_changed = known is None or (known.live, known.leaving) != (
            view.live,
            view.leaving,
        )
        self._source = view
        self.members = dataclasses.replace(view, fresh=fresh)
        self.joined = self.joined or (fresh and view.quorum)
        self.router.set_members(self.members)
        if not hosts_changed:
            return []
        note = effects.Note(
            effects.Severity.INFO,
            f'live: {" ".join(view.live)}; '
            f'leaving: {" ".join(view.leaving) or "none"}',
        )
        return [note, *self.work.set_members(self.members)]

    def _ask_for_hosts(self) -> Effects:
        # Without the list there is no quorum. A peer that probes this host
        # during an outage of the platform has one.
        known = self.link.known_hosts
        if self.hosts or not known:
            return []
        return self.link.send(self._rng.choice(known), messages.HostsRequest())

    def _publish(self) -> Effects:
        done: Effects = []
        for message in self.router.tick():
            done += inbox.send(message, self)
        for update in self.board.due():
            done += self.broadcast(update)
        return done

    def broadcast(self, message: object) -> Effects:
        """Send a message to all other hosts that answer probes."""
        others = {*self.members.live, *self.members.leaving}
        return [
            effect
            for host_id in sorted(others - {self._host_id})
            for effect in self.link.send(host_id, message)
        ]

    def _relay(self, view: model.MembershipView) -> Effects:
        done: Effects = []
        watching = self.store.is_relay(view)
        if watching != self._watching:
            self._watching = watching
            done.append(effects.HoldWatch(watching))
        status = self.store.take_status()
        if status is not None:
            done.append(effects.WriteStatus(status))
        return done

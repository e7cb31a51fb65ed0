"""Simulated balancer hosts with a placer each."""

import collections.abc
import dataclasses
import datetime
import functools
import random

from acaciamoor import harness
from acaciamoor import model
from acaciamoor import placement

LEASE_DURATION = datetime.timedelta(seconds=1.5)
# A longer gap between two events means that the process was paused. Datagrams
# that it handles within this time after a pause are marked as stale, even if
# it only forwards them.
PAUSE_THRESHOLD = datetime.timedelta(milliseconds=500)

ReplyCallback = collections.abc.Callable[[placement.Reply], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Message: a caller's datagram that is forwarded to the leader."""

    request_part: placement.RequestPart
    origin: placement.Origin = placement.Origin.CALLER
    hops: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderUpdate:
    """Message: the leader, and the host that becomes the leader next."""

    leader: str
    successor: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsUpdate:
    """Message: the upstreams of the service."""

    upstreams: tuple[model.Upstream, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Message: a caller has cancelled its request."""

    key: placement.RequestKey


class PlacerHost:
    """Simulated balancer process that drives one placer.

    The host renews the lease, forwards requests to the leader, and performs
    the effects that the placer returns.

    Parameters
    ----------
    name : str
        Name on the network.
    network : harness.VirtualNetwork
        Carries all messages.
    policy : model.Policy
        Limits of the service.
    on_reply : Callable
        Called with each reply to a caller.
    tick : datetime.timedelta
        Interval between calls of `Placer.tick`.
    """

    def __init__(
        self,
        name: str,
        network: harness.VirtualNetwork,
        policy: model.Policy,
        on_reply: ReplyCallback,
        tick: datetime.timedelta,
    ) -> None:
        self.name = name
        self.leader = ''
        self.successor = ''
        self.cut_off = False
        self.alive = True
        self.upstreams_by_id: dict[model.UpstreamId, model.Upstream] = {}
        self.placer = placement.Placer(
            network.clock, random.Random(name), policy
        )
        self.late_binds = 0
        self._network = network
        self._on_reply = on_reply
        self._tick = tick
        self._last_contact_at = network.clock.monotonic()
        self._last_event_at = network.clock.monotonic()
        self._stale_until = network.clock.monotonic()
        self._needs_rejoin = False
        network.add_host(name, self.on_message)
        network.call_later(tick, self._on_tick, host=name)

    def set_initial_leader(self, leader: str, successor: str) -> None:
        """Set the leader and its successor without an update."""
        self.leader, self.successor = leader, successor

    def rejoin(self) -> None:
        """Allow the host to hold the lease again after a long pause."""
        self._needs_rejoin = False

    def on_message(self, sender: str, message: object) -> None:
        """Handle a message from a host, a caller or an upstream."""
        self._renew_lease()
        self._perform_effects(self._handle(message))

    @functools.singledispatchmethod
    def _handle(self, message: object) -> list[placement.Effect]:
        raise TypeError(f'no handler for {type(message).__name__}')

    @_handle.register
    def _(self, message: Forward) -> list[placement.Effect]:
        origin = message.origin
        if origin in (placement.Origin.PEER, placement.Origin.HAND_OVER):
            return self.placer.submit(message.request_part, origin)
        if self._network.clock.monotonic() < self._stale_until:
            origin = placement.Origin.STALE
        if self.leader == self.name:
            return self.placer.submit(message.request_part, origin)
        if message.hops < 2 and not self.cut_off:
            onward = Forward(message.request_part, origin, message.hops + 1)
            self._network.send(self.name, self.leader, onward)
        return []

    @_handle.register
    def _(self, message: LeaderUpdate) -> list[placement.Effect]:
        was_leader = self.leader == self.name
        self.leader, self.successor = message.leader, message.successor
        self._renew_lease()
        if was_leader and self.leader != self.name:
            return self.placer.hand_over(model.HostId(self.leader))
        return []

    @_handle.register
    def _(self, message: UpstreamsUpdate) -> list[placement.Effect]:
        self.upstreams_by_id = {
            item.upstream_id: item for item in message.upstreams
        }
        return self.placer.set_upstreams(message.upstreams)

    @_handle.register
    def _(self, message: Cancel) -> list[placement.Effect]:
        return self.placer.cancel(message.key)

    @_handle.register
    def _(self, message: placement.Answer) -> list[placement.Effect]:
        return self.placer.on_answer(message)

    @_handle.register
    def _(self, message: placement.Shed) -> list[placement.Effect]:
        return self.placer.on_shed(message)

    @_handle.register
    def _(self, message: placement.LoadReport) -> list[placement.Effect]:
        return self.placer.on_report(message)

    @_handle.register
    def _(self, message: placement.ProbeResult) -> list[placement.Effect]:
        return self.placer.on_probe_result(message)

    def _perform_effects(self, effects: list[placement.Effect]) -> None:
        for effect in effects:
            self._perform(effect)

    @functools.singledispatchmethod
    def _perform(self, effect: placement.Effect) -> None:
        """Ignore effects that are not simulated."""

    @_perform.register
    def _(self, effect: placement.Bind) -> None:
        current = self.upstreams_by_id.get(effect.upstream.upstream_id)
        if current is None or not current.takes_new_work:
            self.late_binds += 1
        self._network.send(self.name, effect.upstream.upstream_id, effect)

    @_perform.register
    def _(self, effect: placement.CancelUpstream) -> None:
        self._network.send(self.name, effect.upstream.upstream_id, effect)

    @_perform.register
    def _(self, effect: placement.Reply) -> None:
        self._on_reply(effect)

    @_perform.register
    def _(self, effect: placement.HandOver) -> None:
        message = Forward(effect.request_part, placement.Origin.HAND_OVER)
        self._network.send(self.name, effect.host_id, message)

    @_perform.register
    def _(self, effect: placement.AskPeer) -> None:
        message = Forward(effect.request_part, placement.Origin.PEER)
        self._network.send(self.name, self.successor, message)

    def _on_tick(self) -> None:
        self._renew_lease()
        self._perform_effects(self.placer.tick())
        self._network.call_later(self._tick, self._on_tick, host=self.name)

    def _renew_lease(self) -> None:
        now = self._network.clock.monotonic()
        if now - self._last_event_at > LEASE_DURATION:
            self._needs_rejoin = True
        if now - self._last_event_at > PAUSE_THRESHOLD:
            self._stale_until = now + PAUSE_THRESHOLD
        self._last_event_at = now
        if not self.cut_off:
            self._last_contact_at = now
        holds = (
            self.leader == self.name
            and not self._needs_rejoin
            and now - self._last_contact_at <= LEASE_DURATION
        )
        self._perform_effects(self.placer.set_lease(holds))

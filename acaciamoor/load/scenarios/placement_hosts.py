"""Balancer hosts with a placer each, on a virtual network."""

import collections.abc
import dataclasses
import datetime
import functools
import random

from acaciamoor import harness
from acaciamoor import model
from acaciamoor import placement

LEASE = datetime.timedelta(seconds=1.5)
# A datagram that was held for longer than this is marked as stale, also by a
# host that only forwards it.
PAUSE = datetime.timedelta(milliseconds=500)

ReplyFunction = collections.abc.Callable[[placement.Reply], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """A caller's datagram on its way to the placer."""

    work: placement.Work
    origin: placement.Origin = placement.Origin.CALLER
    hops: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class NewView:
    """A host learns which host is the placer and which comes next."""

    leader: str
    second: str


@dataclasses.dataclass(frozen=True, slots=True)
class NewUpstreams:
    """A host learns the upstreams of the service."""

    upstreams: tuple[model.Upstream, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """A caller has gone."""

    key: placement.RequestKey


class PlacerHost:
    """Plays the process around one placer: views, lease and effects.

    Parameters
    ----------
    name : str
        Name on the network.
    network : harness.VirtualNetwork
        Carries all messages.
    policy : model.Policy
        Limits of the service.
    on_reply : Callable
        Takes the replies to callers.
    tick : datetime.timedelta
        Time between two calls of the placer's `tick`.
    """

    def __init__(
        self,
        name: str,
        network: harness.VirtualNetwork,
        policy: model.Policy,
        on_reply: ReplyFunction,
        tick: datetime.timedelta,
    ) -> None:
        self.name = name
        self.leader = ''
        self.second = ''
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
        self._heard_at = network.clock.monotonic()
        self._seen_at = network.clock.monotonic()
        self._stale_until = network.clock.monotonic()
        self._needs_view = False
        network.add_host(name, self.on_message)
        network.call_later(tick, self._on_tick, host=name)

    def start_as(self, leader: str, second: str) -> None:
        """Set the first view."""
        self.leader, self.second = leader, second

    def refresh(self) -> None:
        """Take part in the membership again after a pause."""
        self._needs_view = False

    def on_message(self, sender: str, message: object) -> None:
        """Take a message of any kind."""
        self._renew_lease()
        self._apply(self._handle(message))

    @functools.singledispatchmethod
    def _handle(self, message: object) -> list[placement.Effect]:
        raise TypeError(f'no handler for {type(message).__name__}')

    @_handle.register
    def _(self, message: Forward) -> list[placement.Effect]:
        origin = message.origin
        if origin in (placement.Origin.PEER, placement.Origin.HAND_OVER):
            return self.placer.submit(message.work, origin)
        if self._network.clock.monotonic() < self._stale_until:
            origin = placement.Origin.STALE
        if self.leader == self.name:
            return self.placer.submit(message.work, origin)
        if message.hops < 2 and not self.cut_off:
            onward = Forward(message.work, origin, message.hops + 1)
            self._network.send(self.name, self.leader, onward)
        return []

    @_handle.register
    def _(self, message: NewView) -> list[placement.Effect]:
        was_leader = self.leader == self.name
        self.leader, self.second = message.leader, message.second
        self._renew_lease()
        if was_leader and self.leader != self.name:
            return self.placer.hand_over(model.HostId(self.leader))
        return []

    @_handle.register
    def _(self, message: NewUpstreams) -> list[placement.Effect]:
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

    def _apply(self, effects: list[placement.Effect]) -> None:
        for effect in effects:
            self._perform(effect)

    @functools.singledispatchmethod
    def _perform(self, effect: placement.Effect) -> None:
        """Do nothing for effects that only matter outside placement."""

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
        message = Forward(effect.work, placement.Origin.HAND_OVER)
        self._network.send(self.name, effect.host_id, message)

    @_perform.register
    def _(self, effect: placement.AskPeer) -> None:
        message = Forward(effect.work, placement.Origin.PEER)
        self._network.send(self.name, self.second, message)

    def _on_tick(self) -> None:
        self._renew_lease()
        self._apply(self.placer.tick())
        self._network.call_later(self._tick, self._on_tick, host=self.name)

    def _renew_lease(self) -> None:
        now = self._network.clock.monotonic()
        if now - self._seen_at > LEASE:
            self._needs_view = True
        if now - self._seen_at > PAUSE:
            self._stale_until = now + PAUSE
        self._seen_at = now
        if not self.cut_off:
            self._heard_at = now
        holds = (
            self.leader == self.name
            and not self._needs_view
            and now - self._heard_at <= LEASE
        )
        self._apply(self.placer.set_lease(holds))

"""Hands control messages to the package that they are for."""

import functools
import typing

from acaciamoor.balancer.core import effects
from acaciamoor.balancer.core import events
from acaciamoor.balancer.core import health
from acaciamoor.balancer.core import joining
from acaciamoor.balancer.core import messages
from acaciamoor.balancer.core import peers
from acaciamoor.balancer.core import placers as leaders
import acaciamoor.configuration as configuration
import acaciamoor.flows as flows
import acaciamoor.membership as membership
import acaciamoor.model as model
import acaciamoor.placement as placement

Effects = list[effects.Effect]


class Control(typing.Protocol):
    """What messages need of the control plane."""

    board: health.HealthBoard
    hosts: tuple[events.Host, ...]
    learner: joining.ViewLearner
    link: peers.PeerLink
    router: flows.FlowRouter
    store: configuration.ConfigurationStore
    table: membership.MembershipTable

    def apply_health(self, service_id: model.ServiceId) -> None:
        """Make a view of a service with its newest health."""

    def broadcast(self, message: object) -> Effects:
        """Send a message to all other hosts that answer probes."""

    def on_health(
        self, key: leaders.ShardKey, change: placement.HealthChanged
    ) -> Effects:
        """Publish a judgement."""

    def on_hosts(self, listed: tuple[events.Host, ...]) -> None:
        """Take in the platform's list of hosts."""

    def send_all(self, sends: list[configuration.Send]) -> Effects:
        """Return the effects of messages that the core wants to send."""


@functools.singledispatch
def send(message: object, path: Control) -> Effects:
    """Send a message of the flow router to those that it is for."""
    return path.broadcast(message)


@send.register
def _(message: flows.PutRecords, path: Control) -> Effects:
    return path.link.send(message.host_id, message)


@functools.singledispatch
def receive(message: object, path: Control, sender: model.HostId) -> Effects:
    """Hand a control message to the package that it is for."""
    # Both packages ignore messages that are not theirs.
    return path.send_all(
        path.table.on_message(sender, message)
        + path.store.on_message(sender, message)
    )


@receive.register
def _(
    message: flows.PutRecords, path: Control, sender: model.HostId
) -> Effects:
    path.router.receive_records(message)
    return []


@receive.register
def _(
    message: flows.ViewNeeds, path: Control, sender: model.HostId
) -> Effects:
    path.router.receive_needs(sender, message)
    return []


@receive.register
def _(
    message: messages.HealthUpdate, path: Control, sender: model.HostId
) -> Effects:
    if path.board.adopt(message):
        path.apply_health(message.service_id)
    return []


@receive.register
def _(
    message: messages.HealthReport, path: Control, sender: model.HostId
) -> Effects:
    change = placement.HealthChanged(
        message.upstream_id, message.healthy, message.dead
    )
    return path.on_health(leaders.ShardKey(message.service_id, 0), change)


@receive.register
def _(
    message: messages.ViewsRequest, path: Control, sender: model.HostId
) -> Effects:
    return path.learner.answer(sender, message)


@receive.register
def _(
    message: messages.RetainedViews, path: Control, sender: model.HostId
) -> Effects:
    path.learner.learn(message)
    for aged in message.views:
        update = messages.HealthUpdate(
            message.service_id,
            aged.view.version.health,
            tuple(aged.view.unhealthy),
            tuple(aged.view.lost),
            aged.age,
        )
        if path.board.adopt(update):
            path.apply_health(message.service_id)
    return []


@receive.register
def _(
    message: messages.HostsRequest, path: Control, sender: model.HostId
) -> Effects:
    if not path.hosts:
        return []
    return path.link.send(sender, messages.HostsReply(path.hosts))


@receive.register
def _(
    message: messages.HostsReply, path: Control, sender: model.HostId
) -> Effects:
    if not path.hosts:
        path.on_hosts(message.hosts)
    return []

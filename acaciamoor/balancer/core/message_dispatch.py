"""Dispatch of control messages by type."""

import functools
import typing

from acaciamoor.balancer.core import effects
from acaciamoor.balancer.core import events
from acaciamoor.balancer.core import health
from acaciamoor.balancer.core import messages
from acaciamoor.balancer.core import peer_link
from acaciamoor.balancer.core import placer_registry
from acaciamoor.balancer.core import view_synchronizer
import acaciamoor.configuration as configuration
import acaciamoor.flows as flows
import acaciamoor.membership as membership
import acaciamoor.model as model
import acaciamoor.placement as placement

Effects = list[effects.Effect]


class DispatchContext(typing.Protocol):
    """Parts of the control plane that handle messages."""

    health_table: health.HealthTable
    hosts: tuple[events.Host, ...]
    view_synchronizer: view_synchronizer.ViewSynchronizer
    link: peer_link.PeerLink
    router: flows.FlowRouter
    store: configuration.ConfigurationStore
    table: membership.MembershipTable

    def apply_health(self, service_id: model.ServiceId) -> None:
        """Apply a view of a service with its newest health."""

    def broadcast(self, message: object) -> Effects:
        """Send a message to all other hosts that answer probes."""

    def on_health(
        self, key: placer_registry.ShardKey, change: placement.HealthChanged
    ) -> Effects:
        """Publish a change of the health of an upstream."""

    def on_hosts(self, host_list: tuple[events.Host, ...]) -> None:
        """Set the host list of the platform."""

    def send_all(self, sends: list[configuration.Send]) -> Effects:
        """Return the effects that send `sends`."""


@functools.singledispatch
def send(message: object, context: DispatchContext) -> Effects:
    """Send a message of the flow router to its receivers."""
    return context.broadcast(message)


@send.register
def _(message: flows.PutRecords, context: DispatchContext) -> Effects:
    return context.link.send(message.host_id, message)


@functools.singledispatch
def receive(
    message: object, context: DispatchContext, sender: model.HostId
) -> Effects:
    """Handle a control message of a peer."""
    # Membership and configuration each ignore the messages of the other.
    return context.send_all(
        context.table.on_message(sender, message)
        + context.store.on_message(sender, message)
    )


@receive.register
def _(
    message: flows.PutRecords, context: DispatchContext, sender: model.HostId
) -> Effects:
    context.router.receive_records(message)
    return []


@receive.register
def _(
    message: flows.ViewNeeds, context: DispatchContext, sender: model.HostId
) -> Effects:
    context.router.receive_needs(sender, message)
    return []


@receive.register
def _(
    message: messages.HealthUpdate,
    context: DispatchContext,
    sender: model.HostId,
) -> Effects:
    if context.health_table.adopt(message):
        context.apply_health(message.service_id)
    return []


@receive.register
def _(
    message: messages.HealthReport,
    context: DispatchContext,
    sender: model.HostId,
) -> Effects:
    change = placement.HealthChanged(
        message.upstream_id, message.healthy, message.dead
    )
    return context.on_health(
        placer_registry.ShardKey(message.service_id, 0), change
    )


@receive.register
def _(
    message: messages.ViewsRequest,
    context: DispatchContext,
    sender: model.HostId,
) -> Effects:
    return context.view_synchronizer.on_views_request(sender, message)


@receive.register
def _(
    message: messages.RetainedViews,
    context: DispatchContext,
    sender: model.HostId,
) -> Effects:
    context.view_synchronizer.on_retained_views(message)
    for aged in message.views:
        update = messages.HealthUpdate(
            message.service_id,
            aged.view.version.health,
            tuple(aged.view.unhealthy),
            tuple(aged.view.lost),
            aged.age,
        )
        if context.health_table.adopt(update):
            context.apply_health(message.service_id)
    return []


@receive.register
def _(
    message: messages.HostsRequest,
    context: DispatchContext,
    sender: model.HostId,
) -> Effects:
    if not context.hosts:
        return []
    return context.link.send(sender, messages.HostsReply(context.hosts))


@receive.register
def _(
    message: messages.HostsReply,
    context: DispatchContext,
    sender: model.HostId,
) -> Effects:
    if not context.hosts:
        context.on_hosts(message.hosts)
    return []

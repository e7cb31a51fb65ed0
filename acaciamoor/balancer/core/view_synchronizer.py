"""Retrieval of retained views by a host that joins or resumes."""

import datetime
import random

from acaciamoor.balancer.core import effects
from acaciamoor.balancer.core import messages
from acaciamoor.balancer.core import peer_link
import acaciamoor.clock as clocks
import acaciamoor.flows as flows
import acaciamoor.model as model

REQUEST_INTERVAL = datetime.timedelta(milliseconds=300)
# When all hosts of a data centre start at once, no peer is complete. After
# this time a host accepts the views of incomplete peers.
INCOMPLETE_PEERS_WAIT = datetime.timedelta(seconds=3)
# Limits control traffic to its byte budget.
_MAX_REQUESTS_PER_ROUND = 4


class ViewSynchronizer:
    """Requests the retained views of all services from peers.

    Until it is complete, this host must not route flows by default: a flow
    that is ambiguous to its peers may have a single default in the only view
    of this host.

    Parameters
    ----------
    host_id : HostId
        This balancer.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Selects the peers that are asked.
    router : FlowRouter
        Provides and receives the views.
    link : PeerLink
        Sends messages to peers.
    """

    def __init__(
        self,
        host_id: model.HostId,
        clock: clocks.Clock,
        rng: random.Random,
        router: flows.FlowRouter,
        link: peer_link.PeerLink,
    ) -> None:
        self._host_id = host_id
        self._clock = clock
        self._rng = rng
        self._router = router
        self._link = link
        self._missing_services: set[model.ServiceId] = set()
        self._started = False
        self._next_request_at = datetime.timedelta(0)
        self._started_at = datetime.timedelta(0)

    @property
    def complete(self) -> bool:
        """Whether the retained views of all services are known."""
        return self._started and not self._missing_services

    def start(self, service_ids: set[model.ServiceId]) -> None:
        """Start to request the views of the given services."""
        self._missing_services = set(service_ids)
        self._started = True
        self._started_at = self._clock.monotonic()

    def reset(self) -> None:
        """Return to the state before `start`, after a pause of the process."""
        self._missing_services.clear()
        self._started = False

    @property
    def started(self) -> bool:
        """Whether `start` was called since the last `reset`."""
        return self._started

    def tick(self, members: model.MembershipView) -> list[effects.Effect]:
        """Request missing views from peers."""
        now = self._clock.monotonic()
        if not self._missing_services or now < self._next_request_at:
            return []
        others = sorted({*members.live, *members.leaving} - {self._host_id})
        if not others:
            # The only host of a data centre has no peers to ask. A host
            # without a quorum has not discovered its peers yet.
            if members.quorum:
                self._missing_services.clear()
            return []
        self._next_request_at = now + REQUEST_INTERVAL
        produced: list[effects.Effect] = []
        for service_id in sorted(self._missing_services)[
            :_MAX_REQUESTS_PER_ROUND
        ]:
            produced += self._link.send(
                self._rng.choice(others), messages.ViewsRequest(service_id)
            )
        return produced

    def on_views_request(
        self, sender: model.HostId, request: messages.ViewsRequest
    ) -> list[effects.Effect]:
        """Send the retained views of a service to a peer."""
        aged = tuple(
            messages.AgedView(view, age)
            for view, age in self._router.retained_views()
            if view.service_id == request.service_id
        )
        return self._link.send(
            sender,
            messages.RetainedViews(request.service_id, aged, self.complete),
        )

    def on_retained_views(self, message: messages.RetainedViews) -> None:
        """Add the retained views of a service that a peer sent."""
        for aged in message.views:
            self._router.apply_view(aged.view, aged.age)
        elapsed = self._clock.monotonic() - self._started_at
        if message.complete or elapsed >= INCOMPLETE_PEERS_WAIT:
            self._missing_services.discard(message.service_id)

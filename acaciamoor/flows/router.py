"""Finds the upstream of a stream's packet, with its peers where needed."""

import collections.abc
import datetime

from acaciamoor import clock as clocks
from acaciamoor.flows import messages
from acaciamoor.flows import settings as router_settings
from acaciamoor.model import identifiers
from acaciamoor.model import members as membership
from acaciamoor.views import view as service_views
from acaciamoor.wire import envelope as envelopes


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
    """

    def __init__(
        self,
        host_id: identifiers.HostId,
        clock: clocks.Clock,
        settings: router_settings.RouterSettings | None = None,
    ) -> None:
        self.host_id = host_id

    def set_members(self, members: membership.MembershipView) -> None:
        """Take in the hosts of the data centre."""
        raise NotImplementedError

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
            Whether the view was unknown.
        """
        raise NotImplementedError

    def retained_views(
        self,
    ) -> tuple[tuple[service_views.ServiceView, datetime.timedelta], ...]:
        """Return all views with their ages, for the snapshot of a peer."""
        raise NotImplementedError

    def remove_service(self, service_id: identifiers.ServiceId) -> None:
        """Forget a deleted service with its records."""
        raise NotImplementedError

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
        raise NotImplementedError

    def receive_records(self, message: messages.PutRecords) -> None:
        """Store records that a peer handed over."""
        raise NotImplementedError

    def receive_needs(
        self, sender: identifiers.HostId, message: messages.ViewNeeds
    ) -> None:
        """Take in the oldest views that a peer needs."""
        raise NotImplementedError

    def tick(self) -> collections.abc.Sequence[messages.Message]:
        """Advance time and return the messages that are due.

        `PutRecords` goes to its receiver, `ViewNeeds` to all live hosts.
        """
        raise NotImplementedError

    @property
    def handing_over(self) -> bool:
        """Whether records still wait to be sent to other owners."""
        raise NotImplementedError

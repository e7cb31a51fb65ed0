"""Views of a service that packets may still depend on."""

import datetime

from acaciamoor.views import view as service_views

# A fresh balancer has heard of a view before any balancer uses it.
ACTIVATION_DELAY = datetime.timedelta(seconds=2.5)
# Shorter than the activation delay, because the network delay is not part of
# an age; the difference covers it.
FRESHNESS_LIMIT = datetime.timedelta(seconds=2.25)
ACTIVATION_INTERVAL = datetime.timedelta(seconds=4)
# Four keepalive intervals: a flow that is still open sends a packet in it.
RETENTION = datetime.timedelta(seconds=60)
VIEW_LIMIT = 16


class ViewHistory:
    """Pending, active and retained views of one service."""

    def add(
        self,
        view: service_views.ServiceView,
        age: datetime.timedelta,
        now: datetime.timedelta,
    ) -> bool:
        """Take in a view; return whether it was unknown."""
        raise NotImplementedError

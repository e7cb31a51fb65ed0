"""Settings of the forwarding decisions."""

import datetime

import msgspec

from acaciamoor import model
from acaciamoor import pacing as pacers


class CoreSettings(msgspec.Struct, frozen=True):
    """Settings of the forwarding decisions.

    Parameters
    ----------
    data_centre : DataCentre
        Data centre of this host.
    retry_timeout : datetime.timedelta
        Time without an answer after which the host sends an opening packet to
        another upstream. A handshake takes 3 to 8 ms between data centres.
        Callers retransmit after 200 ms, by which time most responses are
        overdue.
    opening_lifetime : datetime.timedelta
        Time after which callers of the platform abandon an unanswered
        opening.
    refusal_limit : datetime.timedelta
        Age of a first opening packet above which the flow is not refused.
        Callers retransmit after 200 ms, and the flow may since have been
        opened through another host.
    pause_threshold : datetime.timedelta
        Gap between two events above which the process is taken to have been
        paused. Opening packets in the socket buffer are then out of date.
    idle_timeout : datetime.timedelta
        Time after which a flow without packets is no longer tracked.
    hold_limit : datetime.timedelta
        Time for which a packet of an open flow waits for the first list of
        upstreams. By then its caller has retransmitted it or given up.
    host_id : HostId
        Identifier of this host.
    pacing : PacingSettings or None
        Settings for the pace at upstreams in warm-up; None if no bound is set.
    """

    data_centre: model.DataCentre
    retry_timeout: datetime.timedelta = datetime.timedelta(milliseconds=40)
    opening_lifetime: datetime.timedelta = datetime.timedelta(
        milliseconds=1400
    )
    refusal_limit: datetime.timedelta = datetime.timedelta(milliseconds=150)
    pause_threshold: datetime.timedelta = datetime.timedelta(milliseconds=1500)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=15)
    hold_limit: datetime.timedelta = datetime.timedelta(seconds=1)
    host_id: model.HostId = model.HostId('')
    pacing: pacers.PacingSettings | None = None

"""Estimation of how long messages of another host were on the way."""

import collections
import datetime

# Number of messages among which the fastest one serves as reference. A relay
# sends at least one in 0.4 s, so clocks drift by microseconds in the meantime.
_WINDOW = 32
# The same for load summaries, up to ten of which come in a second, and load
# reports, five of which do. With fewer, a path that is slow for three seconds
# would become the reference, and messages over it would look new.
SUMMARY_DELAY_WINDOW = 128
REPORT_DELAY_WINDOW = 64


class DelayEstimator:
    """Estimates delays from the clocks of sender and receiver.

    The clocks differ by an unknown constant, so the fastest of the last
    messages counts as undelayed, and the others are compared with it. A path
    that holds messages back for a time, and a process that is stopped between
    making a message and sending it, are noticed by the messages themselves.

    Parameters
    ----------
    window : int
        Number of messages among which the fastest one serves as reference.

    Examples
    --------
    >>> second = datetime.timedelta(seconds=1)
    >>> delays = DelayEstimator()
    >>> delays.record(100 * second, 7 * second) // second
    0
    >>> delays.record(101 * second, 9.5 * second) / second
    1.5
    """

    def __init__(self, window: int = _WINDOW) -> None:
        self._differences: collections.deque[datetime.timedelta] = (
            collections.deque(maxlen=window)
        )

    def record(
        self, sent_at: datetime.timedelta, received_at: datetime.timedelta
    ) -> datetime.timedelta:
        """Return the delay of a message.

        Parameters
        ----------
        sent_at : datetime.timedelta
            Time at which it was made, by the monotonic clock of the sender.
        received_at : datetime.timedelta
            Time at which it was received, by the monotonic clock of this host.
        """
        difference = received_at - sent_at
        self._differences.append(difference)
        return difference - min(self._differences)

"""Builders of test data: samples of upstreams of a known speed."""

import datetime

from acaciamoor import capacity

SECOND = datetime.timedelta(seconds=1)
INTERVAL_S = 0.2


class Load:
    """Gives an estimator the samples of upstreams, every 0.2 s."""

    def __init__(self) -> None:
        self.estimator = capacity.CapacityEstimator()
        self.now = 0 * SECOND

    def run(self, seconds, *upstreams, slots=2):
        """Add samples.

        Each upstream is its identifier, the requests in progress, and the
        service time in seconds at that number.
        """
        for _ in range(round(seconds / INTERVAL_S)):
            self.now += INTERVAL_S * SECOND
            for upstream_id, in_progress, service_time in upstreams:
                busy = min(in_progress, slots)
                finished = round(INTERVAL_S * busy / service_time)
                duration = service_time * in_progress / max(1, busy)
                self.estimator.update(
                    upstream_id,
                    slots,
                    capacity.CapacitySample(
                        INTERVAL_S, in_progress, finished, finished * duration
                    ),
                    self.now,
                    'desk',
                )

    def estimate(self, upstream_id):
        """Return the capacity of an upstream now."""
        return self.estimator.estimate(upstream_id, self.now)

"""Averages of the loads and demands that hosts share."""

import collections.abc
import datetime
import math

from acaciamoor import load_reports
from acaciamoor import model

# Time constant of the averages of levels and demands. A snapshot of the
# requests in progress holds for about 50 ms, less than its age; averages over
# 0.6 s made hosts swing (docs/design/measured-capacity.md).
_AVERAGING_TIME = datetime.timedelta(seconds=2)


class Average:
    """Exponentially weighted average of values that hold for some time."""

    __slots__ = ('updated_at', 'value')

    def __init__(self, value: float, now: datetime.timedelta) -> None:
        self.value = value
        self.updated_at = now

    def add(self, value: float, now: datetime.timedelta) -> float:
        """Add a value that has held since the last one."""
        decay = find_decay(self.updated_at, now)
        self.value = value + (self.value - value) * decay
        self.updated_at = now
        return self.value


def find_decay(before: datetime.timedelta, now: datetime.timedelta) -> float:
    """Return the weight that averages keep from one time to another."""
    return math.exp(-max(0.0, (now - before) / _AVERAGING_TIME))


class LoadAverages:
    """Averages of requests in progress, and of requests a second.

    Attributes
    ----------
    levels_by_id : dict
        Requests in progress, by upstream.
    demands_by_key : dict
        Requests a second, by service and data centre of the callers.
    """

    __slots__ = ('demands_by_key', 'levels_by_id')

    def __init__(self) -> None:
        self.levels_by_id: dict[model.UpstreamId, Average] = {}
        self.demands_by_key: dict[tuple[str, str], Average] = {}

    def demands_of(self, service: str) -> dict[str, float]:
        """Return the requests a second for a service, by data centre."""
        return {
            data_centre: average.value
            for (name, data_centre), average in self.demands_by_key.items()
            if name == service
        }

    def update_demands(
        self,
        summaries: collections.abc.Mapping[str, load_reports.LoadSummary],
        services_by_id: collections.abc.Mapping[model.UpstreamId, str],
        now: datetime.timedelta,
    ) -> None:
        """Add the demands of new summaries, by data centre."""
        rates: dict[tuple[str, str], float] = {}
        for data_centre, summary in summaries.items():
            if summary.interval <= 0.0:
                continue
            started_by_service: dict[str, int] = {}
            for load in summary.upstreams:
                service = services_by_id.get(load.upstream_id)
                if service is not None:
                    started_by_service[service] = (
                        started_by_service.get(service, 0) + load.started
                    )
            for service, started in started_by_service.items():
                rates[service, data_centre] = started / summary.interval
        for key in self.demands_by_key.keys() - rates.keys():
            del self.demands_by_key[key]
        for key, rate in rates.items():
            average = self.demands_by_key.get(key)
            if average is None:
                self.demands_by_key[key] = Average(rate, now)
            else:
                average.add(rate, now)

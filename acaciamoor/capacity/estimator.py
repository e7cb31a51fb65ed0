"""Measured capacity of upstreams.

By Little's law the time that a slot spends on a request is the time for which
slots were busy, divided by the requests that were answered. Unlike the
duration that a host sees, it holds no waiting time, and it rises at once when
an upstream stops answering.
"""

import collections
import datetime
import math
import statistics
import sys

import msgspec

from acaciamoor import model
from acaciamoor.capacity import concurrency

# Answers after which earlier ones have lost two thirds of their weight. The
# standard deviation of a service time is then 7%; a step is found by
# comparison with recent samples.
_AVERAGED_ANSWERS = 120.0
# The same in time. A slow upstream gets few flows, and with 4 s all hosts
# forgot that it is slow and tried it again together.
_AVERAGING_TIME = datetime.timedelta(seconds=15)
_AVERAGING_S = _AVERAGING_TIME.total_seconds()
# Samples of 0.2 s that are compared with the average. Two samples as well
# left 0.035 of the new flows late in the replay instead of 0.022, as a few
# short requests passed for a recovery.
_RECENT_SAMPLES = 4
# A step needs this ratio of service times, and this log-likelihood ratio of
# the two. At 6 a slow upstream was found up to a second later.
_STEP_RATIO = 1.6
_STEP_EVIDENCE = 3.5
# Answers as many as which the typical upstream of the service weighs.
_PRIOR_ANSWERS = 2.0
# Answers, or the time for them, from which an upstream counts as known.
_MIN_ANSWERS = 8.0
# Servers of one service differ by a factor of 2.5 in speed, by less than this
# from the typical one. One that is slower takes less than its slots well: its
# answers come late even if it has no queue. 2.5 and a power of 5 left 0.032 of
# the new flows late in the replay instead of 0.022.
_SLOW_RATIO = 2.2
_SLOW_EXPONENT = 8.0
# Upstreams without updates for this time are forgotten.
_RETENTION = datetime.timedelta(seconds=60)


class CapacitySample(msgspec.Struct, frozen=True):
    """Load of an upstream in one interval, as all hosts saw it together.

    Parameters
    ----------
    interval : float
        Length of the interval, in seconds.
    in_progress : int
        Requests in progress at its end.
    finished : float
        Requests that were answered; a fraction where they were counted over
        another interval.
    busy_seconds : float
        Sum of the durations of these, in seconds.
    """

    interval: float
    in_progress: int = 0
    finished: float = 0
    busy_seconds: float = 0.0


class Capacity(msgspec.Struct, frozen=True):
    """What an upstream takes well.

    Parameters
    ----------
    limit : float
        Requests in progress that it takes well.
    rate : float
        Requests a second at its best number in progress. If nothing is known
        about any upstream of the service, the number of slots.
    service_time : float
        Time that a slot spends on a request, in seconds; 0 if nothing is
        known about the service.
    known : bool
        Whether it was measured; otherwise it is that of the typical upstream.
    """

    limit: float
    rate: float
    service_time: float
    known: bool


class _Record:
    __slots__ = (
        'answers',
        'level',
        'profile',
        'recent',
        'seconds',
        'service',
        'slots',
        'updated_at',
    )

    def __init__(
        self, slots: int, service: str, now: datetime.timedelta
    ) -> None:
        self.slots = slots
        self.service = service
        self.updated_at = now
        # Requests in progress at the end of the last interval.
        self.level: int | None = None
        self.answers = 0.0
        # Time for which slots were busy.
        self.seconds = 0.0
        self.recent: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_RECENT_SAMPLES)
        )
        self.profile = concurrency.ConcurrencyProfile(slots)


class CapacityEstimator:
    """Estimates what each upstream takes well, and follows changes.

    Examples
    --------
    >>> estimator = CapacityEstimator()
    >>> for number in range(20):
    ...     estimator.update(
    ...         'desk-1',
    ...         2,
    ...         CapacitySample(0.2, 1, 6, 0.2),
    ...         datetime.timedelta(seconds=0.2 * number),
    ...     )
    >>> capacity = estimator.estimate('desk-1', datetime.timedelta(seconds=4))
    >>> capacity.known, capacity.limit, round(capacity.service_time, 2)
    (True, 2.0, 0.03)
    """

    def __init__(self) -> None:
        self._records_by_id: dict[model.UpstreamId, _Record] = {}
        # Service times of typical upstreams; cleared by updates.
        self._typical_by_service: dict[str, float] = {}

    def update(
        self,
        upstream_id: model.UpstreamId,
        slots: int,
        sample: CapacitySample,
        now: datetime.timedelta,
        service: str = '',
    ) -> None:
        """Add what all hosts saw of an upstream in one interval.

        Parameters
        ----------
        upstream_id : UpstreamId
            The upstream.
        slots : int
            Requests that it runs at once.
        sample : CapacitySample
            Its load; one without work if it was idle.
        now : datetime.timedelta
            Current time.
        service : str
            Its service; upstreams about which nothing is known count like
            the typical one of their service.
        """
        slots = max(1, slots)
        record = self._records_by_id.get(upstream_id)
        if (
            record is None
            or record.slots != slots
            or record.service != service
        ):
            # Requests of another service take another time.
            self.forget(upstream_id)
            record = _Record(slots, service, now)
            self._records_by_id[upstream_id] = record
        self._typical_by_service.pop(service, None)
        elapsed = max(0.0, (now - record.updated_at).total_seconds())
        record.updated_at = now
        level = sample.in_progress
        if record.level is not None:
            level = (level + record.level) / 2
        record.level = sample.in_progress
        if sample.interval <= 0.0:
            return
        # The levels show requests that are not answered; the durations have
        # less noise. Both have the same mean.
        in_progress = (level + sample.busy_seconds / sample.interval) / 2
        seconds = sample.interval * concurrency.busy_slots(in_progress, slots)
        # Beyond its knee an upstream is no slower than before.
        usual_seconds = seconds / record.profile.slowdown(in_progress, now)
        decay = math.exp(
            -elapsed / _AVERAGING_S - sample.finished / _AVERAGED_ANSWERS
        )
        record.answers = record.answers * decay + sample.finished
        record.seconds = record.seconds * decay + usual_seconds
        record.recent.append((sample.finished, usual_seconds))
        # Open flows keep a slow upstream beyond its knee. If that counted as a
        # larger slowdown there, it would pass for a fast one after 7 s.
        if (
            in_progress > 0.0 or sample.finished
        ) and not record.profile.is_slow(
            in_progress, record.seconds / max(1.0, record.answers), now
        ):
            record.profile.add(
                in_progress,
                sample.finished,
                sample.interval,
                seconds,
                now,
            )
        self._adopt_step(record, in_progress)

    def estimate(
        self, upstream_id: model.UpstreamId, now: datetime.timedelta
    ) -> Capacity:
        """Return what an upstream takes well.

        An upstream that was never updated has one slot. Old evidence loses
        weight in favour of the typical upstream of the service.
        """
        record = self._records_by_id.get(upstream_id)
        if record is None:
            return Capacity(1.0, 1.0, 0.0, False)
        typical = self._typical_service_time(record.service)
        if typical < concurrency.MIN_SERVICE_TIME:
            return Capacity(
                float(record.slots), float(record.slots), 0.0, False
            )
        elapsed = max(0.0, (now - record.updated_at).total_seconds())
        decay = math.exp(-elapsed / _AVERAGING_S)
        seconds = record.seconds * decay
        answers = record.answers * decay
        known = max(answers, seconds / typical) >= _MIN_ANSWERS
        service_time = (seconds + _PRIOR_ANSWERS * typical) / (
            answers + _PRIOR_ANSWERS
        )
        limit, rate = float(record.slots), record.slots / service_time
        if known and (best := record.profile.best(now)) is not None:
            limit, rate = best
            # After a step the profile still holds the old speed.
            rate = min(rate, limit / service_time)
        ratio = service_time / typical
        if ratio > _SLOW_RATIO:
            # The power of a tiny ratio is 0, by which the choice would divide.
            limit *= max(
                (_SLOW_RATIO / ratio) ** _SLOW_EXPONENT, sys.float_info.min
            )
        return Capacity(limit, rate, service_time, known)

    def forget(self, upstream_id: model.UpstreamId) -> None:
        """Remove the record of an upstream that no longer exists."""
        record = self._records_by_id.pop(upstream_id, None)
        if record is not None:
            self._typical_by_service.pop(record.service, None)

    def expire(self, now: datetime.timedelta) -> None:
        """Remove records without updates for a minute."""
        for upstream_id, record in list(self._records_by_id.items()):
            if now - record.updated_at > _RETENTION:
                self.forget(upstream_id)

    def _adopt_step(self, record: _Record, in_progress: float) -> None:
        """Forget what was before a step of the service time."""
        answers = seconds = 0.0
        # A loop takes half the time of two sums of generators.
        for recent_answers, recent_seconds in record.recent:
            answers += recent_answers
            seconds += recent_seconds
        if _is_step(
            answers,
            seconds,
            record.answers - answers,
            record.seconds - seconds,
        ):
            if seconds * record.answers > record.seconds * answers:
                record.profile.doubt_lower(in_progress)
            record.answers, record.seconds = answers, seconds

    def _typical_service_time(self, service: str) -> float:
        found = self._typical_by_service.get(service)
        if found is None:
            found = statistics.median_low(
                [
                    record.seconds / record.answers
                    for record in self._records_by_id.values()
                    if record.service == service
                    and record.answers >= _MIN_ANSWERS
                ]
                or [0.0]
            )
            self._typical_by_service[service] = found
        return found


def _is_step(
    answers: float,
    seconds: float,
    answers_before: float,
    seconds_before: float,
) -> bool:
    """Return whether the service time has changed for certain."""
    if answers_before <= 0.0 or seconds_before <= 0.0 or seconds <= 0.0:
        return False
    expected = seconds * answers_before / seconds_before
    ratio = answers / expected
    if 1.0 / _STEP_RATIO < ratio < _STEP_RATIO:
        return False
    evidence = expected - answers
    if answers:
        evidence += answers * math.log(ratio)
    return evidence >= _STEP_EVIDENCE

"""Openings that upstreams take, and their division among priorities."""

import collections.abc

from acaciamoor.admission import samples as admission_samples
from acaciamoor.admission import settings as admission_settings


def openings_to_admit(
    samples: admission_samples.Samples,
    settings: admission_settings.AdmissionSettings,
) -> float:
    """Return the openings a second that the upstreams take.

    It is the present number, corrected by the room for load. The number of
    open flows sets the size of the correction only, and its change over time
    is not used: flows that move to other hosts are counted twice until their
    old hosts forget them.
    """
    settling_s = settings.settling_time.total_seconds()
    opened = samples.opened
    # Flows of one request are gone before the picture shows them.
    flows = max(float(samples.last.open_flows), opened * settling_s / 2)
    return max(
        0.0, opened + flows * _spare_load(samples, settings) / settling_s
    )


def _spare_load(
    samples: admission_samples.Samples,
    settings: admission_settings.AdmissionSettings,
) -> float:
    """Return the room for further load, relative to the present one."""
    started, finished = samples.started, samples.finished
    if not finished:
        return -1.0 if started else 1.0
    load = samples.last.load
    rejected = samples.rejected
    spare = (
        1.0
        - (started - rejected) / finished
        + settings.queue_gain * (1.0 - load / settings.target_load)
        + max(0.0, 1.0 - load)
    )
    return max(
        -1.0, min(spare, settings.max_rejected - rejected / max(1, started))
    )


def divide(
    priorities: collections.abc.Sequence[int],
    sample: admission_samples.Sample,
    admitted: float,
    answered: float,
    min_share: float,
    shares_before: collections.abc.Mapping[int, float],
) -> dict[int, float]:
    """Return the shares of the priorities, the most important first.

    Only openings of the least important priority pay for the flows that are
    open. The most important ones are never refused for their priority, and
    those in between where they ask for more than the upstreams answer: single
    requests of theirs replace no long flow, and an upstream that is full
    rejects them itself.

    Parameters
    ----------
    priorities : sequence of int
        Priorities of the service, the most important first.
    sample : Sample
        Load in the newest picture.
    admitted : float
        Openings a second that may be admitted.
    answered : float
        Requests a second that the upstreams answer.
    min_share : float
        Part of the openings that each priority keeps at least.
    shares_before : Mapping
        Shares in force by now; empty before an overload.
    """
    shares_by_priority = {}
    floor = min_share * max(sample.offered - sample.refused, admitted)
    left, unanswered = admitted, answered
    share = 1.0
    for number, priority in enumerate(priorities):
        offered = sample.openings_by_priority.get(priority, 0.0)
        last = priority == priorities[-1]
        if not last and shares_before.get(priority, 1.0) >= 1.0:
            # All of these were refused for their caller, whose excess is no
            # demand to be met.
            offered -= sample.refused_by_priority.get(priority, 0.0)
        room = left if last else max(left, unanswered)
        if number and offered > 0.0:
            share = min(share, max(room, floor) / offered)
        shares_by_priority[priority] = share
        left -= share * offered
        unanswered -= share * offered
    return shares_by_priority


def limit_fall(
    shares_by_priority: collections.abc.Mapping[int, float],
    shares_before: collections.abc.Mapping[int, float],
    fall: float,
) -> dict[int, float]:
    """Return shares that are at most `fall` below those before."""
    return {
        priority: max(share, shares_before.get(priority, 1.0) - fall)
        for priority, share in shares_by_priority.items()
    }

"""Load patterns of a site with several data centres, at their worst.

Times are in seconds from the start, rates in requests a second.
"""

import dataclasses
import math

# Share of the upstreams' capacity that callers use on average.
_USUAL_LOAD = 0.55
# Requests a second that one upstream can serve: two slots, and 30 ms for a
# request of `opening_model` with its stragglers.
UPSTREAM_CAPACITY = 66.0
# The same for the mix of 39 and 30 ms, one of four requests being important.
CROWD_UPSTREAM_CAPACITY = 2 / (0.25 * 0.039 + 0.75 * 0.03)
CROWD_UPSTREAMS = 60
CROWD_S = (5.0, 11.0)
_END_S = 8.0
_DATA_CENTRES = 3
_UPSTREAMS = 15
# Period of the demand of a data centre.
WAVE_PERIOD_S = 8.0
# Hosts of the measured site.
_MANY_HOSTS = 75


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Requests of the callers of one data centre.

    Parameters
    ----------
    start_s, end_s : float
        The period.
    data_centre : int
        Data centre of the callers.
    rate : float
        Mean rate, in requests a second.
    wave : float
        Amplitude of the wave that the rate follows, as a share of the mean;
        data centres are out of phase.
    """

    start_s: float
    end_s: float
    data_centre: int
    rate: float
    wave: float = 0.0

    def level(self, now: float) -> float:
        """Return the rate at a time, relative to its peak."""
        phase = now / WAVE_PERIOD_S + self.data_centre / _DATA_CENTRES
        swing = self.wave * math.sin(2 * math.pi * phase)
        return (1.0 + swing) / (1.0 + self.wave)


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbance:
    """What is different about some upstreams for some time.

    Parameters
    ----------
    start_s, end_s : float
        The period.
    upstreams : frozenset of int
        Numbers of the upstreams.
    silent : bool
        Whether they answer nothing.
    listed : bool
        Whether hosts have them in their lists as ready.
    slowness : float
        Factor of the time that they need for a request.
    """

    start_s: float
    end_s: float
    upstreams: frozenset[int]
    silent: bool = False
    listed: bool = True
    slowness: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class SitePattern:
    """Demand of the callers of a site, and what happens meanwhile.

    Upstreams and hosts belong to the data centres in turn: number 0 to the
    first one, number 1 to the second one, and so on.

    Parameters
    ----------
    name : str
        Name of the pattern in results.
    demands : tuple of Demand
        Requests of callers.
    disturbances : tuple of Disturbance
        Changes of upstreams.
    data_centres, hosts, upstreams : int
        Size of the site.
    outage : tuple of float
        Start and end of a period without hosts.
    slots : int
        Slots of each upstream.
    speeds : tuple of float
        Speeds of the upstreams of a data centre, in turn.
    knees : tuple of int
        The same for the busy slots from which on an upstream slows, with the
        square of the busy slots; 0 if it does not.
    measured_s : tuple of float
        Period in which late new flows, rejected arrivals and the busiest
        upstream are measured.
    """

    name: str
    demands: tuple[Demand, ...]
    disturbances: tuple[Disturbance, ...] = ()
    data_centres: int = _DATA_CENTRES
    hosts: int = 9
    upstreams: int = _UPSTREAMS
    outage: tuple[float, float] = (0.0, 0.0)
    slots: int = 2
    speeds: tuple[float, ...] = (1.0,)
    knees: tuple[int, ...] = (0,)
    measured_s: tuple[float, float] = (0.0, _END_S)

    def speed(self, number: int) -> float:
        """Return the speed of an upstream without load."""
        return self.speeds[number // self.data_centres % len(self.speeds)]

    def knee(self, number: int) -> int:
        """Return the busy slots from which on an upstream slows."""
        return self.knees[number // self.data_centres % len(self.knees)]

    def capacity(self, number: int) -> float:
        """Return the requests a second that an upstream can serve."""
        slots = self.knee(number) or self.slots
        return UPSTREAM_CAPACITY * self.speed(number) * slots / 2

    @property
    def end_s(self) -> float:
        """End of the last demand."""
        return max(demand.end_s for demand in self.demands)


def _usual_rate() -> float:
    """Return the usual rate of the callers of one data centre."""
    return _USUAL_LOAD * UPSTREAM_CAPACITY * _UPSTREAMS / _DATA_CENTRES


def _usual_demand(
    data_centres: range = range(_DATA_CENTRES),
    start_s: float = 0.0,
    end_s: float = _END_S,
    factor: float = 1.0,
) -> tuple[Demand, ...]:
    return tuple(
        Demand(start_s, end_s, data_centre, factor * _usual_rate())
        for data_centre in data_centres
    )


def usual_demand() -> SitePattern:
    """Return the usual demand in all data centres."""
    return SitePattern('usual demand', _usual_demand())


def burst_in_a_data_centre() -> SitePattern:
    """Return twice the usual demand in one data centre for three seconds."""
    return SitePattern(
        'burst in a data centre',
        (*_usual_demand(), Demand(2.0, 5.0, 0, 0.9 * _usual_rate())),
    )


def data_centre_without_upstreams() -> SitePattern:
    """Return upstreams of one data centre that all drain for three seconds."""
    return SitePattern(
        'data centre without upstreams',
        _usual_demand(),
        (
            Disturbance(
                2.0,
                5.0,
                frozenset(range(0, _UPSTREAMS, _DATA_CENTRES)),
                listed=False,
            ),
        ),
    )


def flapping_upstreams() -> SitePattern:
    """Return half of the upstreams, silent every other second."""
    half = frozenset(range(0, _UPSTREAMS, 2))
    return SitePattern(
        'flapping upstreams',
        _usual_demand(),
        tuple(
            Disturbance(start, start + 1.0, half, silent=True)
            for start in (1.0, 3.0, 5.0)
        ),
    )


def return_of_all_callers() -> SitePattern:
    """Return callers that waited for 1.2 s for hosts that lost power."""
    return SitePattern(
        'return of all callers', _usual_demand(), outage=(2.0, 3.2)
    )


def shift_of_callers() -> SitePattern:
    """Return half of the callers of two data centres that use the third."""
    return SitePattern(
        'shift of callers',
        (
            *_usual_demand(end_s=2.0),
            *_usual_demand(range(1, _DATA_CENTRES), 2.0, _END_S, 0.5),
            *_usual_demand(range(1), 2.0, _END_S, 2.0),
        ),
    )


def cold_upstreams() -> SitePattern:
    """Return half of the upstreams, replaced by ones that warm up for 2 s."""
    return SitePattern(
        'cold upstreams',
        _usual_demand(factor=1.2),
        (
            Disturbance(
                2.0, 4.0, frozenset(range(0, _UPSTREAMS, 2)), slowness=1.6
            ),
        ),
    )


def _site_demand(
    pattern: SitePattern,
    load: float,
    period_s: tuple[float, float],
    wave: float = 0.0,
) -> tuple[Demand, ...]:
    """Return equal demands of `load` times the capacity of a site."""
    capacity = sum(map(pattern.capacity, range(pattern.upstreams)))
    return tuple(
        Demand(*period_s, number, load * capacity / pattern.data_centres, wave)
        for number in range(pattern.data_centres)
    )


def slow_upstreams() -> SitePattern:
    """Return two fifths of the upstreams, five times slower for 8 s.

    The demand is a third of what the others can serve.
    """
    slow = frozenset(range(2 * _UPSTREAMS // 5))
    empty = SitePattern('slow upstreams', (), hosts=_MANY_HOSTS)
    load = (1.0 - len(slow) / _UPSTREAMS) / 3
    return dataclasses.replace(
        empty,
        demands=_site_demand(empty, load, (0.0, 11.0)),
        disturbances=(Disturbance(3.0, 11.0, slow, slowness=5.0),),
        measured_s=(4.0, 11.0),
    )


def overload() -> SitePattern:
    """Return a demand of 1.2 times the slots for 6 s."""
    empty = SitePattern('overload', (), hosts=_MANY_HOSTS)
    return dataclasses.replace(
        empty,
        demands=(
            *_site_demand(empty, _USUAL_LOAD, (0.0, 10.0)),
            *_site_demand(empty, 1.2 - _USUAL_LOAD, (2.0, 8.0)),
        ),
        measured_s=(2.0, 8.0),
    )


def unequal_speeds() -> SitePattern:
    """Return upstreams that differ in speed by a factor of 2.5."""
    empty = SitePattern(
        'unequal speeds',
        (),
        hosts=_MANY_HOSTS,
        upstreams=18,
        speeds=(0.7, 0.7, 1.7),
    )
    return dataclasses.replace(
        empty,
        demands=_site_demand(empty, 0.7, (0.0, 20.0)),
        measured_s=(4.0, 20.0),
    )


def uneven_demand() -> SitePattern:
    """Return a demand in waves of 0.55, out of phase."""
    empty = SitePattern('uneven demand', (), hosts=_MANY_HOSTS)
    return dataclasses.replace(
        empty,
        demands=_site_demand(empty, 0.65, (0.0, 16.0), 0.55),
        measured_s=(2.0, 16.0),
    )


def early_knee() -> SitePattern:
    """Return upstreams of which a third slows long before it is full."""
    empty = SitePattern(
        'early knee',
        (),
        hosts=_MANY_HOSTS,
        upstreams=9,
        slots=8,
        knees=(0, 0, 3),
    )
    return dataclasses.replace(
        empty,
        demands=_site_demand(empty, 0.75, (0.0, 12.0)),
        measured_s=(4.0, 12.0),
    )


def crowd(factor: float) -> SitePattern:
    """Return a crowd that needs `factor` times the slots for six seconds.

    The kinds of requests are those of `crowd_model`. The usual demand lasts
    long enough before it that as many long flows are open as usual.
    """
    rate = CROWD_UPSTREAMS * CROWD_UPSTREAM_CAPACITY
    start, end = CROWD_S
    return SitePattern(
        f'crowd of {factor} times the slots',
        (
            Demand(0.0, start, 0, _USUAL_LOAD * rate),
            Demand(start, end, 0, factor * rate),
            Demand(end, end + 5.0, 0, _USUAL_LOAD * rate),
        ),
        data_centres=1,
        hosts=_MANY_HOSTS,
        upstreams=CROWD_UPSTREAMS,
        measured_s=CROWD_S,
    )


# Patterns of upstreams whose capacity hosts must measure.
CAPACITY_PATTERNS = (
    slow_upstreams,
    overload,
    unequal_speeds,
    uneven_demand,
    early_knee,
)
PATTERNS = (
    usual_demand,
    burst_in_a_data_centre,
    data_centre_without_upstreams,
    flapping_upstreams,
    return_of_all_callers,
    shift_of_callers,
    cold_upstreams,
)

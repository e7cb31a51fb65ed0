"""Load patterns for the decisions of one host about new flows.

A pattern holds the arrivals of callers and what happens to upstreams and to
the host while they arrive. Times are in seconds from the start.
"""

import dataclasses
import random


@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """Upstreams that do not answer, and are not listed, for some time.

    Parameters
    ----------
    start_s, end_s : float
        Period in which the upstreams do not answer.
    upstreams : int
        Number of upstreams, counted from the first one.
    listed : bool
        Whether their entries stay in the lists of the host.
    """

    start_s: float
    end_s: float
    upstreams: int
    listed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """Arrivals of callers at one host, and the faults beside them.

    Parameters
    ----------
    name : str
        Name of the pattern in results.
    arrivals_s : tuple of float
        Times at which callers open flows.
    upstreams : int
        Number of upstreams of the service.
    packet_cost_s : float
        Time that the host needs for each packet.
    lists_at_s : float
        Time at which the host receives routes and upstreams.
    outages : tuple of Outage
        Failures of upstreams.
    sent_on_open_flows_s : tuple of float
        Times at which callers send a packet on flows that are open. They may
        be before the start of the host; only the copies reach it then.
    """

    name: str
    arrivals_s: tuple[float, ...]
    upstreams: int = 8
    packet_cost_s: float = 0.0001
    lists_at_s: float = 0.0
    outages: tuple[Outage, ...] = ()
    sent_on_open_flows_s: tuple[float, ...] = ()


def poisson(
    rate: float, start_s: float, end_s: float, seed: int
) -> tuple[float, ...]:
    """Return arrivals at random times with a mean `rate` per second."""
    rng = random.Random(seed)
    found = []
    now = start_s + rng.expovariate(rate)
    while now < end_s:
        found.append(now)
        now += rng.expovariate(rate)
    return tuple(found)


def slow_host_at_peak(seed: int) -> Pattern:
    """Return a burst that a slow host works off for half a second.

    Every flow takes two packets, so the host can open 100 flows a second.
    """
    return Pattern(
        'slow host at the peak',
        poisson(60, 0.0, 1.0, seed)
        + poisson(170, 1.0, 2.0, seed + 1)
        + poisson(40, 2.0, 4.0, seed + 2),
        packet_cost_s=0.005,
    )


def gap_in_a_release(seed: int) -> Pattern:
    """Return upstreams that end 0.3 s before their successors register."""
    return Pattern(
        'gap in a release',
        poisson(60, 0.0, 3.0, seed),
        outages=(Outage(1.0, 1.3, 8),),
    )


def service_without_upstreams(seed: int) -> Pattern:
    """Return a service that loses all upstreams for ten seconds."""
    return Pattern(
        'service without upstreams',
        poisson(60, 0.0, 12.0, seed),
        outages=(Outage(1.0, 11.0, 8),),
    )


def start_without_lists(seed: int) -> Pattern:
    """Return callers that arrive while a host waits for its lists."""
    return Pattern(
        'start without lists',
        poisson(60, 0.0, 2.0, seed),
        lists_at_s=0.45,
    )


def return_after_a_power_cut(seed: int) -> Pattern:
    """Return a host that starts 1.2 s after all hosts lost power.

    Callers have sent opening packets, and packets on open flows, all the
    while. The lists arrive 75 ms after the process has started.
    """
    return Pattern(
        'return after a power cut',
        poisson(60, 0.0, 2.0, seed),
        lists_at_s=0.075,
        sent_on_open_flows_s=poisson(100, -1.2, 0.5, seed + 1),
    )


def half_of_the_upstreams_fail(seed: int) -> Pattern:
    """Return upstreams that fall silent while they are still listed."""
    return Pattern(
        'half of the upstreams fail',
        poisson(60, 0.0, 4.0, seed),
        outages=(Outage(1.0, 3.5, 4, listed=True),),
    )


PATTERNS = (
    slow_host_at_peak,
    gap_in_a_release,
    service_without_upstreams,
    start_without_lists,
    return_after_a_power_cut,
    half_of_the_upstreams_fail,
)

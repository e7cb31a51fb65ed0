"""Size to design for, and the limits of a node at that size."""

import dataclasses

_SECONDS_PER_DAY = 86_400


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Size of the whole system.

    Parameters
    ----------
    nodes : int
        Hosts with a balancer.
    upstreams : int
        Upstreams of all services.
    addresses : int
        Service addresses; one service each.
    open_flows : int
        Flows that are open at the same time.
    new_flows : int
        New flows a second.
    regions, data_centres : int
        Where the hosts are.
    changes : int
        Configuration changes a day.
    failures, restarts : int
        Hosts that fail, and that are restarted or replaced, a day.

    Examples
    --------
    >>> round(PLAN.nodes_in_data_centre), round(PLAN.flows_per_node)
    (367, 10909)
    """

    nodes: int = 11_000
    upstreams: int = 70_000
    addresses: int = 31_000
    open_flows: int = 120_000_000
    new_flows: int = 690_000
    regions: int = 10
    data_centres: int = 30
    changes: int = 12_000
    failures: int = 300
    restarts: int = 26_000

    @property
    def nodes_in_data_centre(self) -> float:
        """Hosts of a mean data centre."""
        return self.nodes / self.data_centres

    @property
    def upstreams_in_data_centre(self) -> float:
        """Upstreams of a mean data centre."""
        return self.upstreams / self.data_centres

    @property
    def services_in_data_centre(self) -> float:
        """Services with upstreams in a mean data centre."""
        return self.addresses / self.data_centres

    @property
    def upstreams_per_service(self) -> float:
        """Mean number of upstreams of a service."""
        return self.upstreams / self.addresses

    @property
    def flows_per_node(self) -> float:
        """Open flows of a mean node."""
        return self.open_flows / self.nodes

    @property
    def new_flows_per_node(self) -> float:
        """New flows a second at a mean node."""
        return self.new_flows / self.nodes

    @property
    def changes_per_second(self) -> float:
        """Configuration changes a second in the whole system."""
        return self.changes / _SECONDS_PER_DAY

    @property
    def member_changes_per_second(self) -> float:
        """Changes of the live hosts a second in one data centre.

        A failure and a restart each take a host out and bring one in.
        """
        daily = 2 * (self.failures + self.restarts)
        return daily / _SECONDS_PER_DAY / self.data_centres


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What control may cost on one node, and how soon a change is in force.

    Parameters
    ----------
    core_share : float
        Share of one processor core.
    memory_bytes : int
        Resident memory.
    bytes_per_second : int
        Control traffic, sent or received.
    in_force_seconds : float
        Time until a change is in force everywhere.
    platform_reads, platform_writes : int
        Calls a second that the platform takes.
    value_bytes : int
        Size of one stored value.
    """

    core_share: float = 0.016
    memory_bytes: int = 256_000_000
    bytes_per_second: int = 9_000
    in_force_seconds: float = 13.0
    platform_reads: int = 2_000
    platform_writes: int = 300
    value_bytes: int = 1_000_000


PLAN = Plan()
LIMITS = Limits()

"""Scale that the system is designed for, and cost limits at that scale."""

import dataclasses

_SECONDS_PER_DAY = 86_400


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Planned scale of the whole system.

    Parameters
    ----------
    hosts : int
        Hosts that run a balancer.
    upstreams : int
        Upstreams of all services.
    services : int
        Services; each has one address.
    open_flows : int
        Concurrent flows.
    new_flows_per_second : int
        Rate of new flows.
    regions, data_centres : int
        Regions and data centres that the hosts are in.
    changes_per_day : int
        Configuration changes per day.
    failures_per_day, restarts_per_day : int
        Hosts that fail, and that are restarted or replaced, per day.

    Examples
    --------
    >>> round(PLAN.hosts_per_data_centre), round(PLAN.open_flows_per_host)
    (367, 10909)
    """

    hosts: int = 11_000
    upstreams: int = 70_000
    services: int = 31_000
    open_flows: int = 120_000_000
    new_flows_per_second: int = 690_000
    regions: int = 10
    data_centres: int = 30
    changes_per_day: int = 12_000
    failures_per_day: int = 300
    restarts_per_day: int = 26_000

    @property
    def hosts_per_data_centre(self) -> float:
        """Mean number of hosts of a data centre."""
        return self.hosts / self.data_centres

    @property
    def upstreams_per_data_centre(self) -> float:
        """Mean number of upstreams of a data centre."""
        return self.upstreams / self.data_centres

    @property
    def services_per_data_centre(self) -> float:
        """Mean number of services with upstreams in a data centre."""
        return self.services / self.data_centres

    @property
    def upstreams_per_service(self) -> float:
        """Mean number of upstreams of a service."""
        return self.upstreams / self.services

    @property
    def open_flows_per_host(self) -> float:
        """Mean number of concurrent flows of a host."""
        return self.open_flows / self.hosts

    @property
    def new_flows_per_second_per_host(self) -> float:
        """Mean rate of new flows at a host."""
        return self.new_flows_per_second / self.hosts

    @property
    def changes_per_second(self) -> float:
        """Rate of configuration changes in the whole system."""
        return self.changes_per_day / _SECONDS_PER_DAY

    @property
    def membership_changes_per_second(self) -> float:
        """Rate of membership changes in one data centre.

        A failure or restart causes two changes: a host leaves and a host
        joins.
        """
        membership_changes_per_day = 2 * (
            self.failures_per_day + self.restarts_per_day
        )
        return (
            membership_changes_per_day / _SECONDS_PER_DAY / self.data_centres
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the control cost of a host, of delays and of the platform.

    Parameters
    ----------
    control_cores : float
        Processor time of control tasks on a host, in cores.
    memory_bytes : int
        Resident memory of a balancer.
    control_bytes_per_second : int
        Control traffic of a host, sent or received.
    in_force_seconds : float
        Time until a change is in force on all hosts.
    platform_reads_per_second, platform_writes_per_second : int
        Request rates that the platform can handle.
    stored_value_bytes : int
        Size of a value in the store of the platform.
    """

    control_cores: float = 0.016
    memory_bytes: int = 256_000_000
    control_bytes_per_second: int = 9_000
    in_force_seconds: float = 13.0
    platform_reads_per_second: int = 2_000
    platform_writes_per_second: int = 300
    stored_value_bytes: int = 1_000_000


PLAN = Plan()
LIMITS = Limits()

"""Projected cost of each role at the planned scale.

Every cost is the prediction of a fit at some size, usually multiplied by a
rate. Nothing is measured at the planned scale itself.
"""

import collections.abc
import dataclasses

from acaciamoor.load import scaling
from acaciamoor.load.capacity import plan as plans

_SECONDS_PER_DAY = 86_400
# Mean interval at which a host reads the host list.
HOST_LIST_INTERVAL_S = 30
# A watch is a long-lived call that is renewed when its connection closes.
WATCH_LIFETIME_S = 300
RELAYS_PER_DATA_CENTRE = 2
# Every record is stored on two owners, so the hosts of a data centre hold
# twice as many records as there are recorded flows.
_OWNERS_PER_FLOW = 2
# Share of the flows of a service that need a record while one of its seven
# upstreams drains.
RECORDED_FLOW_SHARE = 1 / 7
# Time for which the ledger keeps a request.
LEDGER_RETENTION_S = 30


@dataclasses.dataclass(frozen=True, slots=True)
class RoleCost:
    """One cost of a role, with its limit.

    Parameters
    ----------
    role : str
        Role of a process, or ``platform``.
    measure : str
        Quantity that is projected.
    value : float
        Cost at the planned scale.
    unit : str
        Unit of `value` and `limit`.
    limit : float or None
        Limit for `value`; None if there is none.
    """

    role: str
    measure: str
    value: float
    unit: str
    limit: float | None = None

    @property
    def is_met(self) -> bool:
        """Whether the cost is within its limit, if there is one."""
        return self.limit is None or self.value <= self.limit


class Projection:
    """Projects costs from fits of measured values.

    Parameters
    ----------
    fits : iterable of ScalingFit
        Fits of all benchmarks; they are looked up by name.
    base_memory_bytes : int
        Resident memory of a balancer process without any state.
    plan : Plan
        Planned scale.
    limits : Limits
        Limits at that scale.
    """

    def __init__(
        self,
        fits: collections.abc.Iterable[scaling.ScalingFit],
        base_memory_bytes: int,
        plan: plans.Plan = plans.PLAN,
        limits: plans.Limits = plans.LIMITS,
    ) -> None:
        self._fits_by_name = {fit.name: fit for fit in fits}
        self._base_memory_bytes = base_memory_bytes
        self._plan = plan
        self._limits = limits

    def costs(self) -> list[RoleCost]:
        """Return the costs of all roles."""
        return [
            *self._balancer_traffic(),
            *self._balancer_processor(),
            *self._balancer_memory(),
            *self._relay_traffic(),
            *self._placer_load(),
            *self._platform_load(),
        ]

    def _predict(self, name: str, size: float) -> float:
        return self._fits_by_name[name].predict(size)

    def _change_bytes(self) -> float:
        return self._predict(
            'encoded configuration change', self._plan.upstreams_per_service
        )

    def _balancer_traffic(self) -> list[RoleCost]:
        plan = self._plan
        hosts = plan.hosts_per_data_centre
        probes = self._predict('probe bytes sent by a host', hosts)
        changes = plan.changes_per_second * self._change_bytes()
        host_list = (
            self._predict('encoded host list', hosts) / HOST_LIST_INTERVAL_S
        )
        total = probes + changes + host_list
        return [
            RoleCost('balancer', 'probes', probes, 'B/s'),
            RoleCost(
                'balancer',
                'probe messages',
                self._predict('probe messages sent by a host', hosts),
                '1/s',
            ),
            RoleCost('balancer', 'configuration changes', changes, 'B/s'),
            RoleCost('balancer', 'reads of the host list', host_list, 'B/s'),
            RoleCost(
                'balancer',
                'control traffic',
                total,
                'B/s',
                self._limits.control_bytes_per_second,
            ),
        ]

    def _balancer_processor(self) -> list[RoleCost]:
        plan = self._plan
        hosts = plan.hosts_per_data_centre
        probes = self._predict('processor share of probes at a host', hosts)
        membership = plan.membership_changes_per_second * self._predict(
            'processor time of a change of members', hosts
        )
        views = (plan.changes_per_second / plan.data_centres) * self._predict(
            'processor time of a view', plan.upstreams_per_service
        )
        return [
            RoleCost('balancer', 'probes', probes, 'cores'),
            RoleCost('balancer', 'changes of members', membership, 'cores'),
            RoleCost('balancer', 'new views', views, 'cores'),
            RoleCost(
                'balancer',
                'control processor time',
                probes + membership + views,
                'cores',
                self._limits.control_cores,
            ),
        ]

    def _balancer_memory(self) -> list[RoleCost]:
        plan = self._plan
        configuration = self._predict(
            'memory of the configuration', plan.services
        )
        views = self._predict('memory of views', plan.services_per_data_centre)
        records = self._predict(
            'memory of records',
            _OWNERS_PER_FLOW * plan.open_flows_per_host * RECORDED_FLOW_SHARE,
        )
        parts = [
            RoleCost('balancer', 'process', self._base_memory_bytes, 'B'),
            RoleCost(
                'balancer', 'configuration, all services', configuration, 'B'
            ),
            RoleCost('balancer', 'views of the data centre', views, 'B'),
            RoleCost('balancer', 'records of exceptions', records, 'B'),
        ]
        total = sum(part.value for part in parts)
        return [
            *parts,
            RoleCost(
                'balancer', 'memory', total, 'B', self._limits.memory_bytes
            ),
        ]

    def _relay_traffic(self) -> list[RoleCost]:
        plan = self._plan
        watch = plan.changes_per_second * self._change_bytes()
        return [
            RoleCost('relay', 'changes from the watch', watch, 'B/s'),
            # The first relay writes the status object at most every 2 s.
            RoleCost(
                'relay',
                'status writes, most',
                1 / 2,
                '1/s',
            ),
        ]

    def _placer_load(self) -> list[RoleCost]:
        plan = self._plan
        requests = plan.new_flows_per_second_per_host
        processor_cores = requests * self._predict(
            'processor time of a request at its placer',
            plan.upstreams_per_service,
        )
        ledger = self._predict(
            'memory of the ledger', requests * LEDGER_RETENTION_S
        )
        return [
            RoleCost('placer', 'requests of a mean node', requests, '1/s'),
            RoleCost(
                'placer',
                'processor time, if all flows are work',
                processor_cores,
                'cores',
            ),
            RoleCost('placer', 'memory of ledgers', ledger, 'B'),
        ]

    def _platform_load(self) -> list[RoleCost]:
        plan, limits = self._plan, self._limits
        relays = RELAYS_PER_DATA_CENTRE * plan.data_centres
        watch_renewals = relays / WATCH_LIFETIME_S
        host_list_reads = plan.hosts / HOST_LIST_INTERVAL_S
        restarts = plan.restarts_per_day / _SECONDS_PER_DAY
        reads = watch_renewals + host_list_reads + restarts
        # A change writes a service and at most two address claims. The first
        # relay of every data centre then updates the status object, with one
        # read and one write.
        writes = plan.changes_per_second * (3 + plan.data_centres)
        return [
            RoleCost('platform', 'waiting watches', relays, 'calls'),
            RoleCost('platform', 'watches renewed', watch_renewals, '1/s'),
            RoleCost(
                'platform', 'reads of the host list', host_list_reads, '1/s'
            ),
            RoleCost('platform', 'reads at restarts', restarts, '1/s'),
            RoleCost(
                'platform',
                'reads',
                reads + plan.changes_per_second * plan.data_centres,
                '1/s',
                limits.platform_reads_per_second,
            ),
            RoleCost(
                'platform',
                'writes',
                writes,
                '1/s',
                limits.platform_writes_per_second,
            ),
            RoleCost(
                'platform',
                # 2,333 is the mean number of upstreams of a data centre.
                'largest service value',
                self._predict('encoded configuration change', 2_333),
                'B',
                limits.stored_value_bytes,
            ),
        ]

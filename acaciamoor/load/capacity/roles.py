"""Cost of each role at the planned size, worked out from slopes.

Every figure is a slope at a size, times a rate. No figure is measured at the
planned size itself.
"""

import collections.abc
import dataclasses

from acaciamoor.load import scaling
from acaciamoor.load.capacity import plan as plans

_DAY_S = 86_400
# Mean time between two reads of the host list by one host, in seconds.
HOST_LIST_INTERVAL_S = 30
# A watch is a call; it is renewed when its connection ends.
WATCH_LIFETIME_S = 300
RELAYS = 2
# An owner holds two records of each exception: one for itself and, for other
# flows, one as the second owner.
_OWNERS = 2
# Share of a service's flows that become exceptions when one of seven
# upstreams drains.
EXCEPTION_SHARE = 1 / 7
# Time for which the ledger keeps a request, in seconds.
LEDGER_RETENTION_S = 30


@dataclasses.dataclass(frozen=True, slots=True)
class RoleFigure:
    """One cost of a role beside its limit.

    Parameters
    ----------
    role : str
        Role of a process, or ``platform``.
    measure : str
        What is counted.
    value : float
        Cost at the planned size.
    unit : str
        Unit of `value` and `limit`.
    limit : float or None
        Limit of the plan, if one is stated.
    """

    role: str
    measure: str
    value: float
    unit: str
    limit: float | None = None

    @property
    def is_met(self) -> bool:
        """Whether the cost is within its limit."""
        return self.limit is None or self.value <= self.limit


class Projection:
    """Works out the costs from measured slopes.

    Parameters
    ----------
    measured : iterable of ScalingFit
        Slopes with the names that the probes give them.
    base_memory : int
        Resident memory of a balancer process without any state, in bytes.
    plan : Plan
        Size to design for.
    limits : Limits
        Limits at that size.
    """

    def __init__(
        self,
        measured: collections.abc.Iterable[scaling.ScalingFit],
        base_memory: int,
        plan: plans.Plan = plans.PLAN,
        limits: plans.Limits = plans.LIMITS,
    ) -> None:
        self._slopes_by_name = {slope.name: slope for slope in measured}
        self._base_memory = base_memory
        self._plan = plan
        self._limits = limits

    def figures(self) -> list[RoleFigure]:
        """Return the costs of all roles."""
        return [
            *self._balancer_traffic(),
            *self._balancer_processor(),
            *self._balancer_memory(),
            *self._relay(),
            *self._placer(),
            *self._platform(),
        ]

    def _at(self, name: str, size: float) -> float:
        return self._slopes_by_name[name].predict(size)

    def _change_bytes(self) -> float:
        return self._at(
            'encoded configuration change', self._plan.upstreams_per_service
        )

    def _balancer_traffic(self) -> list[RoleFigure]:
        plan = self._plan
        hosts = plan.nodes_in_data_centre
        probes = self._at('probe bytes sent by a host', hosts)
        changes = plan.changes_per_second * self._change_bytes()
        listed = self._at('encoded host list', hosts) / HOST_LIST_INTERVAL_S
        total = probes + changes + listed
        return [
            RoleFigure('balancer', 'probes', probes, 'B/s'),
            RoleFigure(
                'balancer',
                'probe messages',
                self._at('probe messages sent by a host', hosts),
                '1/s',
            ),
            RoleFigure('balancer', 'configuration changes', changes, 'B/s'),
            RoleFigure('balancer', 'reads of the host list', listed, 'B/s'),
            RoleFigure(
                'balancer',
                'control traffic',
                total,
                'B/s',
                self._limits.bytes_per_second,
            ),
        ]

    def _balancer_processor(self) -> list[RoleFigure]:
        plan = self._plan
        hosts = plan.nodes_in_data_centre
        probes = self._at('processor share of probes at a host', hosts)
        members = plan.member_changes_per_second * self._at(
            'processor time of a change of members', hosts
        )
        views = (plan.changes_per_second / plan.data_centres) * self._at(
            'processor time of a view', plan.upstreams_per_service
        )
        return [
            RoleFigure('balancer', 'probes', probes, 'cores'),
            RoleFigure('balancer', 'changes of members', members, 'cores'),
            RoleFigure('balancer', 'new views', views, 'cores'),
            RoleFigure(
                'balancer',
                'control processor time',
                probes + members + views,
                'cores',
                self._limits.core_share,
            ),
        ]

    def _balancer_memory(self) -> list[RoleFigure]:
        plan = self._plan
        configuration = self._at('memory of the configuration', plan.addresses)
        views = self._at('memory of views', plan.services_in_data_centre)
        records = self._at(
            'memory of records',
            _OWNERS * plan.flows_per_node * EXCEPTION_SHARE,
        )
        parts = [
            RoleFigure('balancer', 'process', self._base_memory, 'B'),
            RoleFigure(
                'balancer', 'configuration, all services', configuration, 'B'
            ),
            RoleFigure('balancer', 'views of the data centre', views, 'B'),
            RoleFigure('balancer', 'records of exceptions', records, 'B'),
        ]
        total = sum(part.value for part in parts)
        return [
            *parts,
            RoleFigure(
                'balancer', 'memory', total, 'B', self._limits.memory_bytes
            ),
        ]

    def _relay(self) -> list[RoleFigure]:
        plan = self._plan
        watch = plan.changes_per_second * self._change_bytes()
        return [
            RoleFigure('relay', 'changes from the watch', watch, 'B/s'),
            RoleFigure(
                'relay',
                'status writes, most',
                1 / 2,
                '1/s',
            ),
        ]

    def _placer(self) -> list[RoleFigure]:
        plan = self._plan
        requests = plan.new_flows_per_node
        share = requests * self._at(
            'processor time of a request at its placer',
            plan.upstreams_per_service,
        )
        ledger = self._at(
            'memory of the ledger', requests * LEDGER_RETENTION_S
        )
        return [
            RoleFigure('placer', 'requests of a mean node', requests, '1/s'),
            RoleFigure(
                'placer',
                'processor time, if all flows are work',
                share,
                'cores',
            ),
            RoleFigure('placer', 'memory of ledgers', ledger, 'B'),
        ]

    def _platform(self) -> list[RoleFigure]:
        plan, limits = self._plan, self._limits
        relays = RELAYS * plan.data_centres
        watches = relays / WATCH_LIFETIME_S
        hosts = plan.nodes / HOST_LIST_INTERVAL_S
        restarts = plan.restarts / _DAY_S
        reads = watches + hosts + restarts
        # A change writes a service and at most two claims; every data centre
        # then reports its version, the first relay reading before it writes.
        writes = plan.changes_per_second * (3 + plan.data_centres)
        return [
            RoleFigure('platform', 'waiting watches', relays, 'calls'),
            RoleFigure('platform', 'watches renewed', watches, '1/s'),
            RoleFigure('platform', 'reads of the host list', hosts, '1/s'),
            RoleFigure('platform', 'reads at restarts', restarts, '1/s'),
            RoleFigure(
                'platform',
                'reads',
                reads + plan.changes_per_second * plan.data_centres,
                '1/s',
                limits.platform_reads,
            ),
            RoleFigure(
                'platform', 'writes', writes, '1/s', limits.platform_writes
            ),
            RoleFigure(
                'platform',
                'largest service value',
                self._at('encoded configuration change', 2_333),
                'B',
                limits.value_bytes,
            ),
        ]

"""Runs the same faults against the naive routers and the flow router.

The oracle of the cluster records the first upstream of every flow. A flow is
broken if a later packet reaches another upstream, or is refused permanently
although the first one is live.
"""

import datetime
import unittest

from acaciamoor.load.scenarios import flow_experiment
from acaciamoor.load.scenarios import registry

OPTIONS = registry.Options(duration=datetime.timedelta(seconds=30))
FLOW_COUNT = 600
VIEW_SPREAD = datetime.timedelta(seconds=2)


def add_upstream(experiment):
    experiment.publish(2, 8, spread=VIEW_SPREAD)


def drain_upstream(experiment):
    experiment.publish(2, 7, {0}, spread=VIEW_SPREAD)


def deliver_view_late(experiment):
    late = experiment.cluster.running[:1]
    experiment.publish(2, 8, spread=VIEW_SPREAD, late=late)


def drain_and_kill(experiment):
    drain_upstream(experiment)
    experiment.cluster.kill(experiment.cluster.running[0])


def drain_and_leave(experiment):
    drain_upstream(experiment)
    experiment.cluster.leave(experiment.cluster.running[0])


def drain_and_join(experiment):
    drain_upstream(experiment)
    experiment.cluster.join('host-new')


FAULTS = (
    add_upstream,
    drain_upstream,
    deliver_view_late,
    drain_and_kill,
    drain_and_leave,
    drain_and_join,
)


def count_broken_flows(contender, fault):
    """Return the number of broken flows of one run."""
    experiment = flow_experiment.Experiment(contender, OPTIONS)
    experiment.schedule(0.5, lambda: fault(experiment))
    experiment.run(FLOW_COUNT)
    return experiment.cluster.oracle.broken_flows()


class DifferentialTest(unittest.TestCase):
    def test_router_breaks_no_flow_where_naive_routers_do(self):
        """Guards against faults that break flows of the router.

        The naive routers must break flows under the same faults; otherwise
        the check would detect nothing.
        """
        for fault in FAULTS:
            with self.subTest(fault=fault.__name__):
                self.assertEqual(
                    0, count_broken_flows(flow_experiment.ACACIAMOOR, fault)
                )
                for contender in flow_experiment.HASH_BASELINES:
                    self.assertGreater(
                        count_broken_flows(contender, fault), 0, contender.name
                    )

    def test_replicated_table_breaks_flows_when_a_balancer_joins(self):
        """Guards against a replicating baseline that loses no record."""
        broken = count_broken_flows(flow_experiment.REPLICATED, drain_and_join)
        self.assertGreater(broken, 0)

"""The same faults against the naive placements and the flow router.

The cluster's oracle knows the first upstream of every flow.
"""

import datetime
import unittest

from acaciamoor.load.scenarios import flow_experiment
from acaciamoor.load.scenarios import registry

OPTIONS = registry.Options(duration=datetime.timedelta(seconds=30))
FLOWS = 600
UNEVEN = datetime.timedelta(seconds=2)


def add_upstream(experiment):
    experiment.publish(2, 8, spread=UNEVEN)


def drain_upstream(experiment):
    experiment.publish(2, 7, {0}, spread=UNEVEN)


def hear_late(experiment):
    late = experiment.cluster.running[:1]
    experiment.publish(2, 8, spread=UNEVEN, late=late)


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
    hear_late,
    drain_and_kill,
    drain_and_leave,
    drain_and_join,
)


def broken_flows(contender, fault):
    """Return the broken flows of one run."""
    experiment = flow_experiment.Experiment(contender, OPTIONS)
    experiment.schedule(0.5, lambda: fault(experiment))
    experiment.run(FLOWS)
    return experiment.cluster.oracle.broken_flows()


class DifferentialTest(unittest.TestCase):
    def test_router_breaks_no_flow_where_naive_placements_do(self):
        """Guards against a fault that breaks flows, and against a check that
        the naive placements pass as well.
        """
        for fault in FAULTS:
            with self.subTest(fault=fault.__name__):
                self.assertEqual(
                    0, broken_flows(flow_experiment.ACACIAMOOR, fault)
                )
                for contender in flow_experiment.HASH_BASELINES:
                    self.assertGreater(
                        broken_flows(contender, fault), 0, contender.name
                    )

    def test_shared_table_breaks_flows_of_a_joining_balancer(self):
        """Guards against a comparison in which replication is perfect."""
        broken = broken_flows(flow_experiment.REPLICATED, drain_and_join)
        self.assertGreater(broken, 0)

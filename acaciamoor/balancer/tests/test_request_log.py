"""What a balancer reports about requests that wait, are refused and return."""

import datetime
import unittest

from acaciamoor import clock
from acaciamoor import placement
from acaciamoor.balancer import core as cores
from acaciamoor.balancer.shell import request_log
from acaciamoor.balancer.tests import builders
import acaciamoor.model.tests.builders as model_builders
import acaciamoor.wire as wire

MS = datetime.timedelta(milliseconds=1)
LOGGER = 'acaciamoor.balancer'


def refusal(**inputs) -> cores.RequestRefused:
    """Return the effect of a refusal for a full queue."""
    return cores.RequestRefused(
        'order-desk',
        7,
        cores.RequestOutcome.NOT_RUN,
        'queue-full',
        120 * MS,
        placement.RefusalInputs(3, 4, 80 * MS, **inputs),
    )


class RequestLogTest(unittest.TestCase):
    def setUp(self):
        self.clock = clock.ManualClock()
        self.log = request_log.RequestLog(self.clock)

    def test_refusal_is_logged_with_what_it_rests_on(self):
        """Guards against refusals that nobody can explain afterwards."""
        for age, logged in ((5 * MS, 5), (None, -1)):
            with self.assertLogs(LOGGER, 'INFO') as logs:
                self.log.record(refusal(estimate_age=age))
            (record,) = logs.records
            self.assertEqual('request refused', record.getMessage())
            self.assertEqual(
                ('queue-full', 'not_run', 3, 4, 80, logged, 120),
                (
                    record.reason,
                    record.outcome,
                    record.queued,
                    record.slots,
                    record.wait_ms,
                    record.age_ms,
                    record.retry_after_ms,
                ),
            )

    def test_rate_of_lines_is_limited(self):
        """Guards against a log that grows with the overload."""
        with self.assertLogs(LOGGER, 'INFO') as logs:
            for _ in range(1000):
                self.log.record(refusal(estimate_age=None))
        self.assertLessEqual(len(logs.records), 100)
        self.clock.advance(datetime.timedelta(seconds=1))
        with self.assertLogs(LOGGER, 'WARNING') as logs:
            self.log.record(refusal(estimate_age=None))
        self.assertIn('log lines were left out', logs.records[0].getMessage())


class RefusalEffectTest(unittest.TestCase):
    def test_refused_caller_is_told_when_to_return(self):
        """Guards against a Retry-After that gets lost on its way."""
        elsewhere = model_builders.upstream('desk-1', data_centre='kgn-b')
        network = builders.network(
            services=(model_builders.service(upstreams=[elsewhere]),)
        )
        network.run(8)
        data = builders.datagram(
            network.services[0], wire.EnvelopeKind.REQUEST, 7, request=1
        )
        network.send('kgn-a-1', data)
        network.run(1)
        (refusal,) = network.to_callers
        self.assertIs(wire.Outcome.NOT_RUN, refusal.outcome)
        self.assertGreaterEqual(refusal.retry_after, 500 * MS)
        told = sum(
            core.counters.counts_by_label(cores.Metric.RETURNS).get('told', 0)
            for core in network.cores_by_host.values()
        )
        self.assertEqual(1, told)


if __name__ == '__main__':
    unittest.main()

"""Shared evidence in the reports and decisions of a host."""

import logging
import random
import unittest

import msgspec

from acaciamoor import clock
from acaciamoor import evidence
from acaciamoor import forwarder
from acaciamoor import load_reports
from acaciamoor import replica
from acaciamoor.directory.tests import builders as directory_builders
from acaciamoor.forwarder import effects
from acaciamoor.forwarder import sync_status
from acaciamoor.forwarder.shell import observer
from acaciamoor.forwarder.tests import builders
from acaciamoor.forwarder.tests import test_core
from acaciamoor.forwarder.tests import test_load_reports
from acaciamoor.load_reports.tests import builders as report_builders

SECOND = directory_builders.SECOND


class ReportedEvidenceTest(test_load_reports.ExchangeTestCase):
    """What a host passes on of its own evidence and that of others."""

    def setUp(self):
        super().setUp()
        self.server.local_hosts = 8
        self.exchange.exchange()

    def summed(self):
        """Return the sum of the next interval, by upstream."""
        self.clock.advance(0.2 * SECOND)
        self.exchange.exchange()
        now = self.clock.monotonic()
        summary = self.picture.summaries(now)['kgn-a']
        return {load.upstream_id: load for load in summary.upstreams}

    def leave_unanswered(self):
        """Let one of two upstreams leave an opening unanswered."""
        self.collector.begin_request('desk-2')
        self.collector.finish_request('desk-2', 'board', SECOND / 10, 9999)
        self.collector.add_opening('desk-1')
        self.collector.add_unanswered('desk-1')

    def test_evidence_is_reported(self):
        """Guards against hosts that keep what they know to themselves."""
        self.leave_unanswered()
        self.assertEqual(1, self.summed()['desk-1'].unanswered)

    def test_host_without_the_store_convinces_nobody(self):
        """Guards against a host with old lists that tries what is gone."""
        self.is_current = False
        self.leave_unanswered()
        found = self.summed()
        self.assertEqual(1, found['desk-2'].finished)
        self.assertFalse(found['desk-1'].unanswered)
        self.is_current = True
        self.leave_unanswered()
        self.assertEqual(1, self.summed()['desk-1'].unanswered)

    def test_report_of_another_host_counts_once(self):
        """Guards against one host that outvotes all others."""
        report = report_builders.report(
            'h-1',
            1,
            report_builders.load('desk-1', openings=50, unanswered=50),
        )
        self.exchange.record_report(
            replica.Report(msgspec.Raw(msgspec.msgpack.encode(report)), 0.0),
            'h-1',
            'kgn-a',
            self.clock.monotonic(),
        )
        self.assertEqual(1, self.summed()['desk-1'].unanswered)


class EvidenceDecisionTest(unittest.TestCase):
    """What the core and the observer make of shared evidence."""

    def setUp(self):
        self.directory = test_core.new_directory('desk-1', 'desk-2')
        self.picture = load_reports.LoadPicture('kgn-a')
        self.core = forwarder.ForwarderCore(
            forwarder.CoreSettings('kgn-a'),
            self.directory,
            random.Random(1),
            load_picture=self.picture,
        )
        self.now = SECOND
        for number in range(1, 6):
            self.now += 0.2 * SECOND
            loads = [
                report_builders.load('desk-1', openings=3, unanswered=3),
                report_builders.load('desk-2', openings=3, finished=7),
            ]
            self.picture.record(
                report_builders.summary('h-9', number, *loads), self.now
            )
            self.core.update_load(self.now)

    def open_flow(self, number):
        packet = builders.packet(
            caller=(0x64400007, 40100 + number), opens=True
        )
        return self.core.handle(b'syn', packet, self.now)

    def test_new_flows_avoid_an_upstream_that_is_silent_to_others(self):
        """Guards against evidence that reaches no decision."""
        chosen = [
            self.open_flow(number).forward.upstream_id for number in range(50)
        ]
        self.assertGreater(chosen.count('desk-2'), 35)

    def test_open_flows_stay_where_they_are(self):
        """Guards against packets of open flows at another upstream."""
        address = builders.packet().key[2:]
        packet = builders.packet(
            token=self.directory.token_of(address, 'desk-1')
        )
        decision = self.core.handle(b'data', packet, self.now)
        self.assertEqual('desk-1', decision.upstream_id)

    def test_operator_sees_which_upstream_is_avoided_and_why(self):
        """Guards against flows that go elsewhere for no visible reason."""
        found = self.core.take_observations()
        (observation,) = (
            item for item in found if isinstance(item, effects.EvidenceChanged)
        )
        self.assertIs(evidence.Verdict.SILENT, observation.change.after)
        self.assertEqual(
            {'desk-1': evidence.Verdict.SILENT},
            dict(self.core.placer.find_verdicts(self.now)),
        )
        watcher = observer.Observer(
            clock.ManualClock(),
            lambda: sync_status.SyncStatus(1, 1, 0),
        )
        with self.assertLogs(observer.__name__, logging.INFO) as logs:
            watcher.record(observation)
        (record,) = logs.records
        self.assertEqual('desk-1', record.upstream)
        self.assertEqual((3, 0), (record.unanswered, record.answers))
        self.assertIn(
            'verdict="silent"', '\n'.join(watcher.evidence_changes.lines())
        )


if __name__ == '__main__':
    unittest.main()

"""Reports, their sums, and the picture of the load."""

import random
import unittest

import msgspec

from acaciamoor import load_reports
from acaciamoor.load_reports import picture
from acaciamoor.load_reports import report as reports
from acaciamoor.load_reports.tests import builders

MS = builders.MS
SECOND = builders.SECOND
load = builders.load
report = builders.report
summary = builders.summary
AGE = picture.MAX_AGE


class HostReportTest(unittest.TestCase):
    def test_values_out_of_range_are_refused(self):
        """Guards against a sum that a single faulty host makes useless."""
        decoder = msgspec.msgpack.Decoder(load_reports.HostReport)
        for field, value in (
            ('in_progress', -1),
            ('busy_seconds', float('nan')),
            ('busy_seconds', float('inf')),
            ('openings', (1 << 31) + 1),
        ):
            index = reports.UpstreamLoad.__struct_fields__.index(field)
            numbers = list(msgspec.to_builtins(load()))
            numbers[index] = value
            body = list(msgspec.to_builtins(report('h-1')))
            body[5] = [numbers]
            encoded = msgspec.msgpack.encode(body)
            with (
                self.subTest(field=field, value=value),
                self.assertRaises(msgspec.ValidationError),
            ):
                decoder.decode(encoded)

    def test_more_refused_than_opened_flows_are_refused(self):
        """Guards against negative openings.

        One such report made all hosts refuse the least important priority
        without the floor that it keeps.
        """
        demand = ['desk', 2, 0, 1]
        for item in (report('h-1'), summary('h-1')):
            body = list(msgspec.to_builtins(item))
            body[item.__struct_fields__.index('demands')] = [demand]
            with self.assertRaises(msgspec.ValidationError):
                msgspec.msgpack.decode(
                    msgspec.msgpack.encode(body), type=type(item)
                )

    def test_report_of_too_many_upstreams_is_refused(self):
        """Guards against reports that take the memory of their receiver."""
        with self.assertRaises(ValueError):
            report('h-1', 1, *[load()] * (reports.MAX_UPSTREAMS + 1))

    def test_report_of_too_many_demands_is_refused(self):
        """Guards against reports that take the memory of their receiver."""
        demand = load_reports.ServiceDemand('desk', 0)
        demands = [demand] * (reports.MAX_DEMANDS + 1)
        with self.assertRaises(ValueError):
            report('h-1', 1, demands=demands)
        with self.assertRaises(ValueError):
            summary('h-1', 1, demands=demands)

    def test_report_of_too_many_hosts_is_refused(self):
        """Guards against a sum that is kept for a number of hosts."""
        with self.assertRaises(ValueError):
            report('h-1', 1, hosts=reports.MAX_HOSTS + 1)


class AggregatorTest(unittest.TestCase):
    def setUp(self):
        self.aggregator = load_reports.ReportAggregator('h-0', 'kgn-a', 5)

    def in_progress(self, now):
        """Return the requests in the sum, and its hosts."""
        total = self.aggregator.summarize(now)
        return sum(item.in_progress for item in total.upstreams), total.hosts

    def record(self, *args, now=0 * SECOND, **fields):
        """Record a report; return whether it counts."""
        return self.aggregator.record(report(*args, **fields), now)

    def test_report_counts_once(self):
        """Guards against a repeated message that counts twice."""
        self.assertTrue(self.record('h-1', 2, load(in_progress=1)))
        self.assertFalse(self.record('h-1', 2, load(in_progress=9)))
        self.assertFalse(self.record('h-1', 1, load(in_progress=9)))
        self.assertEqual((1, 1), self.in_progress(0 * SECOND))

    def test_report_of_an_older_incarnation_replaces_nothing(self):
        """Guards against late messages of a process that has ended."""
        self.record('h-1', 90, load(in_progress=1), incarnation=1)
        restarted = load(in_progress=2)
        self.assertTrue(self.record('h-1', 1, restarted, incarnation=2))
        late = load(in_progress=9)
        self.assertFalse(self.record('h-1', 91, late, incarnation=1))
        self.assertEqual((2, 1), self.in_progress(0 * SECOND))

    def test_report_older_than_a_second_does_not_count(self):
        """Guards against the load of hosts that are gone."""
        self.record('h-1', 1, load(in_progress=1))
        self.record('h-2', 1, load(in_progress=2), now=SECOND / 2)
        self.assertEqual((3, 2), self.in_progress(SECOND))
        self.assertEqual((2, 1), self.in_progress(SECOND + MS))

    def test_sum_of_a_branch_counts_with_its_hosts_and_age(self):
        """Guards against sums of old reports that look new at each hop."""
        branch = load_reports.ReportAggregator('h-9', 'kgn-a', 3)
        for number in range(16):
            host = report(f'h-{number}', 1, load(in_progress=1))
            branch.record(host, 0 * SECOND)
        self.aggregator.record(branch.combine(SECOND / 2), SECOND / 2)
        total = self.aggregator.summarize(0.75 * SECOND)
        self.assertEqual((16, 0.75), (total.hosts, total.age))
        self.assertEqual((0, 0), self.in_progress(SECOND + MS))

    def test_sums_of_valid_reports_are_valid(self):
        """Guards against reports that end the task that sums them."""
        for host_id in ('h-1', 'h-2'):
            demands = [
                load_reports.ServiceDemand(f'{host_id}/{number}', 0, number)
                for number in range(reports.MAX_DEMANDS)
            ]
            loads = [
                load(f'{host_id}/{number}', openings=reports.MAX_COUNT)
                for number in range(reports.MAX_UPSTREAMS)
            ]
            self.record(
                host_id, 1, *loads, demands=demands, hosts=reports.MAX_HOSTS
            )
        total = self.aggregator.summarize(0 * SECOND)
        self.assertEqual(reports.MAX_HOSTS, total.hosts)
        self.assertEqual(reports.MAX_DEMANDS, len(total.demands))
        self.assertEqual(reports.MAX_UPSTREAMS, len(total.upstreams))


class PictureTest(unittest.TestCase):
    def setUp(self):
        self.picture = load_reports.LoadPicture('kgn-a')

    def record(self, *args, now=0 * SECOND, **fields):
        """Record a summary; return whether it replaced the one before."""
        return self.picture.record(summary(*args, **fields), now)

    def in_progress(self, now=0 * SECOND):
        """Return the requests at desk-1; None if they are unknown."""
        found = self.picture.load_of('desk-1', now)
        return None if found is None else found.in_progress

    def test_old_summary_counts_for_nothing(self):
        """Guards against decisions from a picture that is out of date."""
        self.record('h-1', 1, load(in_progress=4), age=0.5)
        self.assertEqual(4, self.in_progress(0.999 * SECOND))
        self.assertTrue(self.picture.is_fresh(0.999 * SECOND))
        self.assertIsNone(self.in_progress(SECOND))
        self.assertFalse(self.picture.is_fresh(SECOND))

    def test_sum_of_more_hosts_is_kept_while_two_hosts_sum(self):
        """Guards against a picture that changes with each message."""
        self.record('h-1', 1, load(in_progress=60), hosts=60)
        self.assertFalse(self.record('h-2', 1, load(), hosts=15))
        self.assertTrue(self.record('h-3', 1, load(), hosts=61))

    def test_late_sum_of_more_hosts_replaces_no_fresh_one(self):
        """Guards against a picture that grows old over a slow path."""
        self.record('h-2', 1, load(), hosts=74, now=3 * SECOND)
        self.assertFalse(self.record('h-1', 1, hosts=75, now=1.4 * SECOND))
        self.assertTrue(self.picture.is_fresh(3 * SECOND))

    def test_sum_of_fewer_hosts_follows_a_silent_sender(self):
        """Guards against a picture that grows old though a host sums."""
        self.record('h-1', 1, hosts=75)
        self.assertFalse(self.record('h-2', 1, hosts=74, now=0.9 * SECOND))
        self.assertTrue(self.record('h-2', 2, hosts=74, now=SECOND))

    def test_summary_that_came_two_ways_counts_once(self):
        """Guards against loops between hosts that pass summaries on."""
        self.assertTrue(self.record('h-1', 2))
        self.assertFalse(self.record('h-1', 2))
        self.assertFalse(self.record('h-1', 1))
        self.assertEqual(1, self.picture.revision)

    def test_restarted_sender_replaces_its_earlier_process(self):
        """Guards against a new process whose serials are ignored."""
        self.record('h-1', 900, incarnation=1)
        self.assertTrue(self.record('h-1', 1, incarnation=2))
        self.assertFalse(self.record('h-1', 901, incarnation=1))

    def test_loads_of_data_centres_are_added(self):
        """Guards against upstreams whose load from elsewhere is missed."""
        self.record('h-1', 1, load(in_progress=4))
        self.record('h-9', 1, load(in_progress=3), data_centre='kgn-b')
        self.assertEqual(7, self.in_progress())
        self.assertEqual(150, self.picture.hosts(0 * SECOND))

    def test_counts_of_different_intervals_are_one_rate(self):
        """Guards against data centres that count more for longer intervals.

        An interval that is an error adds no rate that is out of proportion.
        """
        counted = load(in_progress=4, finished=10, busy_seconds=1.0)
        self.record('h-1', 1, counted)
        for data_centre, interval, finished in (
            ('kgn-b', 0.4, 15),
            ('kgn-c', 1e-5, 55),
        ):
            self.record(
                'h-9', 1, counted, data_centre=data_centre, interval=interval
            )
            found = self.picture.load_of('desk-1', 0 * SECOND)
            self.assertAlmostEqual(finished, found.finished)
            self.assertAlmostEqual(finished / 10, found.busy_seconds)
        self.assertEqual(12, found.in_progress)

    def test_summary_without_an_interval_is_left_out(self):
        """Guards against a division by zero where rates are computed.

        It would replace a summary by which decisions are being computed.
        """
        self.record('h-1', 1, load(in_progress=4))
        for serial, interval in ((2, 0.0), (3, 1e-300)):
            self.assertFalse(self.record('h-1', serial, interval=interval))
        self.assertEqual(4, self.in_progress())
        self.assertEqual(0.2 * SECOND, self.picture.interval)

    def test_sums_equal_those_of_single_upstreams(self):
        """Guards against sums that are kept for too long or computed wrong.

        The reference adds the newest summaries anew at each look-up.
        """
        source = random.Random(5)
        held = {}
        found = 0
        for serial in range(1, 200):
            now = serial * SECOND / 10
            name = source.choice(('kgn-a', 'kgn-b', 'kgn-c'))
            loads = {
                f'desk-{number}': load(
                    f'desk-{number}',
                    in_progress=source.randrange(9),
                    started=source.randrange(9),
                )
                for number in source.sample(range(6), 3)
            }
            interval = source.choice((0.2, 0.3))
            if source.random() < 0.4:
                self.record(
                    'h-1',
                    serial,
                    *loads.values(),
                    data_centre=name,
                    interval=interval,
                    now=now,
                )
                held[name] = now, interval, loads
            now += source.choice((0, 1, 15)) * SECOND / 20
            fresh = [item for item in held.values() if now - item[0] < AGE]
            if 'kgn-a' not in held:
                continue
            for number in range(6):
                upstream_id = f'desk-{number}'
                named = [
                    (loads[upstream_id], held['kgn-a'][1] / interval)
                    for _, interval, loads in fresh
                    if upstream_id in loads
                ]
                total = self.picture.load_of(upstream_id, now)
                self.assertEqual(bool(named), total is not None)
                if total is not None:
                    found += 1
                    self.assertEqual(
                        sum(item.in_progress for item, _ in named),
                        total.in_progress,
                    )
                    self.assertAlmostEqual(
                        sum(item.started * scale for item, scale in named),
                        total.started,
                    )
        self.assertGreater(found, 300)

    def test_demand_is_a_rate_by_priority(self):
        """Guards against counts that grow with the interval of reports."""
        demand = load_reports.ServiceDemand('desk', 1, 10, 2)
        self.record('h-1', 1, demands=[demand])
        self.assertEqual(
            {1: load_reports.DemandRate(50.0, 10.0)},
            self.picture.demand_of('desk', 0 * SECOND),
        )

    def test_names_of_data_centres_take_bounded_memory(self):
        """Guards against senders that fill the memory of a host."""
        for number in range(200):
            self.record('h-1', 1, data_centre=f'dc-{number}')
        self.assertEqual(64, len(self.picture.summaries(0 * SECOND)))
        self.assertTrue(self.record('h-1', 1, now=2 * SECOND))


class CollectorTest(unittest.TestCase):
    def setUp(self):
        self.collector = load_reports.LoadCollector('h-1', 'kgn-a', 1)
        self.collector.take_report(0 * SECOND)

    def finish(self, count, size, duration, service='desk'):
        """Count requests; return how many were taken for rejections."""
        for _ in range(count):
            self.collector.begin_request('desk-1')
            self.collector.finish_request('desk-1', service, duration, size)
        (taken,) = self.collector.take_report(SECOND).upstreams
        self.assertEqual(count, taken.finished + taken.rejected)
        return taken.rejected

    def test_levels_last_and_counts_start_anew(self):
        """Guards against counts that appear in two reports."""
        self.collector.begin_request('desk-1')
        self.collector.add_flow('desk-1')
        (first,) = self.collector.take_report(SECOND).upstreams
        (second,) = self.collector.take_report(2 * SECOND).upstreams
        self.assertEqual((1, 1), (first.in_progress, first.started))
        self.assertEqual((1, 1), (second.in_progress, second.open_flows))
        self.assertEqual(0, second.started)

    def test_idle_upstreams_are_left_out(self):
        """Guards against reports that grow with the number of upstreams."""
        self.finish(1, 1448, 50 * MS)
        taken = self.collector.take_report(2 * SECOND)
        self.assertEqual([], taken.upstreams)

    def test_short_and_early_responses_are_rejections(self):
        """Guards against an upstream without room that looks fast."""
        self.assertEqual(0, self.finish(50, 1448, 50 * MS))
        self.assertEqual(30, self.finish(30, 150, 1 * MS))
        self.assertEqual(0, self.finish(30, 150, 50 * MS))

    def test_rejections_of_a_long_crowd_stay_rejections(self):
        """Guards against rejections that become what is usual."""
        self.finish(50, 1448, 50 * MS)
        self.assertEqual(5000, self.finish(5000, 150, 1 * MS))

    def test_small_responses_of_a_service_are_no_rejections(self):
        """Guards against services whose usual responses have no body."""
        self.finish(50, 200, 50 * MS)
        self.assertEqual(0, self.finish(50, 150, 1 * MS))

    def test_fast_responses_with_a_body_are_no_rejections(self):
        """Guards against cached responses that count as rejections."""
        self.finish(50, 1448, 50 * MS)
        self.assertEqual(0, self.finish(50, 1448, 1 * MS))

    def test_host_that_starts_in_a_crowd_learns_what_is_usual(self):
        """Guards against rejections that hide all later ones."""
        for _ in range(100):
            self.finish(2, 150, 1 * MS)
            self.finish(1, 1448, 50 * MS)
        self.assertEqual(20, self.finish(20, 150, 1 * MS))


if __name__ == '__main__':
    unittest.main()

"""Tests of burn rates with restarts, gaps and missing hosts."""

import datetime
import json
import pathlib
import tempfile
import unittest

from acaciamoor import findings
from acaciamoor import report
from acaciamoor.report import main
from acaciamoor.report import metric_names
from acaciamoor.report import scrapes

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
MINUTE = datetime.timedelta(minutes=1)
WINDOWS = report.Windows(2 * MINUTE, 10 * MINUTE)
AVAILABILITY = report.Objective(
    'desk', report.ObjectiveKind.AVAILABILITY, 0.99
)


def metrics_text(answered, refused=0, name=metric_names.REQUESTS):
    """Return the metrics of a host in the Prometheus text format."""
    return (
        f'{name}{{service="desk",outcome="answered"}} {answered}\n'
        f'{name}{{service="desk",outcome="not-run"}} {refused}\n'
    )


def history(*texts, host='entry-1'):
    """Return the history of a host that is scraped once per minute."""
    return report.History(
        report.Scrape(START + index * MINUTE, host, item)
        for index, item in enumerate(texts)
    )


def assess(recorded, objective=AVAILABILITY):
    return report.assess(recorded, [objective], WINDOWS)[0]


class BurnRateTest(unittest.TestCase):
    def test_burn_rates_of_both_windows(self):
        """Guards against counting errors from before the window."""
        recorded = history(
            *(metrics_text(100 * index, 10) for index in range(10)),
            metrics_text(950, 15),
            metrics_text(1045, 20),
        )
        assessment = assess(recorded)
        self.assertAlmostEqual(10 / 155 / 0.01, assessment.short_burn_rate)
        self.assertLess(assessment.long_burn_rate, assessment.short_burn_rate)
        self.assertAlmostEqual(
            1 - 10 / (1045 + 10) / 0.01, assessment.budget_left
        )

    def test_restart_does_not_make_a_negative_increase(self):
        """Guards against lost or spurious requests after counter resets."""
        recorded = history(
            metrics_text(100, 1), metrics_text(200, 1), metrics_text(30, 2)
        )
        events = assess(recorded).period
        self.assertEqual((132.0, 2.0), (events.total, events.bad))
        self.assertTrue(recorded.intervals[-1].has_restart)

    def test_missing_metric_is_not_zero(self):
        """Guards against reporting full availability without any data."""
        recorded = history('other 1\n', 'other 2\n')
        assessment = assess(recorded)
        self.assertIsNone(assessment.short_burn_rate)
        self.assertIsNone(assessment.budget_left)
        broken = report.Objective(
            'desk', report.ObjectiveKind.BROKEN_FLOWS, 0.01
        )
        name = metric_names.STREAMS_OPENED
        recorded = history(
            metrics_text(1, name=name), metrics_text(9, name=name)
        )
        self.assertIsNone(assess(recorded, broken).short_burn_rate)

    def test_gap_reduces_coverage_but_not_the_total(self):
        """Guards against treating a gap as time without requests."""
        recorded = history(
            metrics_text(0),
            metrics_text(10),
            None,
            None,
            metrics_text(40),
            metrics_text(50),
        )
        self.assertEqual(50.0, assess(recorded).period.total)
        self.assertAlmostEqual(
            2 / 5, recorded.coverage('entry-1', recorded.start, recorded.end)
        )
        self.assertEqual(
            [False, True, False], [item.is_gap for item in recorded.intervals]
        )

    def test_unreachable_host_is_listed(self):
        """Guards against omitting a host because it is down."""
        unreachable = [
            report.Scrape(START + index * MINUTE, 'entry-2')
            for index in range(3)
        ]
        reachable = [
            report.Scrape(
                START + index * MINUTE, 'entry-1', metrics_text(index)
            )
            for index in range(3)
        ]
        recorded = report.History([*reachable, *unreachable])
        self.assertEqual(('entry-1', 'entry-2'), recorded.hosts)
        self.assertEqual(
            0.0, recorded.coverage('entry-2', recorded.start, recorded.end)
        )

    def test_draining_upstreams_are_taken_only_from_scrapes(self):
        """Guards against counting a host without a scrape as 0."""
        name = metric_names.DRAINING
        recorded = history(None, f'{name}{{service="desk"}} 1\n')
        self.assertEqual(
            [(START + MINUTE, 'desk', 1.0)],
            [(i.time, i.service, i.upstreams) for i in recorded.draining],
        )

    def test_p99_counts_work_above_the_limit(self):
        """Guards against counting a bucket above the limit as good."""
        objective = report.Objective(
            'desk', report.ObjectiveKind.SHORT_WORK_P99, 0.06
        )

        def buckets(*counts):
            bounds = ('0.05', '0.1', '+Inf')
            return ''.join(
                f'{metric_names.SHORT_WORK_BUCKET}'
                f'{{service="desk",le="{bound}"}} {count}\n'
                for bound, count in zip(bounds, counts, strict=True)
            )

        assessment = assess(
            history(buckets(0, 0, 0), buckets(90, 99, 100)), objective
        )
        self.assertEqual(0.1, assessment.p99_seconds)
        self.assertEqual(
            (100.0, 10.0), (assessment.period.total, assessment.period.bad)
        )


class ProgramTest(unittest.TestCase):
    def setUp(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.directory = pathlib.Path(directory)

    def render(self, output_format, *arguments):
        given = main.parse_settings(
            [
                f'--scrapes={self.directory}',
                '--objective=desk:availability=0.99',
                '--objective=bench:availability=0.99',
                f'--format={output_format}',
                *arguments,
            ],
            {},
        )
        return main.render_report(
            given, scrapes.read_directory(self.directory)
        )

    def test_all_formats_show_missing_data(self):
        """Guards against a format that shows missing data as a number."""
        texts = [
            metrics_text(0),
            metrics_text(10, 1),
            None,
            metrics_text(30, 1),
        ]
        scrapes.append_scrapes(
            self.directory / 'a.jsonl',
            [
                report.Scrape(START + index * MINUTE, 'entry-1', item)
                for index, item in enumerate(texts)
            ],
        )
        rows = json.loads(self.render('json'))['objectives']
        self.assertIsNone(rows[0]['short_burn_rate'])
        self.assertIsNotNone(rows[1]['budget_left'])
        self.assertIn('burn no data short', self.render('text'))
        page = self.render('html')
        self.assertIn('<td class="missing">no data</td>', page)
        # One plot of hosts, one of draining upstreams, one per objective.
        self.assertEqual(4, page.count('<svg'))
        for outside in ('src="http', 'href="http', '<script'):
            self.assertNotIn(outside, page)

    def test_all_invalid_lines_and_objectives_are_reported(self):
        """Guards against a report that silently omits invalid data."""
        path = self.directory / 'a.jsonl'
        path.write_text(
            '{}\n{"time": "2026-01-01T00:00:00", "host": "a"}\nx\n'
        )
        with self.assertRaises(findings.FindingsError) as caught:
            scrapes.read_directory(self.directory)
        self.assertEqual(2, len(caught.exception.findings))
        path = self.directory / 'objectives.json'
        path.write_text('{"desk": {"availability": 2, "colour": 1}}')
        with self.assertRaises(findings.FindingsError) as caught:
            main.objectives.read_objectives(path)
        self.assertEqual(2, len(caught.exception.findings))

"""Burn rates over restarts, gaps and missing hosts."""

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


def text(answered, refused=0, name=metric_names.REQUESTS):
    """Return the metrics of a host."""
    return (
        f'{name}{{service="desk",outcome="answered"}} {answered}\n'
        f'{name}{{service="desk",outcome="not-run"}} {refused}\n'
    )


def history(*texts, host='entry-1'):
    """Return the history of a host that is scraped once a minute."""
    return report.History(
        report.Scrape(START + index * MINUTE, host, item)
        for index, item in enumerate(texts)
    )


def assess(found, objective=AVAILABILITY):
    return report.assess(found, [objective], WINDOWS)[0]


class BurnTest(unittest.TestCase):
    def test_burn_rates_of_both_windows(self):
        """Guards against a window that includes older errors."""
        found = history(
            *(text(100 * index, 10) for index in range(10)),
            text(950, 15),
            text(1045, 20),
        )
        assessment = assess(found)
        self.assertAlmostEqual(10 / 155 / 0.01, assessment.short_burn)
        self.assertLess(assessment.long_burn, assessment.short_burn)
        self.assertAlmostEqual(
            1 - 10 / (1045 + 10) / 0.01, assessment.budget_left
        )

    def test_restart_does_not_make_a_negative_increase(self):
        """Guards against counter resets that hide or invent requests."""
        found = history(text(100, 1), text(200, 1), text(30, 2))
        events = assess(found).period
        self.assertEqual((132.0, 2.0), (events.total, events.bad))
        self.assertTrue(found.intervals[-1].is_restart)

    def test_missing_metric_is_not_zero(self):
        """Guards against full availability shown for a service unseen."""
        found = history('other 1\n', 'other 2\n')
        assessment = assess(found)
        self.assertIsNone(assessment.short_burn)
        self.assertIsNone(assessment.budget_left)
        broken = report.Objective(
            'desk', report.ObjectiveKind.BROKEN_FLOWS, 0.01
        )
        name = metric_names.STREAMS_OPENED
        found = history(text(1, name=name), text(9, name=name))
        self.assertIsNone(assess(found, broken).short_burn)

    def test_gap_lowers_coverage_and_keeps_the_sum(self):
        """Guards against a gap that is shown as time without requests."""
        found = history(text(0), text(10), None, None, text(40), text(50))
        self.assertEqual(50.0, assess(found).period.total)
        self.assertAlmostEqual(
            2 / 5, found.coverage('entry-1', found.start, found.end)
        )
        self.assertEqual(
            [False, True, False], [item.is_gap for item in found.intervals]
        )

    def test_host_that_never_answers_is_listed(self):
        """Guards against a host that is left out because it is down."""
        silent = [
            report.Scrape(START + index * MINUTE, 'entry-2')
            for index in range(3)
        ]
        answering = [
            report.Scrape(START + index * MINUTE, 'entry-1', text(index))
            for index in range(3)
        ]
        found = report.History([*answering, *silent])
        self.assertEqual(('entry-1', 'entry-2'), found.hosts)
        self.assertEqual(
            0.0, found.coverage('entry-2', found.start, found.end)
        )

    def test_draining_upstreams_are_shown_only_where_reported(self):
        """Guards against a host that was not scraped and counts as 0."""
        name = metric_names.DRAINING
        found = history(None, f'{name}{{service="desk"}} 1\n')
        self.assertEqual(
            [(START + MINUTE, 'desk', 1.0)],
            [(i.time, i.service, i.upstreams) for i in found.draining],
        )

    def test_p99_counts_work_above_the_limit(self):
        """Guards against a bucket above the limit that counts as good."""
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
        self.assertEqual(0.1, assessment.p99_s)
        self.assertEqual(
            (100.0, 10.0), (assessment.period.total, assessment.period.bad)
        )


class ProgramTest(unittest.TestCase):
    def setUp(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.directory = pathlib.Path(directory)

    def render(self, form, *arguments):
        given = main.parse(
            [
                f'--scrapes={self.directory}',
                '--objective=desk:availability=0.99',
                '--objective=bench:availability=0.99',
                f'--format={form}',
                *arguments,
            ],
            {},
        )
        return main.render(given, scrapes.read_directory(self.directory))

    def test_all_forms_show_missing_data(self):
        """Guards against a form that shows missing data as a number."""
        texts = [text(0), text(10, 1), None, text(30, 1)]
        scrapes.append_to(
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
        # Hosts, draining upstreams and one plot for each objective.
        self.assertEqual(4, page.count('<svg'))
        for outside in ('src="http', 'href="http', '<script'):
            self.assertNotIn(outside, page)

    def test_bad_lines_and_objectives_are_all_reported(self):
        """Guards against a report over part of the data without notice."""
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

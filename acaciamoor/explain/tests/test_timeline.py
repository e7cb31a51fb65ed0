"""Tests of timelines that are built from the logs of several hosts."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest
from unittest import mock

from acaciamoor import explain
from acaciamoor.explain import main

FLOW = '100.64.0.7:40001>198.18.0.1:443'


def line(second: float, host: str, message: str, **fields) -> str:
    """Return a log line with the prefix that a log collector adds."""
    time = f'2026-01-01T00:00:{second:06.3f}+00:00'
    body = {'time': time, 'host': host, 'message': message, **fields}
    return f'  {second} {host} {json.dumps(body)}'


LINES = [
    line(
        9, 'h-2', 'upstream is draining, learned from store', upstream='desk-1'
    ),
    line(1, 'h-1', 'flow placed', flow=FLOW, upstream='desk-1', attempt=1),
    line(2, 'h-1', 'flow placed', flow='1.2.3.4:5>6.7.8.9:10'),
    line(3, 'h-1', 'leaving'),
    line(4, 'h-2', 'packet dropped', flow=FLOW, reason='unknown_token'),
    line(8.5, 'h-1', 'started'),
    line(30, 'h-1', 'leaving'),
    'bytes that are no log line {',
]


class TimelineTest(unittest.TestCase):
    def test_lines_of_all_hosts_are_in_order_of_time(self):
        """Guards against lines in the order of the files, not of time."""
        parsed = [explain.parse_line(text) for text in LINES]
        timeline = explain.Timeline(
            [item for item in parsed if item is not None], FLOW
        )
        self.assertEqual(
            [
                'flow placed',
                'leaving',
                'packet dropped',
                'started',
                'upstream is draining, learned from store',
            ],
            [item.message for item in timeline.lines],
        )

    def test_line_about_many_upstreams_is_shown_for_each(self):
        """Guards against changes that only the shared line of a batch has."""
        together = line(
            5,
            'h-2',
            '5 upstreams are gone, learned from store',
            upstreams='desk-0 desk-1 desk-2 desk-3 desk-4',
        )
        parsed = [explain.parse_line(text) for text in [*LINES, together]]
        timeline = explain.Timeline(
            [item for item in parsed if item is not None], FLOW
        )
        self.assertIn(
            '5 upstreams are gone, learned from store',
            [item.message for item in timeline.lines],
        )

    def run_program(self, *arguments):
        """Run the program and return its exit code and output."""
        output = io.StringIO()
        with (
            mock.patch('sys.argv', ['acaciamoor-explain', *arguments]),
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(output),
        ):
            return main.main(), output.getvalue()

    def test_caller_matches_its_flows(self):
        """Guards against matching only the complete name of a flow."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'log'
            path.write_text('\n'.join(LINES), encoding='utf-8')
            code, text = self.run_program(
                '100.64.0.7:40001', '--log', path.as_posix()
            )
            self.assertEqual(0, code)
            self.assertIn('reason=unknown_token', text)
            code, _ = self.run_program('1.1.1.1:1', '--log', path.as_posix())
            self.assertEqual(3, code)

    def test_missing_file_is_reported(self):
        """Guards against an empty timeline when a file cannot be read."""
        code, text = self.run_program('a', '--log', '/nonexistent/log')
        self.assertEqual(1, code)
        self.assertIn('/nonexistent/log', text)


if __name__ == '__main__':
    unittest.main()

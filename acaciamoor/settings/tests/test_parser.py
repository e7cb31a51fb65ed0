"""Parsing of settings from flags and environment variables."""

import contextlib
import datetime
import io
import unittest

from acaciamoor import findings
from acaciamoor import settings

LIMIT = settings.Flag(
    'queue-limit', settings.integer(1, 10), 5, 'Queue.', 'requests'
)
DELAY = settings.Flag(
    'delay',
    settings.duration(),
    datetime.timedelta(seconds=2.5),
    'Delay.',
    'seconds',
)
HOST = settings.RequiredFlag('host', settings.text, 'Name of the host.')
VERBOSE = settings.Flag('verbose', settings.boolean, False, 'Say more.')
PEERS = settings.Flag(
    'peer', settings.repeatable(settings.address), (), 'Peers.'
)
NAME = settings.RequiredFlag(
    'name', settings.text, 'Name of the service.', positional=True
)
FLAGS = (LIMIT, DELAY, HOST, VERBOSE, PEERS)


def parser(*commands: settings.Command) -> settings.SettingsParser:
    return settings.SettingsParser('demo', 'Shows.', FLAGS, commands)


class ParserTest(unittest.TestCase):
    def test_all_problems_are_reported_with_their_places(self):
        """Guards against a parser that stops at the first invalid setting."""
        with self.assertRaises(findings.FindingsError) as caught:
            parser().parse(
                ['--queue-limit', '11', '--colour', 'red'],
                {'ACACIAMOOR_DELAY': 'soon', 'ACACIAMOOR_PEER': '1.2.3.4'},
            )
        self.assertEqual(
            [
                '--colour',
                '--host',
                '--queue-limit',
                'ACACIAMOOR_DELAY',
                'ACACIAMOOR_PEER',
                'red',
            ],
            [finding.place for finding in caught.exception.findings],
        )

    def test_precedence_of_flag_variable_and_default(self):
        """Guards against a variable that overrides the command line."""
        environment = {
            'ACACIAMOOR_HOST': 'a',
            'ACACIAMOOR_QUEUE_LIMIT': '7',
            'ACACIAMOOR_VERBOSE': 'yes',
        }
        given = parser().parse(
            ['--queue-limit', '8', '--no-verbose'], environment
        )
        self.assertEqual(8, given[LIMIT])
        self.assertFalse(given[VERBOSE])
        self.assertEqual(DELAY.default, given[DELAY])
        from_variable = parser().parse([], environment)
        self.assertEqual(7, from_variable[LIMIT])
        self.assertTrue(from_variable[VERBOSE])
        self.assertEqual('ACACIAMOOR_QUEUE_LIMIT', from_variable.place(LIMIT))

    def test_shared_flag_is_accepted_before_and_after_the_command(self):
        """Guards against a command that resets a flag given before it."""
        commands = [
            settings.Command('list', 'Lists.'),
            settings.Command('drain', 'Drains.', (NAME,)),
        ]
        for arguments in (
            ['--queue-limit', '8', 'drain', 'desk', '--host', 'a'],
            ['drain', 'desk', '--queue-limit', '8', '--host', 'a'],
        ):
            given = parser(*commands).parse(arguments, {})
            self.assertEqual('drain', given.command)
            self.assertEqual(('desk', 8), (given[NAME], given[LIMIT]))
        with self.assertRaises(findings.FindingsError):
            parser(*commands).parse(['--host', 'a'], {})

    def test_help_shows_unit_default_and_variable(self):
        """Guards against undocumented settings."""
        text = ' '.join(parser().format_help().split())
        for part in (
            'unit: seconds; default: 2.5; variable: ACACIAMOOR_DELAY',
            'required; variable: ACACIAMOOR_HOST',
        ):
            self.assertIn(part, text)

    def test_invalid_settings_are_printed_one_per_line(self):
        """Guards against an exit code that hides invalid settings."""
        stream = io.StringIO()
        with contextlib.redirect_stderr(stream):
            code = settings.run_program(
                lambda: parser().parse(['--delay', '-1'], {})
            )
        self.assertEqual(settings.ExitCode.BAD_SETTINGS, code)
        self.assertEqual(2, len(stream.getvalue().splitlines()))

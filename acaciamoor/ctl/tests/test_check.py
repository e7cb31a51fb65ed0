"""The command ``check``, without a server."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest
import unittest.mock

from acaciamoor.configuration_check.tests import builders
from acaciamoor.ctl import main as ctl

FINE = builders.content(builders.service())


class CheckCommandTest(unittest.TestCase):
    def run_check(self, content, *arguments):
        """Return the exit code and the output of the program."""
        with (
            tempfile.TemporaryDirectory() as directory,
            contextlib.chdir(directory),
            contextlib.redirect_stdout(io.StringIO()) as out,
            contextlib.redirect_stderr(io.StringIO()),
        ):
            pathlib.Path('new.json').write_bytes(content)
            pathlib.Path('old.json').write_bytes(FINE)
            command = [ctl.PROGRAM, 'check', *arguments]
            with unittest.mock.patch('sys.argv', command):
                return ctl.main(), out.getvalue()

    def test_exit_codes(self):
        """Guards against a script that sends a file with findings."""
        fine = self.run_check(FINE, 'new.json')
        self.assertEqual((0, 'no findings\n'), fine)
        damaged = self.run_check(b'{"services": [], "a\\n": 1}', 'new.json')
        text = 'errors:\n  a\\n: is not a known field\n'
        self.assertEqual((1, text), damaged)
        for arguments in (), ('x.json',), ('new.json', '--against', 'x.json'):
            self.assertEqual((2, ''), self.run_check(FINE, *arguments))

    def test_differences_as_text_and_json(self):
        """Guards against differences that are lost or change the code."""
        new = builders.content(builders.service(policy={'queue_limit': 9}))
        place = 'services.order-desk.policy.queue_limit'
        arguments = ('new.json', '--against', 'old.json')
        code, out = self.run_check(new, *arguments)
        text = f'differences:\n  {place}: 512 -> 9\nno findings\n'
        self.assertEqual((0, text), (code, out))
        code, out = self.run_check(new, *arguments, '--output', 'json')
        report = json.loads(out)
        wanted = [{'place': place, 'before': 512, 'after': 9}]
        self.assertEqual((0, wanted), (code, report.pop('differences')))
        self.assertEqual([[], [], []], list(report.values()))

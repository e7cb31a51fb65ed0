"""Commands against a server of the operator API over loopback."""

import contextlib
import io
import json
import pathlib
import random
import shutil
import tempfile
import unittest

from acaciamoor.ctl import main as ctl
import acaciamoor.findings as findings
from acaciamoor.operator import main as operator_main
import acaciamoor.operator.tests as operator_tests
import acaciamoor.platform as platform
from acaciamoor.platform.tests import builders
import acaciamoor.settings as settings
from acaciamoor.standins.platform import memory
from acaciamoor.standins.platform import table as tables

CERTIFICATES = pathlib.Path(operator_tests.__file__).parent / 'certificates'
CREATE = (
    'create',
    'order-desk',
    '--address',
    '127.0.0.1:8001',
    '--upstream',
    'desk-1@kgn-a=127.0.0.1:9001',
    '--upstream',
    'desk-2@kgn-a=127.0.0.1:9002/weight=2/slots=4',
)


class ProgramTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs commands against a server that uses an in-memory platform."""

    common = ('--plain-text',)

    async def asyncSetUp(self):
        self.table = tables.ObjectTable()
        self.transport = memory.MemoryTransport(self.table)
        store = platform.PlatformStore(
            self.transport, random.Random(1), builders.no_sleep
        )
        self.server = operator_main.new_server(store)
        self.port = self.listen()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop, None)

    def listen(self) -> int:
        return self.server.add_insecure_port('127.0.0.1:0')

    async def run_command(self, *arguments):
        """Return the exit code and the output of a command."""
        given = ctl.parse(
            [
                *self.common,
                '--api-address',
                f'127.0.0.1:{self.port}',
                *list(arguments),
            ],
            {},
        )
        # Standard error is captured separately, because the interpreter may
        # print warnings to it at any time, for example about sockets of
        # earlier tests.
        with (
            contextlib.redirect_stdout(io.StringIO()) as out,
            contextlib.redirect_stderr(io.StringIO()),
        ):
            code = await ctl.run(given)
        return code, out.getvalue()


class CommandTest(ProgramTestCase):
    async def test_outcomes_and_exit_codes(self):
        """Guards against exit codes that report a refusal as success."""
        code, out = await self.run_command(*CREATE)
        self.assertEqual(settings.ExitCode.SUCCESS, code, out)
        version = int(out.rpartition(' ')[2])
        code, out = await self.run_command(*CREATE)
        self.assertEqual(settings.ExitCode.REFUSED, code)
        self.assertIn('services.order-desk: already exists', out)
        code, out = await self.run_command(
            'drain', 'order-desk', 'desk-1', '--requested-by', 'ann'
        )
        self.assertEqual(settings.ExitCode.SUCCESS, code)
        code, out = await self.run_command(
            'change',
            'order-desk',
            '--queue-limit',
            '9',
            '--expected-version',
            str(version),
        )
        self.assertEqual(settings.ExitCode.REFUSED, code)
        self.assertIn('by ann was stored first', out)
        self.transport.plan = builders.plan_writes(*[memory.LOST_REQUEST] * 9)
        code, out = await self.run_command(
            'change', 'order-desk', '--queue-limit', '9'
        )
        self.assertEqual(settings.ExitCode.OUTCOME_UNKNOWN, code)
        self.transport.plan = lambda call: memory.UNAVAILABLE
        code, out = await self.run_command('list')
        self.assertEqual(settings.ExitCode.FAILURE, code)

    async def test_listing_and_description(self):
        """Guards against output that omits upstreams or versions."""
        await self.run_command(*CREATE)
        code, out = await self.run_command('list', '--upstreams')
        self.assertEqual(3, len(out.splitlines()), out)
        code, out = await self.run_command(
            'describe', 'order-desk', '--output', 'json'
        )
        described = json.loads(out)
        self.assertEqual(
            ['desk-1', 'desk-2'],
            [item['upstream_id'] for item in described['upstreams']],
        )
        self.assertEqual(4, described['upstreams'][1]['slots'])
        code, out = await self.run_command('status')
        self.assertIn(f'version: {described["version"]}', out)
        for arguments in (
            ('add', 'order-desk', 'desk-3@kgn-a=127.0.0.1:9003'),
            ('drain', 'order-desk', 'desk-1'),
            ('remove', 'order-desk', 'desk-1'),
            ('delete', 'order-desk'),
        ):
            code, out = await self.run_command(*arguments)
            self.assertEqual(settings.ExitCode.SUCCESS, code, out)
        code, out = await self.run_command('describe', 'order-desk')
        self.assertEqual(settings.ExitCode.FAILURE, code)

    async def test_findings_of_a_request_are_all_shown(self):
        """Guards against a refusal that lists only the first problem."""
        code, out = await self.run_command(
            'create',
            'order-desk',
            '--address',
            'somewhere',
            '--upstream',
            'desk-1@kgn-a=127.0.0.1:0/weight=-1',
        )
        self.assertEqual(settings.ExitCode.REFUSED, code)
        self.assertEqual(4, len(out.splitlines()), out)


class SettingsTest(unittest.TestCase):
    def test_plain_text_needs_a_loopback_address(self):
        """Guards against plain-text access to the API from the network."""
        arguments = [
            '--platform-url=http://127.0.0.1:1',
            '--data-centre=kgn-a',
            '--host=entry-1',
        ]
        for extra, place in (
            (['--plain-text', '--address=10.0.0.1:7443'], '--plain-text'),
            ([], '--tls-certificate'),
        ):
            with self.assertRaises(findings.FindingsError) as caught:
                operator_main.parse(arguments + extra, {})
            self.assertEqual(place, caught.exception.findings[0].place)


class TlsTest(ProgramTestCase):
    def listen(self) -> int:
        self.directory = pathlib.Path(
            self.enterContext(tempfile.TemporaryDirectory())
        )
        self.install('authority', 'server')
        given = operator_main.parse(
            [
                f'--tls-certificate={self.directory / "server.pem"}',
                f'--tls-key={self.directory / "server.key"}',
                f'--tls-client-authority={self.directory / "authority.pem"}',
                '--platform-url=http://127.0.0.1:1',
                '--data-centre=kgn-a',
                '--host=entry-1',
                '--address=127.0.0.1:1',
            ],
            {},
        )
        return operator_main.add_port(self.server, given, port=0)

    def install(self, authority, server):
        """Copy certificates to the paths that the server reads."""
        for source, name in (
            (f'{server}.key', 'server.key'),
            (f'{authority}.pem', 'authority.pem'),
            (f'{server}.pem', 'server.pem'),
        ):
            shutil.copy(CERTIFICATES / source, self.directory / name)

    def use(self, authority, client):
        """Set the certificates of the following commands."""
        self.common = (
            f'--tls-authority={CERTIFICATES / authority}.pem',
            f'--tls-certificate={CERTIFICATES / client}.pem',
            f'--tls-key={CERTIFICATES / client}.key',
        )

    async def test_client_certificate_determines_the_writer(self):
        """Guards against a client that poses as another operator."""
        self.use('authority', 'client')
        await self.run_command(*CREATE, '--requested-by', 'mallory')
        _code, out = await self.run_command('describe', 'order-desk')
        self.assertIn('written by: client', out)

    async def test_client_of_an_untrusted_authority_is_rejected(self):
        """Guards against a server that accepts any client certificate."""
        self.use('authority', 'other-client')
        code, _ = await self.run_command('--timeout=2', *CREATE)
        self.assertNotEqual(settings.ExitCode.SUCCESS, code)
        self.assertEqual((), self.table.listing('services').objects)

    async def test_certificates_are_rotated_without_a_restart(self):
        """Guards against certificates that are read only at startup."""
        self.use('authority', 'client')
        code, out = await self.run_command(*CREATE)
        self.assertEqual(settings.ExitCode.SUCCESS, code, out)
        # The key no longer matches the certificate, as during a rotation.
        shutil.copy(
            CERTIFICATES / 'other-server.key', self.directory / 'server.key'
        )
        code, out = await self.run_command('list')
        self.assertEqual(settings.ExitCode.SUCCESS, code, out)
        self.install('other-authority', 'other-server')
        self.use('other-authority', 'other-client')
        code, out = await self.run_command('list')
        self.assertEqual(settings.ExitCode.SUCCESS, code, out)
        self.use('authority', 'client')
        code, _ = await self.run_command('--timeout=2', 'list')
        self.assertEqual(settings.ExitCode.FAILURE, code)

"""Commands against a server of the operator API over loopback."""

import asyncio
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
from acaciamoor.model import documents
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

    async def test_evacuations_are_shown(self):
        """Guards against a status that hides an evacuation or its writer."""
        for name in ('kgn-a', 'kgn-x'):
            code, out = await self.run_command(
                'evacuate', name, '--requested-by', 'ann'
            )
            self.assertEqual(settings.ExitCode.SUCCESS, code, out)
        self.assertIn('notice: evacuations.kgn-x: no service has', out)
        code, out = await self.run_command('status')
        self.assertRegex(out, r'kgn-a +1 +ann +2')
        code, out = await self.run_command('take-back', 'kgn-a')
        self.assertEqual((0, 'accepted: version 3\n'), (code.value, out))
        code, out = await self.run_command('status', '--output', 'json')
        (evacuation,) = json.loads(out)['evacuations']
        self.assertEqual('kgn-x', evacuation['data_centre'])
        self.assertEqual('ann', evacuation['written_by'])

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


class ShutdownTest(ProgramTestCase):
    CALLS = 30
    # Time of a write to the platform, in seconds.
    WRITE_S = 0.02

    async def create(self, number):
        """Create a service; return the exit code of the command."""
        return await ctl.run(
            ctl.parse(
                [
                    *self.common,
                    '--api-address',
                    f'127.0.0.1:{self.port}',
                    'create',
                    f'desk-{number}',
                    '--address',
                    f'127.0.0.1:{8100 + number}',
                    '--upstream',
                    f'u-{number}@kgn-a=127.0.0.1:{9100 + number}',
                ],
                {},
            )
        )

    def active_names(self):
        """Return the names of the services that exist."""
        return {
            item.name
            for item in self.table.listing(documents.SERVICE_KIND).objects
            if documents.parse_service(item.name, item.value).phase
            is documents.ServicePhase.ACTIVE
        }

    async def test_planned_stop_answers_what_it_has_accepted(self):
        """Guards against changes that are made but reported as failed.

        The server is stopped while most commands are in progress. A command
        that was not accepted any more must not have changed anything.
        """

        writes = 0
        busy = asyncio.Event()

        async def wait(write):
            nonlocal writes
            writes += 1
            if writes == self.CALLS:
                busy.set()
            await asyncio.sleep(self.WRITE_S)

        self.transport.before_write = wait
        with (
            contextlib.redirect_stdout(io.StringIO()),
            contextlib.redirect_stderr(io.StringIO()),
        ):
            commands = [
                asyncio.create_task(self.create(number))
                for number in range(self.CALLS)
            ]
            await busy.wait()
            await self.server.stop(10.0)
            codes = await asyncio.gather(*commands)
        names_by_code = {code: set() for code in settings.ExitCode}
        for number, code in enumerate(codes):
            names_by_code[code].add(f'desk-{number}')
        made = names_by_code[settings.ExitCode.SUCCESS]
        unknown = names_by_code[settings.ExitCode.OUTCOME_UNKNOWN]
        self.assertTrue(made)
        self.assertLessEqual(made, self.active_names())
        self.assertLessEqual(self.active_names(), made | unknown)

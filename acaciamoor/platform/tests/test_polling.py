"""Tests of requests over broken and unresponsive connections."""

import asyncio
import datetime
import unittest
from unittest import mock

import uvloop

from acaciamoor import clock
from acaciamoor import model
from acaciamoor import platform
from acaciamoor.platform import connection
from acaciamoor.platform import polling
from acaciamoor.platform import versions
from acaciamoor.platform.tests import builders

OK_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
TIMEOUT = datetime.timedelta(milliseconds=100)


class TransportTestCase(unittest.IsolatedAsyncioTestCase):
    """Base class of tests with a transport on uvloop."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        previous = asyncio.get_event_loop_policy()
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
        cls.addClassCleanup(asyncio.set_event_loop_policy, previous)

    async def start(self, handler) -> polling.LongPollTransport:
        """Return a transport to a server that runs `handler`."""
        server = await asyncio.start_server(handler, '127.0.0.1', 0)
        self.addCleanup(server.close)
        address = model.Address(*server.sockets[0].getsockname())
        return polling.LongPollTransport(
            address,
            builders.StubDialect(),
            polling.LongPollSettings(response_timeout=TIMEOUT),
        )


class LongPollTransportTest(TransportTestCase):
    async def test_connection_closed_after_each_response(self):
        """Guards against a request on a connection that the server closed."""

        async def respond_once(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(OK_RESPONSE)
            await writer.drain()
            writer.transport.abort()

        transport = await self.start(respond_once)
        for _ in range(3):
            await transport.read('desk', 'a')
            await asyncio.sleep(0.05)

    async def test_second_copy_of_a_response_is_not_the_next_response(self):
        """Guards against a response that belongs to another request.

        The server sends each response twice: the second copy at once, while
        the connection is idle, or after the next request was sent.
        """
        for delays in ((0.0,), (0.02,), (0.06,), (0.0, 0.02)):

            async def respond_twice(reader, writer, delays=delays):
                while True:
                    try:
                        request = await reader.readuntil(b'\r\n\r\n')
                    except asyncio.IncompleteReadError:
                        break
                    name = request.split()[1].rpartition(b'/')[2]
                    response = (
                        b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s'
                        % (len(name), name)
                    )
                    writer.write(response)
                    for delay in delays:
                        if delay:
                            await asyncio.sleep(delay)
                        writer.write(response)
                writer.close()

            transport = await self.start(respond_twice)
            for number in range(3):
                with self.subTest(delays=delays, number=number):
                    name = f'desk-{number}'
                    stored = await transport.read('desk', name)
                    self.assertEqual(name, stored.name)
                await asyncio.sleep(0.03)

    async def test_send_request_on_closed_transport(self):
        """Guards against an event loop error that ends the caller's task.

        Writing to a closed uvloop transport raises RuntimeError, which users
        of the transport do not handle.
        """

        async def wait(reader, writer):
            await reader.read()
            writer.close()

        server = await asyncio.start_server(wait, '127.0.0.1', 0)
        self.addCleanup(server.close)
        broken = connection.HttpConnection(
            model.Address(*server.sockets[0].getsockname()),
            connection.ConnectionSettings(),
            clock.SystemClock(),
        )
        await broken.connect()
        broken._writer.transport.abort()
        await asyncio.sleep(0.01)
        with self.assertRaises(OSError):
            await broken.send_request(
                b'GET / HTTP/1.1\r\n\r\n', TIMEOUT, TIMEOUT
            )

    async def test_platform_does_not_respond(self):
        """Guards against a request that waits indefinitely."""

        async def never_respond(reader, writer):
            await reader.read()
            writer.close()

        transport = await self.start(never_respond)
        with self.assertRaises(platform.Unavailable):
            await transport.read('desk', 'a')
        write = platform.Write('desk', 'a', {}, ())
        with self.assertRaises(platform.OutcomeUnknown):
            await transport.write(write)

    async def test_large_response_arrives_over_a_narrow_link(self):
        """Guards against a time limit for whole responses (inc1).

        A large configuration over a narrow link takes longer than the time
        after which the store is taken for unresponsive.
        """

        async def respond_slowly(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n')
            for _ in range(20):
                await asyncio.sleep(TIMEOUT.total_seconds() / 10)
                writer.write(b'a')

        transport = await self.start(respond_slowly)
        stored = await transport.read('desk', 'a')
        self.assertEqual('a' * 20, stored.name)

    async def test_silence_within_a_response_ends_the_call(self):
        """Guards against a store that hangs in the middle of a response."""

        async def respond_partly(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\na')
            await reader.read()
            writer.close()

        transport = await self.start(respond_partly)
        with self.assertRaisesRegex(
            platform.TimedOut, 'bytes of the response received'
        ):
            async with asyncio.timeout(10 * TIMEOUT.total_seconds()):
                await transport.read('desk', 'a')

    async def test_connecting_times_out(self):
        """Guards against a long retry delay after a connect timeout."""
        with mock.patch.object(
            asyncio, 'open_connection', side_effect=TimeoutError
        ):
            transport = polling.LongPollTransport(
                model.Address('127.0.0.1', 1), builders.StubDialect()
            )
            with self.assertRaises(platform.TimedOut):
                await transport.read('desk', 'a')

    async def test_write_maps_error_statuses(self):
        """Guards against reporting a rejected write as applied."""
        for status, expected in (
            (503, platform.Unavailable),
            (429, platform.RateLimited),
            (409, platform.Conflict),
            (500, platform.OutcomeUnknown),
        ):

            async def respond_with_error(reader, writer, status=status):
                await reader.readuntil(b'\r\n\r\n')
                writer.write(
                    b'HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n' % status
                )

            transport = await self.start(respond_with_error)
            with self.subTest(status=status), self.assertRaises(expected):
                await transport.write(platform.Write('desk', 'a', {}, ()))

    async def test_malformed_response(self):
        """Guards against an unhandled error if another program responds."""

        async def send_garbage(reader, writer):
            writer.write(b'hello\r\n\r\n')

        transport = await self.start(send_garbage)
        with self.assertRaises(platform.Unavailable):
            await transport.read('desk', 'a')

    async def respond_in_eras(self, *answers) -> polling.LongPollTransport:
        """Return a transport to a platform with an era for each answer."""
        remaining = list(answers)

        async def respond(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            era, status, body = remaining.pop(0)
            writer.write(
                b'HTTP/1.1 %d x\r\nPlatform-Era: %s\r\nContent-Length: %d\r\n'
                b'\r\n%s' % (status, era, len(body), body)
            )

        return await self.start(respond)

    async def stream_versions(self, transport, after_version) -> list[int]:
        """Return the versions of the events of one call for changes."""
        return [
            event.version
            async for event in transport.stream('desk', after_version)
        ]

    async def test_revision_of_a_restored_platform_is_another_version(self):
        """Guards against a revision that is taken for an earlier one.

        The restored platform gives out revisions again, so that a watch may
        succeed although its revision stands for other contents.
        """
        for revision in (b'4', b'5', b'6'):
            transport = await self.respond_in_eras((b'2', 200, revision))
            with (
                self.subTest(revision=revision),
                self.assertRaises(platform.VersionExpired),
            ):
                await self.stream_versions(
                    transport, versions.make_version(1, 5)
                )

    async def test_watch_goes_on_within_an_era(self):
        """Guards against listings while the platform was not restored."""
        transport = await self.respond_in_eras((b'2', 200, b'6'))
        self.assertEqual(
            [versions.make_version(2, 6)],
            await self.stream_versions(transport, versions.make_version(2, 5)),
        )

    async def test_response_of_an_earlier_era_is_refused(self):
        """Guards against a late response that reverts newer data."""
        transport = await self.respond_in_eras((b'1', 200, b'9'))
        with self.assertRaises(platform.Unavailable):
            await self.stream_versions(transport, versions.make_version(2, 5))

    async def test_malformed_era_is_refused(self):
        """Guards against versions that no message can carry."""
        for era in (b'x', b'-1', b'9' * 30):
            transport = await self.respond_in_eras((era, 200, b'9'))
            with (
                self.subTest(era=era),
                self.assertRaises(platform.Unavailable),
            ):
                await self.stream_versions(transport, 5)

    async def test_listing_does_not_mix_two_eras(self):
        """Guards against a listing of which one half is from an old copy."""
        transport = await self.respond_in_eras(
            (b'1', 200, b'1'), (b'2', 200, b'2')
        )
        with self.assertRaises(platform.Unavailable):
            await transport.read_all('desk')


if __name__ == '__main__':
    unittest.main()

"""Calls over connections that are kept, broken or silent."""

import asyncio
import datetime
import unittest
from unittest import mock

import uvloop

from acaciamoor import model
from acaciamoor import platform
from acaciamoor.platform import calls
from acaciamoor.platform import channel
from acaciamoor.platform import dialect

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
SHORT = datetime.timedelta(milliseconds=100)


class PlainDialect:
    """Calls and answers without content."""

    def read(self, kind, name):
        return dialect.Call('GET', f'/{kind}/{name}', name)

    def write(self, write):
        return dialect.Call('PUT', f'/{write.kind}', write.name, b'{}')

    def decode_stored(self, kind, body):
        return platform.StoredObject(kind, 'a', 1, {})


class CallTest(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        previous = asyncio.get_event_loop_policy()
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
        cls.addClassCleanup(asyncio.set_event_loop_policy, previous)

    async def start(self, answer) -> calls.CallTransport:
        """Return a transport to a server whose connections run `answer`."""
        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        self.addCleanup(server.close)
        address = model.Address(*server.sockets[0].getsockname())
        transport = calls.CallTransport(
            address, PlainDialect(), calls.CallSettings(call=SHORT)
        )
        self.addCleanup(transport.close)
        return transport

    async def test_idle_connection_that_was_closed(self):
        """Guards against an error of the event loop that ends the caller."""

        async def answer_once(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(OK)
            await writer.drain()
            writer.transport.abort()

        transport = await self.start(answer_once)
        await transport.read('desk', 'a')
        await asyncio.sleep(0.05)
        with self.assertRaises(platform.Unavailable):
            await transport.read('desk', 'a')
        await transport.read('desk', 'a')

    async def test_transport_that_is_closed(self):
        """Guards against an error of the event loop that ends the caller.

        A closed transport of uvloop raises RuntimeError, which no caller of
        the platform expects.
        """

        async def wait(reader, writer):
            await reader.read()
            writer.close()

        server = await asyncio.start_server(wait, '127.0.0.1', 0)
        self.addCleanup(server.close)
        broken = channel.Channel(
            model.Address(*server.sockets[0].getsockname()),
            channel.ChannelSettings(),
        )
        await broken.connect()
        broken._writer.transport.abort()
        await asyncio.sleep(0.01)
        with self.assertRaises(OSError):
            await broken.call(b'GET / HTTP/1.1\r\n\r\n', SHORT)

    async def test_silent_platform(self):
        """Guards against a call that waits for ever."""

        async def stay_silent(reader, writer):
            await reader.read()
            writer.close()

        transport = await self.start(stay_silent)
        with self.assertRaises(platform.Unavailable):
            await transport.read('desk', 'a')
        write = platform.Write('desk', 'a', {}, ())
        with self.assertRaises(platform.OutcomeUnknown):
            await transport.write(write)

    async def test_path_that_is_cut(self):
        """Guards against a long wait behind a connection that timed out."""
        with mock.patch.object(
            asyncio, 'open_connection', side_effect=TimeoutError
        ):
            transport = calls.CallTransport(
                model.Address('127.0.0.1', 1), PlainDialect()
            )
            with self.assertRaises(platform.TimedOut):
                await transport.read('desk', 'a')

    async def test_refusals_say_that_nothing_was_done(self):
        """Guards against a write that counts as done though it was refused."""
        for status, expected in (
            (503, platform.Unavailable),
            (429, platform.RateLimited),
            (409, platform.Conflict),
            (500, platform.OutcomeUnknown),
        ):

            async def refuse(reader, writer, status=status):
                await reader.readuntil(b'\r\n\r\n')
                writer.write(
                    b'HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n' % status
                )

            transport = await self.start(refuse)
            with self.subTest(status=status), self.assertRaises(expected):
                await transport.write(platform.Write('desk', 'a', {}, ()))

    async def test_bytes_that_are_no_answer(self):
        """Guards against another program on the platform's port."""

        async def babble(reader, writer):
            writer.write(b'hello\r\n\r\n')

        transport = await self.start(babble)
        with self.assertRaises(platform.Unavailable):
            await transport.read('desk', 'a')


if __name__ == '__main__':
    unittest.main()

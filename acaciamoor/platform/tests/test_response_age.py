"""Tests of how old the contents of a response are taken to be."""

import asyncio
import datetime
import socket
import threading
import time
import unittest

from acaciamoor import model
from acaciamoor.platform import polling
from acaciamoor.platform.tests import builders
from acaciamoor.platform.tests import test_polling

TIMEOUT = test_polling.TIMEOUT


class ResponseAgeTest(test_polling.TransportTestCase):
    async def test_slow_response_is_as_old_as_its_transfer(self):
        """Guards against a host that takes late data for fresh.

        The platform made the response before its first byte was sent.
        """

        async def respond_slowly(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n')
            for _ in range(4):
                await asyncio.sleep(TIMEOUT.total_seconds() / 2)
                writer.write(b'7')

        transport = await self.start(respond_slowly)
        async for event in transport.stream('desk', 5):
            self.assertGreaterEqual(event.transfer_time, 1.5 * TIMEOUT)
        listing = await transport.read_all('desk')
        self.assertGreaterEqual(listing.transfer_time, 1.5 * TIMEOUT)

    async def test_response_that_is_read_late_is_as_old_as_the_wait(self):
        """Guards against hosts that take an old list for a current one.

        The process is stopped between the response and its reading. Without
        changes the platform responds at the end of the wait.
        """
        address = self.start_thread()
        transport = polling.LongPollTransport(
            address,
            builders.StubDialect(),
            polling.LongPollSettings(poll_timeout=TIMEOUT),
        )
        stopped = 0.6

        async def read_bookmark():
            return [event async for event in transport.stream('desk', 5)][-1]

        task = asyncio.create_task(read_bookmark())
        await asyncio.sleep(TIMEOUT.total_seconds() / 2)
        time.sleep(stopped)
        bookmark = await task
        self.assertGreater(
            bookmark.transfer_time.total_seconds(),
            stopped - TIMEOUT.total_seconds(),
        )

    async def test_changes_that_are_read_late_are_as_old_as_the_stop(self):
        """Guards against hosts that take an old list for a current one.

        The process is stopped between a response and its reading. With changes
        the platform responds before the end of the wait. The process may be
        stopped again when it has looked for data, or has read the response.
        """
        for stops in ((0.6,), (0.3, 0.3), (0.2, 0.2, 0.2)):
            transport = polling.LongPollTransport(
                self.start_thread(), builders.StubDialect()
            )

            async def read_bookmark(transport=transport):
                events = [event async for event in transport.stream('desk', 5)]
                return time.monotonic(), events[-1]

            task = asyncio.create_task(read_bookmark())
            await asyncio.sleep(TIMEOUT.total_seconds() / 2)
            for stop in stops:
                time.sleep(stop)
                await asyncio.sleep(0)
            read_at, bookmark = await task
            with self.subTest(stops=stops):
                self.assertGreater(read_at - self.responded_at, 0.2)
                self.assertGreaterEqual(
                    bookmark.transfer_time.total_seconds(),
                    read_at - self.responded_at,
                )

    async def test_response_that_is_read_at_once_is_recent(self):
        """Guards against calls to the store for lists that are current.

        A response does not become old while the platform waits for a change.
        """
        wait = 6 * TIMEOUT
        transport = polling.LongPollTransport(
            self.start_thread(wait), builders.StubDialect()
        )
        events = [event async for event in transport.stream('desk', 5)]
        self.assertLess(events[-1].transfer_time, wait / 2)

    def start_thread(
        self, wait: datetime.timedelta = TIMEOUT
    ) -> model.Address:
        """Return the address of a platform that is not stopped.

        It responds to one request after `wait`.
        """
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)

        def respond():
            with listener.accept()[0] as connected:
                connected.recv(4096)
                time.sleep(wait.total_seconds())
                connected.sendall(
                    b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7'
                )
                self.responded_at = time.monotonic()

        thread = threading.Thread(target=respond)
        thread.start()
        self.addCleanup(thread.join)
        return model.Address(*listener.getsockname())


if __name__ == '__main__':
    unittest.main()

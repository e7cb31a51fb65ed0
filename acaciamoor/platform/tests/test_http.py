"""Requests over slow connections, and those that carry too much."""

import asyncio
import contextlib
import datetime
import json
import unittest

from acaciamoor.platform import errors
from acaciamoor.platform import http

SILENCE = datetime.timedelta(milliseconds=100)


class HttpTransportTest(unittest.IsolatedAsyncioTestCase):
    async def test_second_copy_of_a_response_is_not_the_next_response(self):
        """Guards against an object that is taken for another one.

        The server sends each response twice: the second copy at once, while
        the connection is idle, or after the next request was sent.
        """
        for delay in (0.0, 0.02, 0.06):

            async def respond_twice(reader, writer, delay=delay):
                try:
                    while True:
                        request = await reader.readuntil(b'\r\n\r\n')
                        name = request.split()[1].decode().rpartition('/')[2]
                        metadata = {'name': name, 'resourceVersion': '5'}
                        body = json.dumps({'metadata': metadata}).encode()
                        head = (
                            'HTTP/1.1 200 OK\r\n'
                            'Content-Type: application/json\r\n'
                            f'Content-Length: {len(body)}\r\n\r\n'
                        )
                        writer.write(head.encode() + body)
                        await asyncio.sleep(delay)
                        writer.write(head.encode() + body)
                except (asyncio.IncompleteReadError, ConnectionError):
                    return
                finally:
                    writer.close()

            server = await asyncio.start_server(respond_twice, '127.0.0.1', 0)
            self.addCleanup(server.close)
            ip, port = server.sockets[0].getsockname()
            async with http.HttpTransport(f'http://{ip}:{port}') as transport:
                for number in range(4):
                    with self.subTest(delay=delay, number=number):
                        name = f'desk-{number}'
                        stored = await transport.read('services', name)
                        self.assertEqual(name, stored.name)
                    await asyncio.sleep(0.03)
            await asyncio.sleep(0.1)

    async def test_large_listing_arrives_over_a_narrow_link(self):
        """Guards against a time limit for whole listings (inc1)."""
        body = json.dumps({'metadata': {'resourceVersion': '5'}, 'items': []})

        async def respond_slowly(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
            writer.write(head.encode())
            for character in body:
                await asyncio.sleep(3 * SILENCE.total_seconds() / len(body))
                writer.write(character.encode())
            writer.close()

        async with self.connect(respond_slowly) as transport:
            listing = await transport.read_all('services')
        self.assertEqual(5, listing.version)

    async def test_silence_within_a_listing_ends_the_request(self):
        """Guards against a platform that hangs in the middle of a response."""

        async def respond_partly(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\na')
            await reader.read()
            writer.close()

        async with self.connect(respond_partly) as transport:
            async with asyncio.timeout(10 * SILENCE.total_seconds()):
                with self.assertRaises(errors.Unavailable):
                    await transport.read_all('services')

    @contextlib.asynccontextmanager
    async def connect(self, handler):
        """Yield a transport to a server that runs `handler`."""
        server = await asyncio.start_server(handler, '127.0.0.1', 0)
        self.addCleanup(server.close)
        ip, port = server.sockets[0].getsockname()
        async with http.HttpTransport(
            f'http://{ip}:{port}', http.Timeouts(request=SILENCE)
        ) as transport:
            yield transport


if __name__ == '__main__':
    unittest.main()

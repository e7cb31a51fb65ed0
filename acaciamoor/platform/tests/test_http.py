"""Requests over connections that carry more than was asked for."""

import asyncio
import json
import unittest

from acaciamoor.platform import http


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


if __name__ == '__main__':
    unittest.main()

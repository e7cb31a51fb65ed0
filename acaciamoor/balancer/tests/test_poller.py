"""Polls of upstreams whose answers are malformed or repeated."""

import asyncio
import unittest

from acaciamoor import clock
from acaciamoor import model
from acaciamoor.balancer import core as cores
from acaciamoor.balancer.shell import driver as drivers
from acaciamoor.balancer.shell import upstream_poller

SERVICE = model.ServiceId(1)
NESTED = b'{"x":' + b'[' * 100_000 + b']' * 100_000 + b',"busy":1}'


class PollerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.polls = asyncio.Queue()
        self.poller = upstream_poller.UpstreamPoller(
            clock.SystemClock(), self.polls.put_nowait
        )

    async def serve(self, answers_by_path, copies=1) -> model.Address:
        """Start an upstream's endpoint that sends each answer repeatedly."""

        async def respond(reader, writer):
            while True:
                try:
                    request = await reader.readuntil(b'\r\n\r\n')
                except (OSError, EOFError):
                    break
                body = answers_by_path[request.split()[1].decode()]
                head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
                for _ in range(copies):
                    writer.write(head % len(body) + body)
                    await asyncio.sleep(0.01)
            writer.close()

        server = await asyncio.start_server(respond, '127.0.0.1', 0)
        self.addCleanup(server.close)
        return model.Address(*server.sockets[0].getsockname())

    async def poll(self, *controls, rounds=1) -> list[cores.UpstreamPolled]:
        """Poll upstreams with these endpoints; return the results."""
        self.poller.set_upstreams(
            cores.PollUpstreams(
                (
                    (
                        SERVICE,
                        tuple(
                            model.Upstream(
                                model.UpstreamId(f'desk-{number}'),
                                model.DataCentre('kgn-a'),
                                control,
                                control=control,
                            )
                            for number, control in enumerate(controls)
                        ),
                    ),
                )
            )
        )
        task = asyncio.create_task(self.poller.run())
        try:
            async with asyncio.timeout(10):
                return [
                    await self.polls.get()
                    for _ in range(rounds * len(controls))
                ]
        finally:
            task.cancel()

    async def test_malformed_load_does_not_affect_other_upstreams(self):
        """Guards against one upstream whose answer ends the balancer."""
        good = await self.serve({'/health': b'', '/load': b'{"busy":2}'})
        for body in (NESTED, b'{"busy":-7}', b'\xff', b'[]'):
            bad = await self.serve({'/health': b'', '/load': body})
            with self.subTest(body=body[:20]):
                polls = await self.poll(bad, good, rounds=2)
                loads_by_id = {
                    poll.upstream_id: poll.running for poll in polls
                }
                self.assertEqual({'desk-0': None, 'desk-1': 2}, loads_by_id)

    async def test_second_copy_of_an_answer_is_not_the_next_answer(self):
        """Guards against an answer about health that is read as a load."""
        control = await self.serve(
            {'/health': b'{"busy":9}', '/load': b'{"busy":2}'}, copies=2
        )
        for poll in await self.poll(control, rounds=3):
            self.assertEqual(2, poll.running)


class FailingCore:
    """Core that fails at one kind of event."""

    def __init__(self):
        self.ticks = 0

    def handle(self, event):
        if isinstance(event, cores.LeaveRequested):
            raise RecursionError('deep')
        self.ticks += 1
        return []


class DriverTest(unittest.TestCase):
    def test_unexpected_error_stops_no_later_event(self):
        """Guards against a balancer that no longer handles any event."""

        class Socket:
            send = None

        driver = drivers.Driver(FailingCore(), Socket, Socket, Socket)
        with self.assertLogs(level='ERROR'):
            driver.events.on_next(cores.LeaveRequested())
        driver.events.on_next(cores.Tick())
        self.assertEqual(1, driver.core.ticks)
        self.assertEqual(1, driver.failed_events)


if __name__ == '__main__':
    unittest.main()

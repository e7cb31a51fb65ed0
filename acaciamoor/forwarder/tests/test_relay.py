"""Relays and their listeners on loopback."""

import asyncio
import datetime
import socket
import unittest

import uvloop

from acaciamoor import clock
from acaciamoor import model
from acaciamoor import replica
from acaciamoor.forwarder.shell import relay_link
from acaciamoor.forwarder.shell import relay_server
from acaciamoor.replica.tests import builders

SECOND = datetime.timedelta(seconds=1)
KIND = builders.KIND


def free_address() -> model.Address:
    """Return a loopback address that nobody uses."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return model.Address(*probe.getsockname())


class UvloopPolicy(unittest.IsolatedAsyncioTestCase):
    """Runs on the event loop of the program."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        previous = asyncio.get_event_loop_policy()
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
        cls.addClassCleanup(asyncio.set_event_loop_policy, previous)


class RelayTest(UvloopPolicy):
    async def asyncSetUp(self):
        self.source = builders.known(5, builders.put('a', 3, x=1))
        self.address = free_address()
        self.server = relay_server.RelayServer(
            self.address, {KIND: self.source}, clock.ManualClock()
        )
        await self.server.start()
        self.addCleanup(self.server.close)

    def listen(self, own_id: str, copy: replica.Replica):
        """Return the messages and the task of a listener."""
        messages: asyncio.Queue[replica.Message] = asyncio.Queue()
        peer = replica.Peer('relay', 'kgn-a', self.address)
        link = relay_link.RelayLink(
            own_id,
            peer,
            {KIND: copy},
            lambda _, message: messages.put_nowait(message),
        )
        return messages, asyncio.create_task(link.run())

    async def test_listener_gets_all_and_then_changes(self):
        """Guards against a listener that lacks what came before it."""
        copy = replica.Replica(KIND)
        messages, task = self.listen('h-1', copy)
        copy.apply((await messages.get()).batch())
        self.assertEqual({'a'}, copy.names)
        batch = replica.Batch(5, 6, (builders.put('b', 6),))
        self.source.apply(batch)
        self.server.publish(KIND, batch)
        copy.apply((await messages.get()).batch())
        self.assertEqual({'a', 'b'}, copy.names)
        task.cancel()

    async def test_listener_that_is_gone_does_not_end_the_relay(self):
        """Guards against a relay that stops following the store.

        The connection is closed, and its task has not run since then, when
        the relay writes its next message.
        """
        messages, task = self.listen('h-1', replica.Replica(KIND))
        await messages.get()
        for writer in self.server._writers_by_name.values():
            writer.transport.abort()
        self.server.beat()
        await asyncio.sleep(0)
        self.server.beat()
        self.server.publish(KIND, replica.Batch(5, 5))
        self.assertEqual(0, self.server.listeners)
        task.cancel()

    async def test_other_client_is_disconnected(self):
        """Guards against other clients that take up a listener's place."""
        reader, writer = await asyncio.open_connection(
            self.address.ip, self.address.port
        )
        writer.write(b'GET / HTTP/1.1\r\n\r\n')
        self.assertEqual(b'', await reader.read(100))
        self.assertEqual(0, self.server.listeners)
        writer.close()


if __name__ == '__main__':
    unittest.main()

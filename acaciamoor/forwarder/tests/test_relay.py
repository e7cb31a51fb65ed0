"""Relay servers and their listeners over the loopback interface."""

import asyncio
import datetime
import unittest
from unittest import mock

import uvloop

from acaciamoor import clock
from acaciamoor import model
from acaciamoor import replica
from acaciamoor.demo import site
from acaciamoor.forwarder.shell import relay_link
from acaciamoor.forwarder.shell import relay_server
from acaciamoor.replica.tests import builders

SECOND = datetime.timedelta(seconds=1)
KIND = builders.KIND
SILENCE = datetime.timedelta(milliseconds=300)


class UvloopTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case that runs on uvloop, as the forwarder does."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        previous = asyncio.get_event_loop_policy()
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
        cls.addClassCleanup(asyncio.set_event_loop_policy, previous)


class RelayTestCase(UvloopTestCase):
    """Base class of tests with a relay and its listeners."""

    async def asyncSetUp(self):
        self.source = builders.new_replica(5, builders.put('a', 3, x=1))
        self.address = site.find_free_address()
        own = replica.Peer('relay', 'kgn-a', self.address)
        self.server = relay_server.RelayServer(
            own,
            {KIND: self.source},
            replica.PeerList(own),
            clock.ManualClock(),
        )
        await self.server.start()
        self.addCleanup(self.server.close)

    def listen(self, own_id: str, target: replica.Replica):
        """Start a listener; return its message queue and its task."""
        messages: asyncio.Queue[replica.Message] = asyncio.Queue()
        peer = replica.Peer('relay', 'kgn-a', self.address)
        own = replica.Peer(own_id, 'kgn-a', model.Address('127.0.0.1', 1))
        self.link = relay_link.RelayLink(
            own,
            peer,
            {KIND: target},
            lambda _, message, delay: messages.put_nowait((message, delay)),
            lambda: 0,
            clock.SystemClock(),
        )
        return messages, asyncio.create_task(self.link.run())


class RelayTest(RelayTestCase):
    async def test_listener_gets_a_snapshot_and_then_changes(self):
        """Guards against a listener without the earlier objects."""
        target = replica.Replica(KIND)
        messages, task = self.listen('h-1', target)
        known, _ = await messages.get()
        self.assertEqual(
            {'relay', 'h-1'}, {state.host_id for state in known.peers}
        )
        update, delay = await messages.get()
        self.assertLess(delay, SECOND)
        target.apply(update.to_batch())
        self.assertEqual({'a'}, target.names)
        batch = replica.Batch(5, 6, (builders.put('b', 6),))
        self.source.apply(batch)
        self.server.publish(KIND, batch)
        update, _ = await messages.get()
        target.apply(update.to_batch())
        self.assertEqual({'a', 'b'}, target.names)
        task.cancel()

    async def test_lost_listener_does_not_stop_the_relay(self):
        """Guards against a relay that fails on a closed connection.

        The connection is closed, but its task has not run since, when the
        relay sends its next message.
        """
        messages, task = self.listen('h-1', replica.Replica(KIND))
        await messages.get()
        for listener in self.server._listeners_by_host.values():
            listener.writer.transport.abort()
        self.server.send_heartbeat()
        await asyncio.sleep(0)
        self.server.send_heartbeat()
        self.server.publish(KIND, replica.Batch(5, 5))
        self.assertEqual(0, self.server.listeners)
        task.cancel()

    async def test_client_without_hello_is_disconnected(self):
        """Guards against registering clients of another protocol."""
        reader, writer = await asyncio.open_connection(
            self.address.ip, self.address.port
        )
        writer.write(b'GET / HTTP/1.1\r\n\r\n')
        self.assertEqual(b'', await reader.read(100))
        self.assertEqual(0, self.server.listeners)
        writer.close()

    async def test_client_of_another_protocol_is_disconnected(self):
        """Guards against versions with an era at hosts that know no eras.

        Such a host would ask the store for changes after a revision that
        does not exist, and take all listings for older ones.
        """
        reader, writer = await asyncio.open_connection(
            self.address.ip, self.address.port
        )
        hello = replica.Hello('h-1', {KIND: 3})
        writer.write(replica.MessageCodec().encode(hello))
        self.assertEqual(b'', await reader.read(100))
        self.assertEqual(0, self.server.listeners)
        writer.close()

    async def test_large_message_arrives_over_a_narrow_link(self):
        """Guards against a time limit for whole messages (inc1).

        A large configuration over a narrow link takes longer than the
        silence after which a relay is lost.
        """
        update = replica.Update.from_batch(
            self.source, self.source.changes_since(0), 0 * SECOND
        )
        frame = replica.MessageCodec().encode(update)

        async def send_slowly(reader, writer):
            for offset in range(len(frame)):
                writer.write(frame[offset : offset + 1])
                await asyncio.sleep(2 * SILENCE.total_seconds() / len(frame))
            await reader.read()

        server = await asyncio.start_server(send_slowly, '127.0.0.1', 0)
        self.addCleanup(server.close)
        self.address = model.Address(*server.sockets[0].getsockname())
        target = replica.Replica(KIND)
        with mock.patch.object(relay_link, 'READ_TIMEOUT', SILENCE):
            messages, task = self.listen('h-1', target)
            async with asyncio.timeout(10 * SILENCE.total_seconds()):
                received, delay = await messages.get()
        target.apply(received.to_batch())
        self.assertEqual({'a'}, target.names)
        # What the relay confirms in the message is as old as its transfer.
        self.assertGreaterEqual(delay, 1.5 * SILENCE)
        task.cancel()

    async def test_heartbeat_that_was_held_back_is_old(self):
        """Guards against a host that takes old lists for fresh ones.

        A path that was cut for a moment delivers afterwards what it held.
        """
        codec = replica.MessageCodec()

        async def send_late(reader, writer):
            for sent_at in (100.0, 100.1, 100.2):
                writer.write(codec.encode(replica.Beat({}, sent_at=sent_at)))
                await asyncio.sleep(SILENCE.total_seconds())
            await reader.read()

        server = await asyncio.start_server(send_late, '127.0.0.1', 0)
        self.addCleanup(server.close)
        self.address = model.Address(*server.sockets[0].getsockname())
        messages, task = self.listen('h-1', replica.Replica(KIND))
        delays = [(await messages.get())[1] for _ in range(3)]
        self.assertLess(delays[0], 0.1 * SECOND)
        self.assertGreaterEqual(delays[1], 0.15 * SECOND)
        self.assertGreaterEqual(delays[2], 0.35 * SECOND)
        task.cancel()

    async def test_silence_within_a_message_ends_the_connection(self):
        """Guards against a relay that hangs in the middle of a message."""

        async def send_a_part(reader, writer):
            writer.write(b'\0\0\1\0abc')
            await reader.read()

        server = await asyncio.start_server(send_a_part, '127.0.0.1', 0)
        self.addCleanup(server.close)
        self.address = model.Address(*server.sockets[0].getsockname())
        with mock.patch.object(relay_link, 'READ_TIMEOUT', SILENCE):
            _, task = self.listen('h-1', replica.Replica(KIND))
            async with asyncio.timeout(10 * SILENCE.total_seconds()):
                with self.assertRaisesRegex(
                    TimeoutError, 'after 3 of 256 bytes'
                ):
                    await task


if __name__ == '__main__':
    unittest.main()

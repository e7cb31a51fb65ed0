"""Batches of packets and their errors."""

import asyncio
import unittest
from unittest import mock

from acaciamoor import clock
from acaciamoor import forwarder
from acaciamoor.forwarder import sync_status
from acaciamoor.forwarder.shell import driver as drivers
from acaciamoor.forwarder.shell import observer as observers
from acaciamoor.forwarder.tests import builders


class Codec:
    """Codec whose datagrams hold the address of the caller."""

    def decode(self, data):
        if data == b'bad':
            raise RuntimeError('unexpected')
        return builders.packet(caller=(0x64400007, int(data)), token=1)

    def encode(self, data, token, wire_id):
        return data

    def encode_reset(self, key, sequence):
        return b'reset'

    def get_caller_address(self, key):
        return ('127.0.0.1', key[1])


class Socket:
    """Socket that holds datagrams to read and collects those sent."""

    def __init__(self, *datagrams):
        self.waiting = list(datagrams)
        self.sent = []
        self.empty = True

    def read_batch(self):
        batch, self.waiting = self.waiting, []
        return batch, self.empty

    def send(self, data, address):
        self.sent.append(data)

    def start(self, loop, on_readable):
        self.on_readable = on_readable


class DriverTest(unittest.IsolatedAsyncioTestCase):
    def start(self, socket, core, time=None):
        """Return the observer of a driver that reads `socket`."""
        time = time or clock.ManualClock()
        observer = observers.Observer(
            clock.ManualClock(), lambda: sync_status.SyncStatus(1, 1, 0)
        )
        driver = drivers.Driver(
            core,
            Codec(),
            socket,
            observer,
            time,
            forwarder.CoreSettings('kgn-a').pause_threshold,
        )
        driver.start(asyncio.get_running_loop())
        return observer

    async def test_packets_after_an_unexpected_error_are_forwarded(self):
        """Guards against one packet that costs the rest of its batch."""
        core = mock.Mock()
        core.take_observations.return_value = []
        core.next_retry_at.return_value = None
        core.handle.side_effect = lambda data, *_: forwarder.Forward(
            data, 'desk-1', ('127.0.0.1', 8080), 1, 1
        )
        socket = Socket(b'1', b'bad', b'3')
        observer = self.start(socket, core)
        with self.assertLogs(level='ERROR'):
            socket.on_readable()
        self.assertEqual([b'1', b'3'], socket.sent)
        self.assertIn(
            ' 1', '\n'.join(observer.failures.lines()), 'errors are counted'
        )

    async def test_pacer_learns_of_pauses_and_of_what_was_sent(self):
        """Guards against counts that a stopped process puts in the past."""
        core, time = mock.Mock(), clock.ManualClock()
        core.take_observations.return_value = []
        core.next_retry_at.return_value = None
        forward = forwarder.Forward(b'', 'desk-1', ('127.0.0.1', 1), 1, 1)

        def place(*_):
            time.advance(700 * builders.MS)
            return forwarder.Placement((0, 1, 0, 2), forward, '', 1, 0, 1, 0)

        core.handle.side_effect = place
        socket = Socket(b'1')
        self.start(socket, core, time)
        time.advance(1600 * builders.MS)
        paused_until = time.monotonic()
        with self.assertLogs(level='WARNING'):
            socket.on_readable()
        core.pacer.settle_again.assert_called_once_with(paused_until)
        core.pacer.record_sent.assert_called_once_with(
            'desk-1', paused_until + 700 * builders.MS
        )


if __name__ == '__main__':
    unittest.main()

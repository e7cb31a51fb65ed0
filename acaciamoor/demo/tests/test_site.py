"""Ports of the processes of a demo or a test."""

import contextlib
import socket
import unittest
from unittest import mock

from acaciamoor.demo import site

# First port that Linux gives to connections by default.
FIRST_EPHEMERAL_PORT = 32768


class PortAllocatorTest(unittest.TestCase):
    def test_ports_are_not_given_to_others_before_they_are_used(self):
        """Guards against a process that finds its port in use at its start.

        Ports are free between their release and the start of the process.
        Connections of other programs must not get them meanwhile.
        """
        allocator = site.PortAllocator()
        ports = [allocator.allocate_address().port for _ in range(40)]
        allocator.release()
        self.assertEqual(len(ports), len(set(ports)))
        self.assertLess(max(ports), FIRST_EPHEMERAL_PORT)
        with contextlib.ExitStack() as stack:
            for port in ports:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = stack.enter_context(
                        socket.socket(socket.AF_INET, kind)
                    )
                    sock.bind(('127.0.0.1', port))

    def test_port_is_not_given_twice_before_it_is_used(self):
        """Guards against two hosts of one test that get the same port.

        Tests take the addresses of many hosts, one at a time, before they
        start the first of them.
        """
        with mock.patch.object(site, '_PORTS', range(20000, 20060)):
            ports = [site.find_free_address().port for _ in range(30)]
        self.assertEqual(len(ports), len(set(ports)))


if __name__ == '__main__':
    unittest.main()

"""The stand-ins detect violated guarantees."""

import asyncio
import unittest

from acaciamoor import clock as clocks
from acaciamoor import model
from acaciamoor.standins import caller
import acaciamoor.standins.contract as contract
import acaciamoor.standins.fabric as fabric
import acaciamoor.standins.upstream as upstream
import acaciamoor.wire as wire

SERVICE = 1
BALANCER = ('127.0.0.1', 7000)
HEADER = wire.encode_proxy_header(
    wire.ProxyHeader(
        model.Address('127.0.0.1', 5000), model.Address('127.0.0.1', 8001)
    )
)


class RecordingTransport(asyncio.DatagramTransport):
    """Records the envelopes that are sent."""

    def __init__(self):
        super().__init__()
        self.sent = []

    def sendto(self, data, addr=None):
        _, offset = wire.parse_proxy_header(data)
        self.sent.append(wire.decode(data[offset:]))


class ChecksTest(unittest.TestCase):
    def setUp(self):
        self.counters = caller.ServiceCounters(SERVICE)
        self.run = contract.RunRecord(SERVICE, 5, 1, 0, idempotent=False)

    def count_violations(self, *records):
        caller.count_run_violations(self.counters, records)
        return self.counters.violations

    def test_runs_at_two_upstreams_are_a_double_run(self):
        """Guards against counting the runs of each upstream separately."""
        violations = self.count_violations(
            contract.UpstreamRecords('desk-1', SERVICE, [self.run]),
            contract.UpstreamRecords('desk-2', SERVICE, [self.run]),
        )
        self.assertEqual(1, violations['double runs'])

    def test_refused_request_that_ran_is_a_false_refusal(self):
        """Guards against trusting a reported "not run" without the records."""
        self.counters.outcomes_by_key[(5, 1)] = wire.Outcome.NOT_RUN
        violations = self.count_violations(
            contract.UpstreamRecords('desk-1', SERVICE, [self.run])
        )
        self.assertEqual(1, violations['false not run'])

    def test_datagram_of_another_service_is_counted(self):
        """Guards against a check that misses datagrams of another service."""
        violations = self.count_violations(
            contract.UpstreamRecords('desk-1', SERVICE, [], wrong_service=2)
        )
        self.assertEqual(2, violations['wrong service'])


class UpstreamServerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.server = upstream.UpstreamServer(
            upstream.Behaviour('desk-1', SERVICE, slots=1),
            clocks.SystemClock(),
        )
        self.transport = RecordingTransport()
        self.server.connection_made(self.transport)

    def receive(self, kind, flow, request=0, **fields):
        fields.setdefault('service', SERVICE)
        fields.setdefault('timeout', clocks.SystemClock().monotonic())
        envelope = wire.Envelope(
            kind=kind, flow=flow, request=request, **fields
        )
        self.server.datagram_received(HEADER + wire.encode(envelope), BALANCER)

    async def test_full_upstream_sheds_and_records_every_run(self):
        """Guards against runs that are missing from the records."""
        self.receive(wire.EnvelopeKind.REQUEST, 1, 1)
        self.receive(wire.EnvelopeKind.REQUEST, 2, 1)
        (refusal,) = self.transport.sent
        self.assertEqual((2, 'shed'), (refusal.flow, refusal.reason))
        self.receive(wire.EnvelopeKind.REQUEST, 1, 1)
        self.assertEqual(2, len(self.server.records().runs))

    async def test_cancelled_request_frees_its_slot(self):
        """Guards against a stand-in that ignores cancellation."""
        self.receive(wire.EnvelopeKind.REQUEST, 1, 1)
        self.receive(wire.EnvelopeKind.CANCEL, 1, 1)
        self.assertEqual(0, self.server.busy)

    async def test_stream_that_was_not_opened_is_refused(self):
        """Guards against an answer on a stream sent to the wrong upstream."""
        self.receive(wire.EnvelopeKind.DATA, 1)
        (refusal,) = self.transport.sent
        self.assertEqual('unknown-stream', refusal.reason)

    async def test_malformed_and_foreign_datagrams_are_counted(self):
        """Guards against a crash of the stand-in on unusable datagrams."""
        self.server.datagram_received(b'', BALANCER)
        self.receive(wire.EnvelopeKind.OPEN, 1, service=2)
        self.assertEqual(1, self.server.malformed)
        self.assertEqual(1, self.server.records().wrong_service)


class FabricTest(unittest.TestCase):
    def test_every_balancer_is_chosen_and_a_cut_loses_datagrams(self):
        """Guards against a fabric that never selects some balancer."""
        balancers = {
            model.HostId(name): model.Address('127.0.0.1', port)
            for name, port in (('a', 1001), ('b', 1002), ('c', 1003))
        }
        faults = fabric.Faults(cut=frozenset([model.HostId('a')]))
        item = fabric.Fabric(balancers, 7, faults)
        chosen = [item.choose_target() for _ in range(300)]
        self.assertEqual(
            {None, ('127.0.0.1', 1002), ('127.0.0.1', 1003)}, set(chosen)
        )
        item.set_usable([model.HostId('b')])
        self.assertEqual(('127.0.0.1', 1002), item.choose_target())

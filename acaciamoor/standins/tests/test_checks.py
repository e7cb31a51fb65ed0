"""The stand-ins notice broken promises."""

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
    """Keeps what is sent."""

    def __init__(self):
        super().__init__()
        self.sent = []

    def sendto(self, data, addr=None):
        _, offset = wire.parse_proxy_header(data)
        self.sent.append(wire.decode(data[offset:]))


class ChecksTest(unittest.TestCase):
    def setUp(self):
        self.tally = caller.ServiceTally(SERVICE)
        self.run = contract.RunRecord(SERVICE, 5, 1, 0, idempotent=False)

    def check(self, *records):
        caller.check_runs(self.tally, records)
        return self.tally.broken_promises

    def test_runs_at_two_upstreams_are_a_double_run(self):
        """Guards against counting the runs of each upstream alone."""
        promises = self.check(
            contract.UpstreamRecords('desk-1', SERVICE, [self.run]),
            contract.UpstreamRecords('desk-2', SERVICE, [self.run]),
        )
        self.assertEqual(1, promises['double runs'])

    def test_refused_request_that_ran_is_a_false_refusal(self):
        """Guards against believing every "not run"."""
        self.tally.outcomes_by_key[(5, 1)] = wire.Outcome.NOT_RUN
        promises = self.check(
            contract.UpstreamRecords('desk-1', SERVICE, [self.run])
        )
        self.assertEqual(1, promises['false not run'])

    def test_datagram_of_another_service_is_counted(self):
        """Guards against a check that never sees a wrong service."""
        promises = self.check(
            contract.UpstreamRecords('desk-1', SERVICE, [], wrong_service=2)
        )
        self.assertEqual(2, promises['wrong service'])


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
        """Guards against runs that the checks cannot see."""
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
        """Guards against a misrouted stream that looks healthy."""
        self.receive(wire.EnvelopeKind.DATA, 1)
        (refusal,) = self.transport.sent
        self.assertEqual('unknown-stream', refusal.reason)

    async def test_malformed_and_foreign_datagrams_are_counted(self):
        """Guards against a crash of the stand-in."""
        self.server.datagram_received(b'', BALANCER)
        self.receive(wire.EnvelopeKind.OPEN, 1, service=2)
        self.assertEqual(1, self.server.malformed)
        self.assertEqual(1, self.server.records().wrong_service)


class FabricTest(unittest.TestCase):
    def test_every_balancer_is_chosen_and_a_cut_loses_datagrams(self):
        """Guards against a fabric that favours one balancer."""
        balancers = {
            model.HostId(name): model.Address('127.0.0.1', port)
            for name, port in (('a', 1001), ('b', 1002), ('c', 1003))
        }
        faults = fabric.Faults(cut=frozenset([model.HostId('a')]))
        item = fabric.Fabric(balancers, 7, faults)
        chosen = [item.choose() for _ in range(300)]
        self.assertEqual(
            {None, ('127.0.0.1', 1002), ('127.0.0.1', 1003)}, set(chosen)
        )
        item.set_usable([model.HostId('b')])
        self.assertEqual(('127.0.0.1', 1002), item.choose())

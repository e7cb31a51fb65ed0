"""Tests of several balancer cores on a virtual network."""

import collections
import dataclasses
import datetime
import random
import unittest

from acaciamoor.balancer import core as cores
from acaciamoor.balancer.tests import builders
import acaciamoor.model as model
import acaciamoor.model.tests.builders as model_builders
import acaciamoor.wire as wire

SETTLE_SECONDS = 8
KIND = wire.EnvelopeKind


class BalancerNetworkTestCase(unittest.TestCase):
    hosts = 3

    def setUp(self):
        self.fleet = builders.network(hosts=self.hosts)
        self.fleet.run(SETTLE_SECONDS)
        self.service = self.fleet.services[0]
        self.random = random.Random(7)

    def random_host(self):
        """Return a random live balancer, as selected by the fabric."""
        live = set(self.fleet.cores_by_host) - self.fleet.exited_hosts
        return self.random.choice(sorted(live))

    def send_to_random_host(self, kind, flow, **fields):
        data = builders.datagram(self.fleet.services[0], kind, flow, **fields)
        self.fleet.send(self.random_host(), data)

    def answers(self, flow, request):
        return [
            envelope
            for envelope in self.fleet.to_callers
            if (envelope.flow, envelope.request) == (flow, request)
        ]

    def leader(self):
        key = self.random_core().request_path.placers.shard_of(
            self.service.service_id, 1
        )
        return self.random_core().request_path.placers.leader(key)

    def random_core(self):
        return self.fleet.cores_by_host[self.random_host()]


class ServingTest(BalancerNetworkTestCase):
    def test_request_through_any_balancer_runs_once(self):
        """Guards against requests that don't reach the leader or run twice."""
        for flow in range(100, 140):
            self.send_to_random_host(KIND.REQUEST, flow, request=1)
            self.fleet.run(0.1)
            self.assertEqual(1, len(self.fleet.ports_reached(flow)))
            (answer,) = self.answers(flow, 1)
            self.assertIs(KIND.ANSWER, answer.kind)

    def test_retransmission_through_another_balancer_runs_once(self):
        """Guards against running a request again when its answer is lost."""
        self.send_to_random_host(KIND.REQUEST, 5, request=1)
        self.fleet.run(0.5)
        age = builders.SECOND / 2
        self.send_to_random_host(
            KIND.REQUEST, 5, request=1, attempt=1, age=age
        )
        self.fleet.run(0.5)
        self.assertEqual(1, len(self.fleet.ports_reached(5)))
        self.assertEqual(2, len(self.answers(5, 1)))

    def test_stream_keeps_its_upstream_during_drain_and_host_failure(self):
        """Guards against streams broken by a change of views or hosts."""
        flows = range(1000, 1060)
        for flow in flows:
            self.send_to_random_host(KIND.OPEN, flow)
        self.fleet.run(1)
        ports = {flow: self.fleet.ports_reached(flow) for flow in flows}
        self.fleet.update_service(
            self.service.drain_upstream(model.UpstreamId('desk-3'))
        )
        for second in range(12):
            if second == 3:
                self.fleet.kill(self.leader())
                del self.fleet.cores_by_host[self.leader()]
            for flow in flows:
                self.send_to_random_host(KIND.DATA, flow)
            self.fleet.run(1)
        for flow in flows:
            reached = set(self.fleet.ports_reached(flow))
            self.assertEqual(set(ports[flow]), reached)

    def test_drained_upstream_gets_no_new_requests(self):
        """Guards against a placer that applies the activation delay."""
        self.fleet.update_service(
            self.service.drain_upstream(model.UpstreamId('desk-3'))
        )
        self.fleet.run(2)
        port = self.service.upstreams_by_id['desk-3'].address.port
        for flow in range(200, 300):
            self.send_to_random_host(KIND.REQUEST, flow, request=1)
            self.fleet.run(0.05)
            self.assertNotIn(port, self.fleet.ports_reached(flow))


class EvacuationTest(BalancerNetworkTestCase):
    def new_work(self, first, count=40):
        """Return the kinds and ports of new work that reaches upstreams."""
        reached = set()
        for flow in range(first, first + count):
            kind = KIND.REQUEST if flow % 2 else KIND.OPEN
            self.send_to_random_host(kind, flow, request=flow % 2)
            self.fleet.run(0.05)
            reached.update(
                (kind, port) for port in self.fleet.ports_reached(flow)
            )
        return reached

    def test_evacuated_data_centre_gets_no_new_work(self):
        """Guards against work for upstreams that are about to be cut off."""
        self.fleet.set_evacuated(True)
        self.fleet.run(4)
        self.assertEqual(set(), self.new_work(100))
        reasons = {envelope.reason for envelope in self.fleet.to_callers}
        self.assertEqual({'no-upstream'}, reasons)
        self.fleet.set_evacuated(False)
        self.fleet.run(5)
        self.assertEqual(2 * 7, len(self.new_work(200, 120)))

    def test_open_streams_stay_until_taken_back_and_after(self):
        """Guards against an evacuation that moves or refuses streams."""
        flows = range(1000, 1040)
        for flow in flows:
            self.send_to_random_host(KIND.OPEN, flow)
        self.fleet.run(1)
        ports = {flow: set(self.fleet.ports_reached(flow)) for flow in flows}
        # Longer than views without a need are retained.
        for second in range(80):
            if second in (1, 72):
                self.fleet.set_evacuated(second == 1)
            for flow in flows:
                self.send_to_random_host(KIND.DATA, flow)
            self.fleet.run(1)
        refused = [
            envelope
            for envelope in self.fleet.to_callers
            if envelope.kind is KIND.REFUSAL
        ]
        self.assertEqual([], refused)
        for flow in flows:
            self.assertEqual(ports[flow], set(self.fleet.ports_reached(flow)))
            self.assertEqual(81, len(self.fleet.ports_reached(flow)))

    def test_balancer_that_starts_without_the_platform_places_nothing(self):
        """Guards against a host that knows services but no evacuation."""
        self.fleet.set_evacuated(True)
        self.fleet.run(4)
        self.fleet.is_platform_up = False
        host = self.leader()
        self.fleet.kill(host)
        del self.fleet.cores_by_host[host]
        self.fleet.run(3)
        self.fleet.start(host)
        self.assertEqual(set(), self.new_work(100, 200))
        core = self.fleet.cores_by_host[host]
        self.assertIs(cores.State.SERVING, core.state())
        self.assertTrue(core.control_plane.evacuated)

    def test_running_request_of_an_evacuated_data_centre_is_answered(self):
        """Guards against a placer that gives up what it has bound."""
        self.fleet.run_time = 2 * builders.SECOND
        self.send_to_random_host(KIND.REQUEST, 5, request=1)
        self.fleet.run(0.5)
        self.fleet.set_evacuated(True)
        self.fleet.run(3)
        (answer,) = self.answers(5, 1)
        self.assertIs(KIND.ANSWER, answer.kind)


class ReshardingTest(unittest.TestCase):
    def test_request_of_a_merged_shard_does_not_run_again(self):
        """Guards against coverage that ignores requests of another shard."""
        upstreams = [
            model_builders.upstream(f'desk-{index}') for index in range(65)
        ]
        large = model_builders.service(upstreams=upstreams)
        fleet = builders.network(services=(large,))
        fleet.run(SETTLE_SECONDS)
        placers = fleet.cores_by_host['kgn-a-1'].request_path.placers
        flow = next(
            flow
            for flow in range(1000)
            if placers.shard_of(large.service_id, flow).shard == 1
        )
        fleet.send(
            'kgn-a-1', builders.datagram(large, KIND.REQUEST, flow, request=1)
        )
        fleet.run(1)
        kept = dict(list(large.upstreams_by_id.items())[:64])
        fleet.update_service(dataclasses.replace(large, upstreams_by_id=kept))
        fleet.run(1)
        again = builders.datagram(
            large,
            KIND.REQUEST,
            flow,
            request=1,
            attempt=1,
            age=2 * builders.SECOND,
        )
        for host in sorted(fleet.cores_by_host):
            fleet.send(host, again)
        fleet.run(5)
        self.assertEqual(1, len(fleet.ports_reached(flow)))


class FaultTest(BalancerNetworkTestCase):
    def test_resumed_placer_runs_no_stale_request(self):
        """Guards against a paused process that runs stale requests."""
        host = self.leader()
        data = builders.datagram(self.service, KIND.REQUEST, 9, request=1)
        self.fleet.network.freeze(host)
        self.fleet.network.send('fabric', host, cores.CallerDatagrams([data]))
        self.fleet.run(10)
        self.fleet.network.resume(host)
        self.fleet.run(10)
        self.assertEqual([], self.fleet.ports_reached(9))
        (answer,) = self.answers(9, 1)
        self.assertIs(wire.Outcome.OUTCOME_UNKNOWN, answer.outcome)

    def test_pause_that_a_request_reveals_is_logged(self):
        """Guards against a pause that operators cannot see.

        After a pause, a buffered request may be read before any timer.
        """
        host = self.leader()
        data = builders.datagram(self.service, KIND.REQUEST, 9, request=1)
        self.fleet.network.freeze(host)
        self.fleet.run(10)
        produced = self.fleet.cores_by_host[host].handle(
            cores.CallerDatagrams([data])
        )
        logs = [
            effect.message
            for effect in produced
            if isinstance(effect, cores.WriteLog)
        ]
        self.assertEqual(1, len(logs))
        self.assertIn('was paused', logs[0])

    def test_leaving_placer_hands_over_its_queue(self):
        """Guards against requests that are lost in a graceful shutdown."""
        self.fleet.is_answering = False
        requests = range(300, 320)
        for flow in requests:
            self.send_to_random_host(
                KIND.REQUEST, flow, request=1, timeout=20 * builders.SECOND
            )
        self.fleet.run(0.2)
        host = self.leader()
        self.fleet.dispatch(host, cores.LeaveRequested())
        self.fleet.run(1)
        queued = sum(
            core.request_path.placers.queued
            for name, core in self.fleet.cores_by_host.items()
            if name != host
        )
        self.assertEqual(6, queued)
        self.assertNotIn(host, self.fleet.exited_hosts)
        self.fleet.is_answering = True
        self.fleet.run(40)
        self.assertIn(host, self.fleet.exited_hosts)
        for flow in requests:
            self.assertLessEqual(len(self.fleet.ports_reached(flow)), 1)

    def test_leaving_placer_causes_no_refusal_below_capacity(self):
        """Guards against refusals that are caused by planned changes."""
        self.fleet.run_time = datetime.timedelta(milliseconds=40)
        for number in range(1200):
            if number == 400:
                self.fleet.dispatch(self.leader(), cores.LeaveRequested())
            self.send_to_random_host(KIND.REQUEST, 5000 + number, request=1)
            self.fleet.run(0.005)
        self.fleet.run(5)
        kinds = collections.Counter(
            (envelope.kind.name, envelope.reason)
            for envelope in self.fleet.to_callers
        )
        self.assertEqual({('ANSWER', ''): 1200}, dict(kinds))

    def test_truncated_datagrams_are_counted_and_dropped(self):
        """Guards against a crash on truncated or forged datagrams."""
        host = self.random_host()
        core = self.fleet.cores_by_host[host]
        good = builders.datagram(self.service, KIND.REQUEST, 1, request=1)
        sender = ('127.0.0.1', 9001)
        events = []
        for length in range(len(good)):
            events.append(cores.CallerDatagrams([good[:length]]))
            events.append(cores.UpstreamDatagram(sender, good[:length]))
            events.append(cores.PeerDatagram(sender, good[:length]))
        for event in events:
            self.assertEqual([], list(core.handle(event)))
        counters = core.counters
        malformed = counters.counts_by_label(cores.Metric.MALFORMED)
        self.assertEqual(len(good), malformed['caller'])
        self.assertEqual(len(good), malformed['upstream'])
        self.assertEqual(
            {'peer': len(good)},
            counters.counts_by_label(cores.Metric.UNAUTHENTICATED),
        )

    def test_packets_of_other_services_are_dropped(self):
        """Guards against packets that reach another service."""
        other = dataclasses.replace(
            self.service, address=model.Address('127.0.0.1', 8999)
        )
        self.fleet.send(
            self.random_host(), builders.datagram(other, KIND.OPEN, 44)
        )
        foreign = model_builders.service('quote-bench', service_id=2)
        answer = builders.datagram(foreign, KIND.DATA, 45)
        self.fleet.dispatch(
            self.random_host(),
            cores.UpstreamDatagram(('127.0.0.1', 9001), answer),
        )
        self.fleet.run(1)
        self.assertEqual([], self.fleet.ports_reached(44))
        self.assertEqual([], self.answers(45, 0))

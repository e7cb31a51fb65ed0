"""Tests of the compact serialization of messages."""

import datetime
import random
import unittest

import msgspec

from acaciamoor.balancer.core import compact
from acaciamoor.balancer.core import events
from acaciamoor.balancer.core import messages
import acaciamoor.configuration as configuration
import acaciamoor.flows as flows
import acaciamoor.membership as membership
import acaciamoor.model as model
import acaciamoor.model.tests.builders as model_builders
import acaciamoor.views as views

AGE = datetime.timedelta(milliseconds=1250)
SERVICE = model_builders.service()
MEMBER = membership.MemberUpdate(
    'kgn-a-1', 2**63, membership.Phase.ACTIVE, membership.Health.SUSPECT
)
EVACUATION = configuration.EvacuationState(9, True, AGE)
DIGEST = configuration.ConfigurationDigest(
    7, 2**64 - 1, AGE, None, 6, True, EVACUATION
)
HOST = events.Host('kgn-a-1', 'kgn-a', model.Address('::1', 9), True)
ROUND_TRIP_AGES = membership.RoundTripAges(2**64 - 1, b'\x00\xff', b'abcd')
CHANGE = configuration.ServiceVersion(1, 1, SERVICE, AGE)
DELETION = configuration.ServiceVersion(2, 3, None, AGE)
VIEW = views.ServiceView.of(
    SERVICE,
    model_builders.DATA_CENTRE,
    5,
    frozenset(['desk-1']),
    evacuation=9,
    evacuated=True,
)
MESSAGES = (
    membership.Probe(1, MEMBER, (MEMBER,), DIGEST, 9, 'kgn-a-2'),
    membership.ProbeAck(
        1, MEMBER, (), DIGEST, ROUND_TRIP_AGES, (MEMBER,), 'kgn-a-3'
    ),
    membership.IndirectProbe(1, MEMBER, 'kgn-a-3', (MEMBER,)),
    configuration.SnapshotRequest(4, full=True),
    configuration.Delta(0, 3, (CHANGE, DELETION)),
    configuration.Snapshot(3, 0, 3, (CHANGE,)),
    flows.PutRecords('kgn-a-1', 1, 'desk-1', (2**64 - 1, 5), pinned=True),
    flows.ViewNeeds((flows.ViewNeed(1, views.ViewVersion(3, 4)),)),
    messages.HealthUpdate(1, 65537, ('desk-1',), (), AGE),
    messages.HealthReport(1, 'desk-1', healthy=False, dead=True),
    messages.ViewsRequest(1),
    messages.HostsRequest(),
    messages.HostsReply((HOST,)),
    messages.RetainedViews(1, (messages.AgedView(VIEW, AGE),), True),
)


class CompactTest(unittest.TestCase):
    def test_every_message_round_trips(self):
        """Guards against a field that is lost in serialization."""
        for message in MESSAGES:
            with self.subTest(type=type(message).__name__):
                data = compact.pack(message)
                self.assertEqual(message, compact.unpack(type(message), data))

    def test_other_versions_of_a_message_are_understood(self):
        """Guards against probes that fail during an upgrade of a fleet."""
        fields = msgspec.msgpack.decode(compact.pack(DIGEST))

        def unpack(values):
            return compact.unpack(type(DIGEST), msgspec.msgpack.encode(values))

        self.assertIsNone(unpack(fields[:-1]).evacuation)
        self.assertEqual(DIGEST, unpack([*fields, 'unknown']))
        with self.assertRaises(compact.CompactError):
            unpack([])

    def test_every_message_type_is_known_to_peers(self):
        """Guards against a message type that peers drop as unknown."""
        for message in MESSAGES:
            self.assertIs(
                type(message), messages.TYPES_BY_NAME[type(message).__name__]
            )

    def test_truncations_and_changes_raise_only_compact_error(self):
        """Guards against a crash on a message of another version."""
        source = random.Random(7)
        for message in MESSAGES:
            data = compact.pack(message)
            for length in range(len(data)):
                with self.assertRaises(compact.CompactError):
                    compact.unpack(type(message), data[:length])
            for _ in range(200):
                changed = bytearray(data)
                changed[source.randrange(len(data))] = source.randrange(256)
                try:
                    compact.unpack(type(message), bytes(changed))
                except compact.CompactError:
                    continue

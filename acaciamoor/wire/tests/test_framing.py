"""Tests of PROXY headers, envelope preambles, peer messages and key rings."""

import datetime
import random
import unittest

from acaciamoor import model
from acaciamoor import wire

IPV4 = wire.ProxyHeader(
    model.Address('127.0.0.1', 5000), model.Address('10.0.0.9', 8001)
)
IPV6 = wire.ProxyHeader(
    model.Address('::1', 5000), model.Address('2001:db8::9', 8001)
)
FORWARD = wire.PeerMessage(
    'kgn-a-1',
    wire.Forward(
        purpose=wire.ForwardPurpose.RESOLVE,
        datagram=b'\x00bytes',
        position=1,
        hops=2,
        upstream_id='desk-3',
        held=datetime.timedelta(milliseconds=30),
    ),
)
DOCUMENT = wire.PeerMessage('kgn-a-2', wire.Document('Probe', b'\x01\x02'))


class ProxyHeaderTest(unittest.TestCase):
    def test_encoding_round_trips_addresses(self):
        """Guards against replies sent to the wrong caller or service."""
        for header in (IPV4, IPV6):
            with self.subTest(header=header):
                data = wire.encode_proxy_header(header) + b'rest'
                parsed, offset = wire.parse_proxy_header(data)
                self.assertEqual(header, parsed)
                self.assertEqual(b'rest', data[offset:])

    def test_published_example_is_accepted(self):
        """Guards against an encoding that only this code can parse."""
        data = bytes.fromhex(
            '0d0a0d0a000d0a515549540a2112000f7f0000010a0000091388 1f41 040000'
        )
        header, offset = wire.parse_proxy_header(data)
        self.assertEqual((IPV4, len(data)), (header, offset))

    def test_every_truncation_is_an_error(self):
        """Guards against unexpected exceptions for truncated datagrams."""
        for header in (IPV4, IPV6):
            data = wire.encode_proxy_header(header)
            for length in range(len(data)):
                with self.assertRaises(wire.ProxyHeaderError):
                    wire.parse_proxy_header(data[:length])

    def test_other_versions_and_families_are_errors(self):
        """Guards against TCP or LOCAL headers that are accepted as UDP."""
        data = wire.encode_proxy_header(IPV4)
        for index, value in ((0, 0), (12, 0x20), (13, 0x11), (13, 0)):
            corrupted = bytearray(data)
            corrupted[index] = value
            with self.assertRaises(wire.ProxyHeaderError):
                wire.parse_proxy_header(bytes(corrupted))


class PreambleTest(unittest.TestCase):
    def setUp(self):
        self.envelope = wire.Envelope(
            kind=wire.EnvelopeKind.KEEPALIVE,
            service=2**32 - 1,
            flow=2**64 - 2,
            payload=b'board',
        )
        self.data = wire.encode(self.envelope)

    def test_preamble_equals_the_full_decode(self):
        """Guards against a fast-path layout that differs from the schema."""
        for kind in wire.EnvelopeKind:
            envelope = wire.Envelope(kind, 7, 2**63 + 1, payload=b'a' * 9)
            data = wire.encode(envelope)
            decoded = wire.decode(data)
            self.assertEqual(
                (decoded.kind, decoded.service, decoded.flow),
                wire.read_preamble(b'head' + data, 4),
            )

    def test_every_truncation_is_an_error(self):
        """Guards against routing a truncated datagram."""
        for length in range(len(self.data)):
            with self.assertRaises(wire.MalformedError):
                wire.read_preamble(self.data[:length])

    def test_random_corruption_raises_only_malformed(self):
        """Guards against unexpected exceptions for malicious input."""
        source = random.Random(7)
        for _ in range(2000):
            corrupted = bytearray(self.data)
            for _ in range(source.randint(1, 4)):
                corrupted[source.randrange(len(corrupted))] = source.randrange(
                    256
                )
            for parse in (wire.read_preamble, wire.decode):
                try:
                    parse(bytes(corrupted))
                except wire.MalformedError:
                    continue


class PeerMessageTest(unittest.TestCase):
    def test_encoding_round_trips_messages(self):
        """Guards against fields that are lost between balancers."""
        for message in (FORWARD, DOCUMENT):
            self.assertEqual(
                message,
                wire.decode_peer_message(wire.encode_peer_message(message)),
            )

    def test_truncation_and_corruption_raise_only_malformed(self):
        """Guards against unexpected exceptions for damaged messages."""
        source = random.Random(7)
        for message in (FORWARD, DOCUMENT):
            data = wire.encode_peer_message(message)
            for length in range(len(data)):
                with self.assertRaises(wire.MalformedError):
                    wire.decode_peer_message(data[:length])
            for _ in range(500):
                corrupted = bytearray(data)
                corrupted[source.randrange(len(data))] = source.randrange(256)
                try:
                    wire.decode_peer_message(bytes(corrupted))
                except wire.MalformedError:
                    continue


class KeyringTest(unittest.TestCase):
    def setUp(self):
        self.old = wire.Keyring({1: b'a' * 16}, active_key_id=1)
        self.both = wire.Keyring({1: b'a' * 16, 2: b'b' * 16}, active_key_id=2)

    def test_rotation_accepts_both_keys(self):
        """Guards against rejected messages during a key rotation."""
        added = wire.Keyring({1: b'a' * 16, 2: b'b' * 16}, active_key_id=1)
        for sender, receiver in (
            (self.old, added),
            (added, self.old),
            (self.both, added),
            (added, self.both),
        ):
            self.assertEqual(b'm', receiver.verify(sender.sign(b'm')))

    def test_removed_key_is_rejected(self):
        """Guards against a retired key that stays valid."""
        removed = wire.Keyring({2: b'b' * 16}, active_key_id=2)
        with self.assertRaises(wire.AuthenticationError):
            removed.verify(self.old.sign(b'm'))

    def test_every_bit_flip_is_rejected(self):
        """Guards against changes to the key identifier, code or message."""
        signed = self.both.sign(b'probe')
        for index in range(len(signed) * 8):
            corrupted = bytearray(signed)
            corrupted[index // 8] ^= 1 << (index % 8)
            with self.assertRaises(wire.AuthenticationError):
                self.both.verify(bytes(corrupted))
        for length in range(len(signed)):
            with self.assertRaises(wire.AuthenticationError):
                self.both.verify(signed[:length])

    def test_short_or_missing_keys_are_rejected(self):
        """Guards against weak or missing keys in a key file."""
        for keys, active in (({1: b'short'}, 1), ({1: b'a' * 16}, 2)):
            with self.assertRaises(ValueError):
                wire.Keyring(keys, active)

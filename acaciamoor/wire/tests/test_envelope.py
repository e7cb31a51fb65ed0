"""Tests of encoding and decoding envelopes."""

import datetime
import unittest

from acaciamoor import wire


class EnvelopeTest(unittest.TestCase):
    def test_encoding_round_trips_every_field(self):
        """Guards against a field that is lost or swapped with another."""
        envelope = wire.Envelope(
            kind=wire.EnvelopeKind.REFUSAL,
            service=7,
            flow=2**64 - 1,
            request=9,
            attempt=3,
            idempotent=True,
            age=datetime.timedelta(milliseconds=120),
            timeout=datetime.timedelta(milliseconds=800),
            size_class=wire.SizeClass.LONG,
            part=1,
            parts=2,
            outcome=wire.Outcome.OUTCOME_UNKNOWN,
            reason='placer-changed',
            payload=b'\x00spokes\xff',
            retry_after=datetime.timedelta(milliseconds=340),
        )
        self.assertEqual(envelope, wire.decode(wire.encode(envelope)))

    def test_every_truncation_is_malformed(self):
        """Guards against unexpected exceptions for truncated datagrams."""
        envelope = wire.Envelope(
            kind=wire.EnvelopeKind.DATA, service=1, flow=2, payload=b'x' * 40
        )
        data = wire.encode(envelope)
        for length in range(len(data)):
            with (
                self.subTest(length=length),
                self.assertRaises(wire.MalformedError),
            ):
                wire.decode(data[:length])

    def test_part_out_of_range_is_malformed(self):
        """Guards against buffering parts that can never form a message."""
        envelope = wire.Envelope(
            kind=wire.EnvelopeKind.REQUEST, service=1, flow=2, part=2, parts=2
        )
        with self.assertRaises(wire.MalformedError):
            wire.decode(wire.encode(envelope))

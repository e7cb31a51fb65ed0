"""Correctness and memory use of the record table."""

import random
import unittest

from acaciamoor import flows


class FlowRecordsTest(unittest.TestCase):
    def test_agrees_with_a_dictionary(self):
        """Guards against records lost by resizing, deletion or expiry."""
        for seed in range(5):
            source = random.Random(seed)
            records, expected = flows.FlowRecords(), {}
            # Few, adjacent keys cause long probes and many deletions.
            keys = [0, 2**64 - 1, *range(1, 400)] + [
                source.getrandbits(64) for _ in range(1600)
            ]
            for step in range(20_000):
                flow, now = source.choice(keys), step // 100
                action = source.random()
                if action < 0.45 + 0.3 * (step < 8000):
                    expires = now + source.randrange(60)
                    records.put(flow, flow % 7, expires)
                    expected[flow] = (flow % 7, expires)
                elif action < 0.8:
                    removed = expected.pop(flow, None) is not None
                    self.assertEqual(removed, records.remove(flow))
                elif action < 0.9:
                    records.sweep(now, 64)
                    expected = {
                        key: value
                        for key, value in expected.items()
                        if value[1] >= now or records.expiry(key) is not None
                    }
                index, expires = expected.get(flow, (None, -1))
                self.assertEqual(
                    index if expires >= now else None, records.get(flow, now)
                )
                self.assertEqual(len(expected), len(records))

    def test_stays_under_100_bytes_a_flow_while_it_grows(self):
        """Guards against a resize that keeps two large tables."""
        records = flows.FlowRecords()
        for flow in range(100_000):
            records.put(flow, 3, 60)
            if flow >= 100:
                self.assertLess(records.nbytes / len(records), 100)

    def test_sweep_finds_every_expired_record_and_frees_memory(self):
        """Guards against a table that never shrinks after a peak."""
        records = flows.FlowRecords()
        for flow in range(50_000):
            records.put(flow, 1, 60 if flow % 100 else 600)
        peak = records.nbytes
        for _ in range(200):
            records.sweep(61, 4096)
        self.assertEqual(500, len(records))
        self.assertLess(records.nbytes, peak / 10)
        self.assertEqual(1, records.get(49_900, 600))

    def test_scan_sees_every_record_during_growth(self):
        """Guards against a handover that misses records."""
        records = flows.FlowRecords()
        for flow in range(5000):
            records.put(flow, flow % 7, 60)
        seen, start = {}, 0
        while start is not None:
            keys, indexes, _, start = records.read_chunk(start, 1000)
            seen.update(zip(keys.tolist(), indexes.tolist(), strict=True))
        self.assertEqual({flow: flow % 7 for flow in range(5000)}, seen)

"""Comparison of the placer with a simple reference implementation."""

import random
import unittest

from acaciamoor.placement.tests import builders
from acaciamoor.wire import envelope as wire

LONG = wire.SizeClass.LONG
UPSTREAMS = 5
SLOTS = 2 * UPSTREAMS
MAX_LONG_SLOTS = 7


class ReferencePlacer:
    """Keeps one list of requests and searches all of it for each slot."""

    def __init__(self):
        self.waiting = []
        self.running = {}

    def bind(self):
        """Bind requests to all free slots; return their numbers in order."""
        bound = []
        while len(self.running) < SLOTS:
            request = self.next_request()
            if request is None:
                break
            self.waiting.remove(request)
            self.running[request[0]] = request[1]
            bound.append(request[0])
        return bound

    def next_request(self):
        """Return the next request by lane and order of arrival."""
        long_running = sum(self.running.values())
        short = [item for item in self.waiting if not item[1]]
        long = [item for item in self.waiting if item[1]]
        if long_running >= MAX_LONG_SLOTS:
            long = []
        ordered = long + short if not long_running else short + long
        return ordered[0] if ordered else None


class DifferentialTest(unittest.TestCase):
    def test_bindings_equal_those_of_the_reference(self):
        """Guards against requests that are lost, reordered or duplicated."""
        for seed in range(20):
            with self.subTest(seed=seed):
                self.compare(random.Random(seed))

    def compare(self, rng):
        driver = builders.Driver(count=UPSTREAMS)
        reference = ReferencePlacer()
        running = {}
        for request in range(1, 400):
            if running and rng.random() < 0.5:
                done = rng.choice(sorted(running))
                effects = driver.answer(running.pop(done))
                del reference.running[done]
            else:
                long = rng.random() < 0.4
                size_class = LONG if long else wire.SizeClass.SHORT
                effects = driver.submit(request, size_class=size_class)
                reference.waiting.append((request, long))
            bound = builders.binds(effects)
            self.assertEqual(
                reference.bind(), [bind.request_part.request for bind in bound]
            )
            for bind in bound:
                self.check_choice(bind, running)
                running[bind.request_part.request] = bind
        self.assertEqual(len(reference.waiting), driver.placer.queued)

    def check_choice(self, bind, running):
        """Check that a request is bound to a least loaded upstream."""
        in_use = dict.fromkeys(
            [item.upstream_id for item in builders.upstreams(UPSTREAMS)], 0
        )
        for other in running.values():
            in_use[other.upstream.upstream_id] += 1
        self.assertEqual(
            min(in_use.values()), in_use[bind.upstream.upstream_id]
        )

"""The placer decides as a naive model with plain lists does."""

import random
import unittest

from acaciamoor.placement.tests import builders
from acaciamoor.wire import envelope as wire

LONG = wire.SizeClass.LONG
UPSTREAMS = 5
SLOTS = 2 * UPSTREAMS
LONG_CAP = 7


class ModelPlacer:
    """One waiting list that is searched from the start for every slot."""

    def __init__(self):
        self.waiting = []
        self.running = {}

    def bind(self):
        """Return the requests that are bound now, in order."""
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
        """Return the oldest short request, or a long one that may run."""
        long_running = sum(self.running.values())
        short = [item for item in self.waiting if not item[1]]
        long = [item for item in self.waiting if item[1]]
        if long_running >= LONG_CAP:
            long = []
        ordered = long + short if not long_running else short + long
        return ordered[0] if ordered else None


class DifferentialTest(unittest.TestCase):
    def test_bindings_equal_those_of_the_model(self):
        """Guards against a queue that loses, reorders or doubles work."""
        for seed in range(20):
            with self.subTest(seed=seed):
                self.compare(random.Random(seed))

    def compare(self, rng):
        driver = builders.Driver(count=UPSTREAMS)
        model = ModelPlacer()
        running = {}
        for request in range(1, 400):
            if running and rng.random() < 0.5:
                done = rng.choice(sorted(running))
                effects = driver.answer(running.pop(done))
                del model.running[done]
            else:
                long = rng.random() < 0.4
                size_class = LONG if long else wire.SizeClass.SHORT
                effects = driver.submit(request, size_class=size_class)
                model.waiting.append((request, long))
            bound = builders.binds(effects)
            self.assertEqual(
                model.bind(), [bind.work.request for bind in bound]
            )
            for bind in bound:
                self.check_choice(bind, running)
                running[bind.work.request] = bind
        self.assertEqual(len(model.waiting), driver.placer.queued)

    def check_choice(self, bind, running):
        """Every binding goes to a least loaded upstream."""
        in_use = dict.fromkeys(
            [item.upstream_id for item in builders.upstreams(UPSTREAMS)], 0
        )
        for other in running.values():
            in_use[other.upstream.upstream_id] += 1
        self.assertEqual(
            min(in_use.values()), in_use[bind.upstream.upstream_id]
        )

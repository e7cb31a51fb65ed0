"""Driver of a placer on a manual clock, and helpers for its effects."""

import datetime
import random

from acaciamoor import clock as clocks
from acaciamoor import model
from acaciamoor.model.tests import builders as model_builders
from acaciamoor.placement import messages
from acaciamoor.placement import placer as placers
from acaciamoor.requests.tests import builders as request_builders
from acaciamoor.wire import envelope as wire

MILLISECOND = request_builders.MILLISECOND
SECOND = request_builders.SECOND
STEP = 10 * MILLISECOND


def upstreams(count=2, draining=()):
    """Return upstreams ``desk-1``, ``desk-2``, ... with 2 slots each."""
    names = [f'desk-{index}' for index in range(1, count + 1)]
    return [
        model_builders.upstream(name, draining=name in draining)
        for name in names
    ]


class Driver:
    """Sends inputs to one placer and records all of its effects."""

    def __init__(self, count=2, settled=True, **policy):
        self.clock = clocks.ManualClock()
        self.placer = placers.Placer(
            self.clock, random.Random(7), model.Policy(**policy)
        )
        self.effects = []
        self.record(self.placer.set_upstreams(upstreams(count)))
        if settled:
            self.record(self.placer.set_lease(holds=True))
            self.advance(SECOND)

    def record(self, effects):
        """Record effects and return them."""
        self.effects.extend(effects)
        return effects

    def advance(self, step: datetime.timedelta):
        """Advance the clock with regular ticks; return the new effects."""
        start = len(self.effects)
        end = self.clock.monotonic() + step
        while self.clock.monotonic() < end:
            left = end - self.clock.monotonic()
            self.clock.advance(min(STEP, left))
            self.record(self.placer.tick())
        return self.effects[start:]

    def request_part(self, request=1, timeout=20 * SECOND, **fields):
        """Return a request part whose deadline is `timeout` from now."""
        deadline = self.clock.monotonic() + timeout
        return request_builders.request_part(
            request, deadline=deadline, **fields
        )

    def submit(self, request=1, *origin, **fields):
        """Submit a request, with the origin `CALLER` by default."""
        request_part = self.request_part(request, **fields)
        return self.record(self.placer.submit(request_part, *origin))

    def answer(self, bind, part=0, parts=1, upstream_id=None, attempt=None):
        """Answer a bound request, by default from its own upstream."""
        answer = messages.Answer(
            upstream_id=upstream_id or bind.upstream.upstream_id,
            flow=bind.request_part.flow,
            request=bind.request_part.request,
            attempt=bind.request_part.attempt if attempt is None else attempt,
            part=part,
            parts=parts,
            payload=(
                f'answer {bind.request_part.flow}/'
                f'{bind.request_part.request}/{part}'
            ),
        )
        return self.record(self.placer.on_answer(answer))

    def shed(self, bind):
        """Shed a bound request from its upstream."""
        request_part = bind.request_part
        shed = messages.Shed(
            bind.upstream.upstream_id,
            request_part.flow,
            request_part.request,
            request_part.attempt,
        )
        return self.record(self.placer.on_shed(shed))

    def report(self, upstream_id, running, age=datetime.timedelta(0)):
        """Deliver a load report of an upstream."""
        report = messages.LoadReport(upstream_id, running, age)
        return self.record(self.placer.on_report(report))

    def probe(self, upstream_id, healthy, times=1):
        """Deliver the same result of `times` health probes, 200 ms apart."""
        start = len(self.effects)
        for _ in range(times):
            result = messages.ProbeResult(upstream_id, healthy)
            self.record(self.placer.on_probe_result(result))
            self.advance(200 * MILLISECOND)
        return self.effects[start:]

    def serve(self, first, count, step=10 * MILLISECOND, **fields):
        """Run requests one after another, each for `step`."""
        for request in range(first, first + count):
            bound = binds(self.submit(request, **fields))
            self.advance(step)
            for bind in bound:
                self.answer(bind)


def of_type(effects, kind):
    """Return the effects of one type."""
    return [effect for effect in effects if isinstance(effect, kind)]


def binds(effects):
    """Return the `Bind` effects."""
    return of_type(effects, messages.Bind)


def replies(effects, outcome: wire.Outcome | None = None):
    """Return the `Reply` effects, optionally only those of one outcome."""
    return [
        reply
        for reply in of_type(effects, messages.Reply)
        if outcome is None or reply.outcome is outcome
    ]


def fill_slots(driver, slots, first=100, **fields):
    """Submit one request per slot and return the `Bind` effects."""
    bound = []
    for request in range(first, first + slots):
        bound += binds(driver.submit(request, **fields))
    return bound

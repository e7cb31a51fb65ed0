"""Simulated upstream with slots and a queue."""

import collections
import collections.abc
import dataclasses
import datetime

from acaciamoor import harness
from acaciamoor.load.scenarios import placement_oracle as oracles
from acaciamoor.model import upstream as upstreams
from acaciamoor.placement import messages
from acaciamoor.requests import request_part as request_parts

AttemptKey = tuple[int, int, int]
SlowdownFunction = collections.abc.Callable[[datetime.timedelta], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Payload of a request: its run time at an upstream of normal speed."""

    run_time: datetime.timedelta


@dataclasses.dataclass(slots=True)
class _Run:
    request_part: request_parts.RequestPart
    balancer: str
    answer: oracles.RunAnswer | None = None
    ended: bool = False


class SimulatedUpstream:
    """Runs requests in slots; further requests are queued or shed.

    A run stops at the deadline of the request and when it is cancelled.

    Parameters
    ----------
    network : harness.VirtualNetwork
        Carries requests and answers.
    upstream : upstreams.Upstream
        Identifier and number of slots.
    oracle : oracles.Oracle
        Records runs and overloads.
    queue_limit : int
        Maximum number of queued requests; further ones are shed.
    """

    def __init__(
        self,
        network: harness.VirtualNetwork,
        upstream: upstreams.Upstream,
        oracle: oracles.Oracle,
        queue_limit: int,
    ) -> None:
        self.name = upstream.upstream_id
        self.slots = upstream.slots
        self._nominal_slots = upstream.slots
        self.queue_limit = queue_limit
        self.slowdown: SlowdownFunction = lambda now: 1.0
        self.answer_delay = datetime.timedelta(0)
        self.copies = 1
        self.last_bound_at = datetime.timedelta(0)
        self._network = network
        self._oracle = oracle
        self._running_by_attempt: dict[AttemptKey, _Run] = {}
        self._waiting: collections.deque[_Run] = collections.deque()
        network.add_host(self.name, self.on_message)

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return len(self._running_by_attempt)

    @property
    def load(self) -> int:
        """Number of requests that run or are queued."""
        return self.running + len(self._waiting)

    def load_from(self, balancer: str) -> int:
        """Return the number of requests of one balancer that run or wait."""
        runs = [*self._running_by_attempt.values(), *self._waiting]
        return sum(run.balancer == balancer for run in runs)

    def on_message(self, sender: str, message: object) -> None:
        """Handle a request or a cancellation from a balancer."""
        if isinstance(message, messages.Bind):
            self._on_bind(_Run(message.request_part, sender))
        elif isinstance(message, messages.CancelUpstream):
            self._cancel(message.request_part)

    def _on_bind(self, run: _Run) -> None:
        now = self._network.clock.monotonic()
        self.last_bound_at = now
        if run.request_part.deadline <= now:
            return
        if self.load_from(run.balancer) >= self._nominal_slots:
            self._oracle.record_overload(run.balancer, self.name)
        if self.running < self.slots:
            self._start(run)
        elif len(self._waiting) < self.queue_limit:
            self._waiting.append(run)
        else:
            request_part = run.request_part
            self._reply(
                run,
                messages.Shed(
                    self.name,
                    request_part.flow,
                    request_part.request,
                    request_part.attempt,
                ),
            )

    def _start(self, run: _Run) -> None:
        now = self._network.clock.monotonic()
        request_part = run.request_part
        run_number = self._oracle.record_run(request_part, self.name)
        run.answer = oracles.RunAnswer(request_part.key, self.name, run_number)
        self._running_by_attempt[_attempt_key(request_part)] = run
        run_time = request_part.payload.run_time * self.slowdown(now)
        remaining = request_part.deadline - now
        self._network.call_later(
            min(run_time, remaining),
            lambda: self._finish(run, run_time <= remaining),
        )

    def _finish(self, run: _Run, complete: bool) -> None:
        if run.ended:
            return
        self._release(run)
        if not complete:
            return
        request_part = run.request_part
        answer = messages.Answer(
            self.name,
            request_part.flow,
            request_part.request,
            request_part.attempt,
            payload=run.answer,
        )
        self._reply(run, answer)

    def _reply(self, run: _Run, message: object) -> None:
        for _ in range(self.copies):
            delay = self.answer_delay * self._network.random.random()
            self._network.call_later(
                delay,
                lambda: self._network.send(self.name, run.balancer, message),
            )

    def _cancel(self, request_part: request_parts.RequestPart) -> None:
        run = self._running_by_attempt.get(_attempt_key(request_part))
        if run is not None:
            self._release(run)
            return
        for waiting in list(self._waiting):
            if _attempt_key(waiting.request_part) == _attempt_key(
                request_part
            ):
                self._waiting.remove(waiting)

    def _release(self, run: _Run) -> None:
        run.ended = True
        self._running_by_attempt.pop(_attempt_key(run.request_part), None)
        now = self._network.clock.monotonic()
        while self._waiting and self.running < self.slots:
            next_run = self._waiting.popleft()
            if next_run.request_part.deadline > now:
                self._start(next_run)


def _attempt_key(request_part: request_parts.RequestPart) -> AttemptKey:
    return (request_part.flow, request_part.request, request_part.attempt)

"""Stand-in of an upstream with slots, on a virtual network."""

import collections
import collections.abc
import dataclasses
import datetime

from acaciamoor import harness
from acaciamoor.load.scenarios import placement_oracle as oracles
from acaciamoor.model import upstream as upstreams
from acaciamoor.placement import messages
from acaciamoor.requests import work as works

Token = tuple[int, int, int]
Slowness = collections.abc.Callable[[datetime.timedelta], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Payload of a request: how long it runs."""

    service: datetime.timedelta


@dataclasses.dataclass(slots=True)
class _Run:
    work: works.Work
    balancer: str
    answer: oracles.RunAnswer | None = None
    stopped: bool = False


class SimulatedUpstream:
    """Runs requests in slots; more than that wait or are refused.

    A request stops at its deadline and when it is cancelled.

    Parameters
    ----------
    network : harness.VirtualNetwork
        Carries requests and answers.
    upstream : upstreams.Upstream
        Name and slots.
    oracle : oracles.Oracle
        Records every run.
    queue_limit : int
        Requests that wait for a slot; further ones are shed.
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
        self.slowness: Slowness = lambda now: 1.0
        self.answer_delay = datetime.timedelta(0)
        self.copies = 1
        self.last_bound_at = datetime.timedelta(0)
        self._network = network
        self._oracle = oracle
        self._running_by_token: dict[Token, _Run] = {}
        self._waiting: collections.deque[_Run] = collections.deque()
        network.add_host(self.name, self.on_message)

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return len(self._running_by_token)

    @property
    def load(self) -> int:
        """Requests that run or wait."""
        return self.running + len(self._waiting)

    def held_for(self, balancer: str) -> int:
        """Requests of one balancer that run or wait."""
        runs = [*self._running_by_token.values(), *self._waiting]
        return sum(run.balancer == balancer for run in runs)

    def on_message(self, sender: str, message: object) -> None:
        """Take a request or a cancellation from a balancer."""
        if isinstance(message, messages.Bind):
            self._on_bind(_Run(message.work, sender))
        elif isinstance(message, messages.CancelUpstream):
            self._stop(message.work)

    def _on_bind(self, run: _Run) -> None:
        now = self._network.clock.monotonic()
        self.last_bound_at = now
        if run.work.deadline <= now:
            return
        if self.held_for(run.balancer) >= self._nominal_slots:
            self._oracle.overloaded(run.balancer, self.name)
        if self.running < self.slots:
            self._start(run)
        elif len(self._waiting) < self.queue_limit:
            self._waiting.append(run)
        else:
            work = run.work
            self._reply(
                run,
                messages.Shed(
                    self.name, work.flow, work.request, work.attempt
                ),
            )

    def _start(self, run: _Run) -> None:
        now = self._network.clock.monotonic()
        work = run.work
        number = self._oracle.ran(work, self.name)
        run.answer = oracles.RunAnswer(work.key, self.name, number)
        self._running_by_token[_token(work)] = run
        service = work.payload.service * self.slowness(now)
        left = work.deadline - now
        self._network.call_later(
            min(service, left), lambda: self._finish(run, service <= left)
        )

    def _finish(self, run: _Run, complete: bool) -> None:
        if run.stopped:
            return
        self._leave(run)
        if not complete:
            return
        work = run.work
        answer = messages.Answer(
            self.name,
            work.flow,
            work.request,
            work.attempt,
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

    def _stop(self, work: works.Work) -> None:
        run = self._running_by_token.get(_token(work))
        if run is not None:
            self._leave(run)
            return
        for waiting in list(self._waiting):
            if _token(waiting.work) == _token(work):
                self._waiting.remove(waiting)

    def _leave(self, run: _Run) -> None:
        run.stopped = True
        self._running_by_token.pop(_token(run.work), None)
        now = self._network.clock.monotonic()
        while self._waiting and self.running < self.slots:
            following = self._waiting.popleft()
            if following.work.deadline > now:
                self._start(following)


def _token(work: works.Work) -> Token:
    return (work.flow, work.request, work.attempt)

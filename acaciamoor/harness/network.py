"""Discrete-event simulation of a network on a manual clock."""

import collections.abc
import dataclasses
import datetime
import heapq
import itertools
import random

from acaciamoor import clock as clocks

Callback = collections.abc.Callable[[], None]
Handler = collections.abc.Callable[[str, object], None]


@dataclasses.dataclass(frozen=True, slots=True)
class LinkSettings:
    """Delay and loss of every link that is not cut.

    Parameters
    ----------
    delay : datetime.timedelta
        One-way delay.
    jitter : datetime.timedelta
        Upper bound of a uniformly distributed addition to the delay.
    loss : float
        Probability that a message is lost.
    """

    delay: datetime.timedelta = datetime.timedelta(milliseconds=1)
    jitter: datetime.timedelta = datetime.timedelta(0)
    loss: float = 0.0


class VirtualNetwork:
    """Delivers messages and runs timers in order of virtual time.

    Hosts are named by strings. Each direction of a link is cut separately.
    Messages and timers of a frozen host are queued, as in a socket buffer,
    and processed when it resumes. Those of a removed host are dropped.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    link : LinkSettings
        Delay and loss of the links.

    Examples
    --------
    >>> import datetime
    >>> network = VirtualNetwork(seed=1)
    >>> received = []
    >>> network.add_host('b', lambda sender, message: received.append(message))
    >>> network.send('a', 'b', 'hello')
    >>> network.run_until(datetime.timedelta(seconds=1))
    >>> received
    ['hello']
    """

    def __init__(self, seed: int, link: LinkSettings | None = None) -> None:
        self.clock = clocks.ManualClock()
        self.random = random.Random(seed)
        self.link = link or LinkSettings()
        self._queue: list[tuple[datetime.timedelta, int, Callback]] = []
        self._sequence = itertools.count()
        self._handlers_by_host: dict[str, Handler] = {}
        self._waiting_by_frozen_host: dict[str, list[Callback]] = {}
        self._cuts: set[tuple[str, str]] = set()

    def add_host(self, name: str, handler: Handler) -> None:
        """Register the handler of the messages sent to `name`."""
        self._handlers_by_host[name] = handler

    def remove_host(self, name: str) -> None:
        """Remove a host and drop its queued messages and timers."""
        self._handlers_by_host.pop(name, None)
        self._waiting_by_frozen_host.pop(name, None)

    def freeze(self, name: str) -> None:
        """Pause a host, as by SIGSTOP; it is not notified."""
        self._waiting_by_frozen_host.setdefault(name, [])

    def resume(self, name: str) -> None:
        """Resume a frozen host, which then processes its queued events."""
        for callback in self._waiting_by_frozen_host.pop(name, []):
            self.call_later(datetime.timedelta(0), callback, host=name)

    def cut(self, sender: str, receiver: str) -> None:
        """Drop all messages from `sender` to `receiver`."""
        self._cuts.add((sender, receiver))

    def heal(self, sender: str, receiver: str) -> None:
        """Undo `cut`."""
        self._cuts.discard((sender, receiver))

    def send(self, sender: str, receiver: str, message: object) -> None:
        """Deliver `message` after the delay of the link, unless it is lost."""
        if (sender, receiver) in self._cuts:
            return
        if self.link.loss and self.random.random() < self.link.loss:
            return
        delay = self.link.delay + self.random.random() * self.link.jitter
        self.call_later(
            delay, lambda: self._deliver(sender, receiver, message)
        )

    def call_later(
        self,
        delay: datetime.timedelta,
        callback: Callback,
        host: str | None = None,
    ) -> None:
        """Run `callback` after `delay`; with `host`, as a timer of that host.

        A timer of a frozen host runs when the host resumes; one of a removed
        host does not run.
        """
        if host is not None:
            callback = self._bind_to_host(host, callback)
        due = self.clock.monotonic() + delay
        heapq.heappush(self._queue, (due, next(self._sequence), callback))

    def run_until(self, end: datetime.timedelta) -> None:
        """Run all events up to monotonic time `end`."""
        while self._queue and self._queue[0][0] <= end:
            due, _, callback = heapq.heappop(self._queue)
            self.clock.advance_to(due)
            callback()
        self.clock.advance_to(end)

    def _bind_to_host(self, host: str, callback: Callback) -> Callback:
        def run_if_active() -> None:
            if host in self._waiting_by_frozen_host:
                self._waiting_by_frozen_host[host].append(callback)
            elif host in self._handlers_by_host:
                callback()

        return run_if_active

    def _deliver(self, sender: str, receiver: str, message: object) -> None:
        def deliver() -> None:
            self._handlers_by_host[receiver](sender, message)

        self._bind_to_host(receiver, deliver)()

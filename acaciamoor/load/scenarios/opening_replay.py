"""Replays load patterns on the decisions of a forwarder, on virtual time.

The driver and the core are those of the product; only the socket, the event
loop, callers and upstreams are modelled. Callers retransmit an opening packet
after 200 and 600 ms and give up after 1.4 s, and a packet of an open flow
after 200, 600 and 1,400 ms, as on the users' platform.
"""

import collections
import collections.abc
import dataclasses
import datetime
import functools
import heapq
import itertools
import random

from acaciamoor import clock as clocks
from acaciamoor import directory as directories
from acaciamoor import forwarder
from acaciamoor import model
from acaciamoor import sockets
from acaciamoor.forwarder import sync_status
from acaciamoor.forwarder.shell import driver as drivers
from acaciamoor.forwarder.shell import observer as observers
from acaciamoor.load.scenarios import opening_patterns

_ADDRESS = (0xC6120001, 443)
_SERVICE = 'order-board'
_DATA_CENTRE = model.DataCentre('kgn-a')
_COPIES_AT_S = (0.0, 0.2, 0.6)
_GIVE_UP_AFTER_S = 1.4
_RETRANSMISSIONS_AT_S = (0.0, 0.2, 0.6, 1.4)
_ONE_WAY_S = 0.001
_ANSWER_AFTER_S = 0.004
_SECOND = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True)
class Caller:
    """Caller that opens one flow; times are in seconds."""

    number: int
    started_at: float
    ended_at: float | None = None
    opened: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What callers and upstreams saw of a pattern.

    Parameters
    ----------
    opened : float
        Share of the flows that opened.
    wait_s : float
        Mean time until flows opened, in seconds.
    slow_share : float
        Share of all flows that did not open within 150 ms.
    refusal_wait_s : float
        Mean time until the others ended, in seconds; 0 if all opened.
    copies : float
        Opening packets that reached upstreams, for each flow.
    false_suspicions : int
        Suspicions of upstreams that answered.
    open_flow_wait_s : float
        Mean time until packets of open flows were forwarded, from when they
        were sent or the host started, in seconds.
    """

    opened: float
    wait_s: float
    slow_share: float
    refusal_wait_s: float
    copies: float
    false_suspicions: int
    open_flow_wait_s: float


class _Codec:
    """Codec of the model; each packet costs time at the host."""

    def __init__(self, clock: clocks.ManualClock, cost_s: float) -> None:
        self._clock = clock
        self._cost = cost_s * _SECOND

    def decode(self, data: bytes) -> forwarder.Packet:
        self._clock.advance(self._cost)
        number, copy, token = (int(part) for part in data.split())
        return forwarder.Packet(
            (number, 40000, *_ADDRESS),
            copy >= 0,
            False,
            False,
            token,
            1,
            max(copy, 0),
            0,
        )

    def encode(self, data: bytes, token: int, wire_id: int) -> bytes:
        return b'%b %d' % (data, token)

    def encode_reset(self, key, sequence: int) -> bytes:
        return b'%d' % key[0]

    def get_caller_address(self, key) -> tuple[str, int]:
        return ('', 0)


class Replay:
    """One host, its callers and the upstreams of one service.

    Parameters
    ----------
    pattern : Pattern
        Pattern to replay.
    seed : int
        Seed of ties between upstreams.
    core_class, driver_class : type
        Decisions and event handling of the host.
    """

    def __init__(
        self,
        pattern: opening_patterns.Pattern,
        seed: int,
        core_class: type[forwarder.ForwarderCore] = forwarder.ForwarderCore,
        driver_class: type[drivers.Driver] = drivers.Driver,
    ) -> None:
        self._pattern = pattern
        self._clock = clocks.ManualClock()
        self._directory = directories.Directory()
        self._events: list = []
        self._timers: list = []
        self._heaps = (self._events, self._timers)
        self._event_at: float | None = None
        self._numbers = itertools.count()
        self._waiting: collections.deque[bytes] = collections.deque()
        self._callers = [
            Caller(number, at) for number, at in enumerate(pattern.arrivals_s)
        ]
        self._forwarded_at_by_flow: dict[int, float] = {}
        self._copies = 0
        self._false_suspicions = 0
        settings = forwarder.CoreSettings(_DATA_CENTRE)
        core = core_class(settings, self._directory, random.Random(seed))
        self._observer = _Observer(self)
        self._driver = driver_class(
            core,
            _Codec(self._clock, pattern.packet_cost_s),
            self,
            self._observer,
            self._clock,
            settings.pause_threshold,
        )
        self._revision = 1

    # The methods of the driver's socket.

    def start(self, loop: object, on_readable) -> None:
        """Remember what handles the socket."""
        self._on_readable = on_readable

    def read_batch(self) -> tuple[list[bytes], bool]:
        """Return a batch of packets, and whether none are left."""
        self._deliver()
        count = min(sockets.BATCH_SIZE, len(self._waiting))
        batch = [self._waiting.popleft() for _ in range(count)]
        return batch, not self._waiting

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Carry a packet to an upstream, or a reset to a caller."""
        parts = [int(part) for part in data.split()]
        if parts[0] >= len(self._callers):
            self._forwarded_at_by_flow.setdefault(parts[0], self._now())
            return
        caller = self._callers[parts[0]]
        if len(parts) == 1:
            self._end(caller, opened=False)
        elif parts[1] >= 0:
            self._copies += 1
            if self.is_answering(address[1]):
                self._schedule(_ANSWER_AFTER_S, self._open, caller, parts[3])

    # The methods of the driver's event loop.

    def call_later(self, delay: float, action) -> object:
        """Schedule an action of the host; return its handle."""
        event = (self._now() + delay, next(self._numbers), action)
        heapq.heappush(self._timers, event)
        return action

    def call_soon(self, action) -> object:
        """Schedule an action of the host at once; return its handle."""
        return self.call_later(0.0, action)

    def run(self) -> Outcome:
        """Replay the pattern; return what callers saw."""
        for caller in self._callers:
            for copy, delay in enumerate(_COPIES_AT_S):
                self._schedule_at(
                    caller.started_at + delay, self._send_copy, caller, copy
                )
            self._schedule_at(
                caller.started_at + _GIVE_UP_AFTER_S, self._end, caller, False
            )
        for number, sent_at in self._open_flows():
            for delay in _RETRANSMISSIONS_AT_S:
                if sent_at + delay >= 0.0:
                    self._schedule_at(
                        sent_at + delay, self._send_on_open_flow, number
                    )
        self._schedule_at(self._pattern.lists_at_s, self._give_lists)
        for outage in self._pattern.outages:
            self._schedule_at(outage.start_s, self._update_entries)
            self._schedule_at(outage.end_s, self._update_entries)
        self._driver.start(self)
        end = self._pattern.arrivals_s[-1] + 2.0
        while self._now() < end:
            self._step()
        return self._outcome()

    def is_answering(self, upstream: int) -> bool:
        """Return whether an upstream answers now."""
        return not any(
            outage.start_s <= self._now() < outage.end_s
            and upstream <= outage.upstreams
            for outage in self._pattern.outages
        )

    def record_suspicion(self, upstream_id: str) -> None:
        """Count a suspicion of an upstream that answers."""
        self._false_suspicions += self.is_answering(int(upstream_id))

    def _now(self) -> float:
        """Return the time of the event, or else the time at the host."""
        if self._event_at is not None:
            return self._event_at
        return self._clock.monotonic() / _SECOND

    def _schedule(self, delay: float, action, *arguments) -> None:
        self._schedule_at(self._now() + delay, action, *arguments)

    def _schedule_at(self, when: float, action, *arguments) -> None:
        event = (when, next(self._numbers), action, arguments)
        heapq.heappush(self._events, event)

    def _deliver(self) -> None:
        """Let happen what is due, also what was due while the host worked."""
        host_time = self._now()
        while self._events and self._events[0][0] <= host_time:
            self._event_at, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self._event_at = None

    def _step(self) -> None:
        self._deliver()
        while self._timers and self._timers[0][0] <= self._now():
            heapq.heappop(self._timers)[2]()
        if self._waiting:
            self._on_readable()
        else:
            next_at = min(heap[0][0] for heap in self._heaps if heap)
            gap = next_at - self._now()
            # Rounding of the clock must not keep an event from being due.
            step = max(gap, 0.0) + 1e-6
            self._clock.advance(step * _SECOND)

    def _send_copy(self, caller: Caller, copy: int) -> None:
        if caller.ended_at is None:
            self._waiting.append(b'%d %d 0' % (caller.number, copy))

    def _open_flows(self) -> collections.abc.Iterator[tuple[int, float]]:
        """Yield number and time of the packets sent on open flows."""
        return enumerate(
            self._pattern.sent_on_open_flows_s, len(self._callers)
        )

    def _send_on_open_flow(self, number: int) -> None:
        if number not in self._forwarded_at_by_flow:
            token = _token_of(1 + number % self._pattern.upstreams)
            self._waiting.append(b'%d -1 %d' % (number, token))

    def _open(self, caller: Caller, token: int) -> None:
        if caller.ended_at is None:
            self._end(caller, opened=True)
            self._schedule(_ONE_WAY_S, self._confirm, caller, token)

    def _confirm(self, caller: Caller, token: int) -> None:
        self._waiting.append(b'%d -1 %d' % (caller.number, token))

    def _end(self, caller: Caller, opened: bool) -> None:
        if caller.ended_at is None:
            caller.ended_at = self._now()
            caller.opened = opened

    def _give_lists(self) -> None:
        route = directories.Route('board', _ADDRESS, {_SERVICE: 1.0})
        self._directory.adopt_routes(
            directories.RouteTable(1, {_ADDRESS: route})
        )
        self._update_entries()
        self._directory.confirm_entries(1)
        self._driver.schedule_waiting()

    def _update_entries(self) -> None:
        unlisted = max(
            (
                outage.upstreams
                for outage in self._pattern.outages
                if not outage.listed
                and outage.start_s <= self._now() < outage.end_s
            ),
            default=0,
        )
        for number in range(1, self._pattern.upstreams + 1):
            self._revision += 1
            draining = number <= unlisted
            self._directory.put_upstream(
                _make_entry(number, self._revision, draining)
            )
        self._driver.schedule_waiting()

    def _outcome(self) -> Outcome:
        opened = [item for item in self._callers if item.opened]
        ended = [item for item in self._callers if not item.opened]
        waits = [item.ended_at - item.started_at for item in opened]
        return Outcome(
            len(opened) / len(self._callers),
            sum(waits) / max(1, len(waits)),
            1 - sum(wait <= 0.15 for wait in waits) / len(self._callers),
            sum(item.ended_at - item.started_at for item in ended)
            / max(1, len(ended)),
            self._copies / len(self._callers),
            self._false_suspicions,
            self._mean_wait_on_open_flows(),
        )

    def _mean_wait_on_open_flows(self) -> float:
        waits = [
            self._forwarded_at_by_flow.get(number, self._now())
            - max(0.0, sent_at)
            for number, sent_at in self._open_flows()
        ]
        return sum(waits) / max(1, len(waits))


class _Observer(observers.Observer):
    """Observer that passes suspicions on and writes no log."""

    def __init__(self, replay: Replay) -> None:
        super().__init__(
            clocks.ManualClock(), lambda: sync_status.SyncStatus(1, 1, 0)
        )
        self._replay = replay

    def record_suspicion(self, suspicion) -> None:
        self._replay.record_suspicion(suspicion.upstream_id)

    def _log(self, category, message, key, **fields) -> None:
        """Write nothing: a replay has thousands of flows."""


@functools.cache
def _token_of(number: int) -> int:
    """Return the token of an upstream, as other hosts compute it."""
    directory = directories.Directory()
    entry = _make_entry(number, 1, draining=False)
    directory.put_upstream(entry)
    return directory.token_of(_ADDRESS, entry.upstream_id)


def _make_entry(
    number: int, revision: int, draining: bool
) -> directories.UpstreamEntry:
    state = (
        model.UpstreamState.DRAINING
        if draining
        else model.UpstreamState.ACTIVE
    )
    return directories.UpstreamEntry(
        model.Upstream(
            model.UpstreamId(str(number)),
            _DATA_CENTRE,
            # The port tells the upstream of a forwarded packet.
            model.Address('127.0.0.1', number),
            state=state,
        ),
        service=_SERVICE,
        wire_id=number,
        revision=revision,
    )

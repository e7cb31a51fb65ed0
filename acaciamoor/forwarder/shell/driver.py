"""Passes received packets to the core and carries out its decisions."""

import asyncio
import collections.abc
import datetime
import functools
import logging

from acaciamoor import clock as clocks
from acaciamoor import sockets
from acaciamoor.forwarder import core as cores
from acaciamoor.forwarder import effects
from acaciamoor.forwarder import packet as packets
from acaciamoor.forwarder.shell import observer as observers
from acaciamoor.openings import pending

_LOG = logging.getLogger(__name__)
_MALFORMED = effects.Drop(effects.DropReason.DAMAGED)
_OUTDATED = effects.Drop(effects.DropReason.OUTDATED)
# Interval of pause checks and expiry checks while no packet arrives.
_TICK_INTERVAL = datetime.timedelta(milliseconds=500)
# Maximum number of batches that are read before openings are retried.
_MAX_BATCHES_BEFORE_RETRY = 4
# Interval between two attempts to retry while the socket is not empty.
_BUSY_RETRY_INTERVAL = datetime.timedelta(milliseconds=10)
_ZERO = datetime.timedelta(0)
# Time between two reads below which the loop had no time to wait for packets.
_LOOP_LATENCY = datetime.timedelta(milliseconds=2)
# Interval between searches for expired flows and upstreams.
_EXPIRY_INTERVAL = datetime.timedelta(seconds=5)


class Driver:
    """Connects the core to the packet socket and the timers.

    Parameters
    ----------
    core : ForwarderCore
        Makes the decisions.
    codec : PacketCodec
        Encodes and decodes packets.
    socket : DatagramSocket
        Socket that receives from callers and sends to upstreams and callers.
    observer : Observer
        Records decisions and observations.
    clock : Clock
        Source of time.
    pause_threshold : datetime.timedelta
        Gap between two clock readings above which the process is taken to
        have been paused.
    """

    def __init__(
        self,
        core: cores.ForwarderCore,
        codec: packets.PacketCodec,
        socket: sockets.DatagramSocket,
        observer: observers.Observer,
        clock: clocks.Clock,
        pause_threshold: datetime.timedelta,
    ) -> None:
        self._core = core
        self._codec = codec
        self._socket = socket
        self._observer = observer
        self._clock = clock
        self._pause_threshold = pause_threshold
        self._last_check_at = clock.monotonic()
        self._expire_at = self._last_check_at + _EXPIRY_INTERVAL
        self.last_packet_at = self._last_check_at
        # Whether packets were left in the socket by the last read, and when a
        # read left none.
        self._busy = False
        self._empty_at = self._last_check_at
        # Time at which the last batch had been handled.
        self._handled_at = self._last_check_at
        # Whether the waiting packets may be from before a pause.
        self._stale = False
        self._retry_timer: asyncio.TimerHandle | None = None
        self._resuming = False
        self._loop: asyncio.AbstractEventLoop | None = None
        self.on_resume = lambda: None

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start to read the socket and to run the timers."""
        self._loop = loop
        self._socket.start(loop, self._handle_batch)
        self._tick()

    def close(self, loop: asyncio.AbstractEventLoop) -> None:
        """Close the socket."""
        self._socket.close(loop)

    def schedule_waiting(self) -> None:
        """Handle what waits for lists or upstreams as soon as possible."""
        if self._loop is None or self._resuming:
            return
        if self._core.next_retry_at() is not None:
            self._resuming = True
            self._loop.call_soon(self._resume_waiting)

    def _resume_waiting(self) -> None:
        self._resuming = False
        now = self._read_socket()
        self._execute_all(self._core.resume_waiting, now)
        self._arm_retry_timer(now, _ZERO)

    def _handle_batch(self) -> None:
        now = self._read_socket()
        # Summaries come every 0.2 s, more often than the periodic check.
        self._update_load(now)
        self._arm_retry_timer(now, _ZERO)

    def _read_socket(self) -> datetime.timedelta:
        """Handle a batch of packets; return the time at which it was read."""
        active_at = max(self._handled_at, self._last_check_at)
        now, paused = self._check_for_pause()
        backlog = self._measure_backlog(now, active_at)
        self._stale = self._stale or paused
        batch, empty = self._socket.read_batch()
        if batch:
            self.last_packet_at = now
        for data in batch:
            self._handle_packet(data, now, backlog)
        self._busy = not empty
        if empty:
            self._empty_at = now
            self._stale = False
        self._handled_at = self._clock.monotonic()
        return now

    def _measure_backlog(
        self, now: datetime.timedelta, active_at: datetime.timedelta
    ) -> datetime.timedelta:
        """Return for how long packets may have waited in the socket."""
        idle = now - active_at
        if self._busy or idle < _LOOP_LATENCY:
            return now - self._empty_at
        # An idle loop reads a packet at once, unless the process is stopped;
        # otherwise the periodic check would have ended the wait.
        return max(_ZERO, idle - _TICK_INTERVAL)

    def _record_observations(self) -> None:
        for observation in self._core.take_observations():
            self._observer.record(observation)

    def _handle_packet(
        self,
        data: bytes,
        now: datetime.timedelta,
        backlog: datetime.timedelta,
    ) -> None:
        packet = None
        try:
            packet = self._codec.decode(data)
            if packet is None:
                decision: effects.Decision = _MALFORMED
            elif self._stale and packet.opens:
                # The caller has opened the flow through another host or has
                # given up by now.
                decision = _OUTDATED
            elif packet.opens:
                # A slow host takes long for a batch, and the time at which
                # an opening is sent decides whether its upstream is silent.
                sent_at = self._clock.monotonic()
                decision = self._core.handle(
                    data, packet, sent_at, backlog + (sent_at - now)
                )
            else:
                decision = self._core.handle(data, packet, now, backlog)
            self._execute(decision, packet)
        except Exception:
            # The other packets of the batch must still be forwarded.
            self._observer.record_failure(
                None if packet is None else packet.key
            )

    def _check_for_pause(self) -> tuple[datetime.timedelta, bool]:
        now = self._clock.monotonic()
        paused = now - self._last_check_at > self._pause_threshold
        self._last_check_at = now
        if paused:
            _LOG.warning(
                'the process was stopped; pending openings are discarded'
            )
            self._core.discard_pending()
            self.on_resume()
        return now, paused

    def _execute(
        self, decision: effects.Decision, packet: packets.Packet | None
    ) -> None:
        if type(decision) is effects.Forward:
            self._observer.packets.add(outcome='forwarded')
            self.forward(decision)
        else:
            _execute(decision, self, None if packet is None else packet.key)

    def forward(self, forward: effects.Forward) -> None:
        """Send a packet to an upstream."""
        data = self._codec.encode(forward.data, forward.token, forward.wire_id)
        self._send(data, forward.address)

    def place(self, placement: effects.Placement) -> None:
        """Send the opening packet of a flow to the chosen upstream."""
        self.forward(placement.forward)
        self._observer.record_placement(placement)

    def refuse(self, refusal: effects.Refusal) -> None:
        """Send a reset to the caller of a refused flow."""
        data = self._codec.encode_reset(refusal.key, 0)
        self._send(data, self._codec.get_caller_address(refusal.key))
        self._observer.record_refusal(refusal)

    def wait(self, wait: effects.Wait, key: pending.FlowKey | None) -> None:
        """Record a flow that waits to be placed."""
        self._observer.record_wait(wait, key)

    def drop(self, drop: effects.Drop, key: pending.FlowKey | None) -> None:
        """Record a dropped packet."""
        self._observer.record_drop(drop, key)

    def _send(self, data: bytes, address: sockets.SocketAddress) -> None:
        try:
            self._socket.send(data, address)
        except OSError as error:
            # A full send buffer counts as packet loss.
            self._observer.unsent.add(error=type(error).__name__)

    def _arm_retry_timer(
        self, now: datetime.timedelta, shortest: datetime.timedelta
    ) -> None:
        if self._retry_timer is not None or self._loop is None:
            return
        due = self._core.next_retry_at()
        if due is not None:
            delay = max(shortest, due - now)
            self._retry_timer = self._loop.call_later(
                delay.total_seconds(), self._retry
            )

    def _retry(self) -> None:
        self._retry_timer = None
        # A host that lags behind its packets must not take an upstream for
        # silent whose answer it has not read yet.
        now = self._read_socket()
        for _ in range(_MAX_BATCHES_BEFORE_RETRY - 1):
            if not self._busy:
                break
            now = self._read_socket()
        if not self._busy:
            self._execute_all(self._core.retry_openings, now)
        self._arm_retry_timer(now, _BUSY_RETRY_INTERVAL)

    def _execute_all(
        self,
        decide: collections.abc.Callable[
            [datetime.timedelta], list[effects.Decision]
        ],
        now: datetime.timedelta,
    ) -> None:
        try:
            for decision in decide(now):
                self._execute(decision, None)
        except Exception:
            self._observer.record_failure(None)
        self._record_observations()

    def _update_load(self, now: datetime.timedelta) -> None:
        try:
            self._core.update_load(now)
        except Exception:
            # Without measured capacities flows are placed as by one host
            # alone; the timer must go on.
            self._observer.record_failure(None)
        self._record_observations()

    def _tick(self) -> None:
        now, _ = self._check_for_pause()
        if now >= self._expire_at:
            self._expire_at = now + _EXPIRY_INTERVAL
            self._core.expire(now)
        self._update_load(now)
        self._observer.log_suppressed_lines()
        if self._loop is not None:
            self._loop.call_later(_TICK_INTERVAL.total_seconds(), self._tick)


@functools.singledispatch
def _execute(
    decision: effects.Decision, driver: Driver, key: pending.FlowKey | None
) -> None:
    raise TypeError(f'no handler for decision {decision!r}')


@_execute.register
def _place(
    decision: effects.Placement, driver: Driver, key: pending.FlowKey | None
) -> None:
    driver.place(decision)


@_execute.register
def _refuse(
    decision: effects.Refusal, driver: Driver, key: pending.FlowKey | None
) -> None:
    driver.refuse(decision)


@_execute.register
def _wait(
    decision: effects.Wait, driver: Driver, key: pending.FlowKey | None
) -> None:
    driver.wait(decision, key)


@_execute.register
def _drop(
    decision: effects.Drop, driver: Driver, key: pending.FlowKey | None
) -> None:
    driver.drop(decision, key)

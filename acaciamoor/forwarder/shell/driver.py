"""Feeds the core with packets and sends what it decides."""

import asyncio
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
_DAMAGED = effects.Dropped(effects.DropReason.DAMAGED)
_OUTDATED = effects.Dropped(effects.DropReason.OUTDATED)
# Time between two looks at the clock while no packet arrives.
_TICK = datetime.timedelta(milliseconds=500)
# Time between two searches for flows and upstreams that have ended.
_EXPIRY_INTERVAL = datetime.timedelta(seconds=5)


class Driver:
    """Owns the core and the socket for packets.

    Parameters
    ----------
    core : ForwarderCore
        Decides.
    codec : PacketCodec
        Wire form of packets.
    socket : DatagramSocket
        Receives from callers; sends to upstreams and callers.
    observer : Observer
        Told of all decisions.
    clock : Clock
        Source of time.
    pause : datetime.timedelta
        Silence of the clock that shows that the process was stopped.
    """

    def __init__(
        self,
        core: cores.ForwarderCore,
        codec: packets.PacketCodec,
        socket: sockets.DatagramSocket,
        observer: observers.Observer,
        clock: clocks.Clock,
        pause: datetime.timedelta,
    ) -> None:
        self._core = core
        self._codec = codec
        self._socket = socket
        self._observer = observer
        self._clock = clock
        self._pause = pause
        self._seen = clock.monotonic()
        self._expire_at = self._seen + _EXPIRY_INTERVAL
        self._timer: asyncio.TimerHandle | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self.on_resume = lambda: None

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Read the socket from now on."""
        self._loop = loop
        self._socket.start(loop, self._read)
        self._tick()

    def close(self, loop: asyncio.AbstractEventLoop) -> None:
        """Close the socket."""
        self._socket.close(loop)

    def _read(self) -> None:
        now, paused = self._look_at_clock()
        batch, _ = self._socket.read_batch()
        decode, handle = self._codec.decode, self._core.handle
        for data in batch:
            packet = decode(data)
            if packet is None:
                decision: effects.Decision = _DAMAGED
            elif paused and packet.opens:
                # The caller has opened the flow elsewhere or given up.
                decision = _OUTDATED
            else:
                decision = handle(data, packet, now)
            self._carry_out(decision, packet)
        for notice in self._core.notices():
            self._observer.note(notice)
        self._arm_timer(now)

    def _look_at_clock(self) -> tuple[datetime.timedelta, bool]:
        now = self._clock.monotonic()
        paused = now - self._seen > self._pause
        self._seen = now
        if paused:
            _LOG.warning('the process was stopped; openings are forgotten')
            self._core.resume()
            self.on_resume()
        return now, paused

    def _carry_out(
        self, decision: effects.Decision, packet: packets.Packet | None
    ) -> None:
        if type(decision) is effects.Forward:
            self._observer.packets.add(outcome='forwarded')
            self.forward(decision)
        else:
            _carry_out(decision, self, None if packet is None else packet.key)

    def forward(self, forward: effects.Forward) -> None:
        """Send a packet to its upstream."""
        data = self._codec.encode(forward.data, forward.token, forward.number)
        self._send(data, forward.address)

    def place(self, placed: effects.Placed) -> None:
        """Send an opening packet."""
        self.forward(placed.forward)
        self._observer.note_placed(placed)

    def refuse(self, refusal: effects.Refusal) -> None:
        """Send a reset for a flow that was never open."""
        data = self._codec.encode_reset(refusal.key, 0)
        self._send(data, self._codec.caller_address(refusal.key))
        self._observer.note_refusal(refusal)

    def drop(
        self, dropped: effects.Dropped, key: pending.FlowKey | None
    ) -> None:
        """Note a packet that goes nowhere."""
        self._observer.note_dropped(dropped, key)

    def _send(self, data: bytes, address: sockets.SocketAddress) -> None:
        try:
            self._socket.send(data, address)
        except OSError as error:
            # A full buffer loses the datagram, as the network may.
            self._observer.unsent.add(error=type(error).__name__)

    def _arm_timer(self, now: datetime.timedelta) -> None:
        if self._timer is not None or self._loop is None:
            return
        due = self._core.due_at()
        if due is not None:
            delay = max(0.0, (due - now).total_seconds())
            self._timer = self._loop.call_later(delay, self._repeat)

    def _repeat(self) -> None:
        self._timer = None
        now, paused = self._look_at_clock()
        if not paused:
            for decision in self._core.repeat(now):
                self._carry_out(decision, None)
            for notice in self._core.notices():
                self._observer.note(notice)
        self._arm_timer(now)

    def _tick(self) -> None:
        now, _ = self._look_at_clock()
        if now >= self._expire_at:
            self._expire_at = now + _EXPIRY_INTERVAL
            self._core.expire(now)
        self._observer.tick()
        if self._loop is not None:
            self._loop.call_later(_TICK.total_seconds(), self._tick)


@functools.singledispatch
def _carry_out(
    decision: effects.Decision, driver: Driver, key: pending.FlowKey | None
) -> None:
    raise TypeError(f'unknown decision {decision!r}')


@_carry_out.register
def _place(
    decision: effects.Placed, driver: Driver, key: pending.FlowKey | None
) -> None:
    driver.place(decision)


@_carry_out.register
def _refuse(
    decision: effects.Refusal, driver: Driver, key: pending.FlowKey | None
) -> None:
    driver.refuse(decision)


@_carry_out.register
def _drop(
    decision: effects.Dropped, driver: Driver, key: pending.FlowKey | None
) -> None:
    driver.drop(decision, key)

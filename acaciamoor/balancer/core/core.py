"""The balancer core: one event in, a list of effects out."""

import collections.abc
import datetime
import random

from acaciamoor.balancer.core import control as controls
from acaciamoor.balancer.core import counters as counts
from acaciamoor.balancer.core import effects
from acaciamoor.balancer.core import events
from acaciamoor.balancer.core import leaving
from acaciamoor.balancer.core import pauses
from acaciamoor.balancer.core import peers
from acaciamoor.balancer.core import requests
from acaciamoor.balancer.core import settings as core_settings
from acaciamoor.balancer.core import streams as stream_paths
from acaciamoor.balancer.core import work as works
import acaciamoor.clock as clocks
import acaciamoor.model as model
import acaciamoor.placement as placement
import acaciamoor.wire as wire

Effects = list[effects.Effect]
CONTROL_INTERVAL = datetime.timedelta(milliseconds=50)
_Kind = wire.EnvelopeKind
# The lookup of a member in its enumeration takes longer than a comparison.
_CLOSE = _Kind.CLOSE


class BalancerCore:
    """All decisions of one balancer.

    Parameters
    ----------
    settings : CoreSettings
        Who this balancer is.
    clock : Clock
        Its monotonic time must include stopped time.
    rng : random.Random
        Source of random choices.
    keyring : Keyring
        Keys for messages between balancers.
    """

    def __init__(
        self,
        settings: core_settings.CoreSettings,
        clock: clocks.Clock,
        rng: random.Random,
        keyring: wire.Keyring,
    ) -> None:
        self.settings = settings
        self.counters = counts.Counters()
        self._clock = clock
        self._link = peers.PeerLink(settings.host_id, keyring, self.counters)
        identity = (settings.host_id, settings.data_centre, clock, rng)
        self.control = controls.ControlPath(*identity, self._link)
        self.work = works.WorkPath(
            *identity,
            self.control.table,
            self._link,
            self.counters,
            self.control.on_health,
        )
        self.control.connect(self.work)
        self._streams = stream_paths.StreamPath(
            self.control.router,
            self._link,
            self.counters,
            self.control.name_of,
        )
        self._pauses = pauses.PauseDetector(clock)
        self.departure = leaving.Departure(
            clock, settings.grace_period, self.control, self.work
        )
        self._next_control = clock.monotonic()
        self._observed: dict[model.ServiceId, tuple[model.Upstream, ...]] = {}
        datagrams = counts.Metric.DATAGRAMS
        self._from_callers = self.counters.cell(datagrams, 'caller')
        self._from_upstreams = self.counters.cell(datagrams, 'upstream')
        self._from_peers = self.counters.cell(datagrams, 'peer')

    def state(self) -> core_settings.State:
        """Return whether datagrams should be sent here."""
        if self.departure.leaving:
            return core_settings.State.LEAVING
        if self.control.joined:
            return core_settings.State.SERVING
        return core_settings.State.JOINING

    def handle(
        self, event: events.Event
    ) -> collections.abc.Iterable[effects.Effect]:
        """Return what to do about `event`, to be carried out in order.

        For datagrams from callers the effects are made while the result is
        read, so that each datagram is sent before the next is decoded. The
        result must be read to its end before the next call.
        """
        return _HANDLERS_BY_TYPE[type(event)](self, event)

    def _on_callers(
        self, event: events.CallerDatagrams
    ) -> collections.abc.Iterator[effects.Effect]:
        self._from_callers[0] += len(event.batch)
        split, read = wire.parse_proxy_header, wire.read_preamble
        is_misaddressed = self.control.is_misaddressed
        on_packet = self._streams.on_packet
        for data in event.batch:
            try:
                header, offset = split(data)
                preamble = read(data, offset)
                if preamble[0] >= _CLOSE or self._pauses.stale:
                    yield from self._on_special(preamble, header, data)
                elif is_misaddressed(preamble[1], header.destination):
                    self._drop('wrong-address')
                else:
                    yield from on_packet(preamble, header.source, data)
            except wire.MalformedError:
                self._malformed(events.Channel.CALLER)

    def _on_special(
        self, preamble: wire.Preamble, header: wire.ProxyHeader, data: bytes
    ) -> Effects:
        if self.control.is_misaddressed(preamble.service, header.destination):
            return self._drop('wrong-address')
        if preamble.kind >= _CLOSE:
            datagram = requests.RequestDatagram.decode(data)
            if preamble.kind > _CLOSE or datagram.envelope.request:
                return self._on_work(datagram, events.Channel.CALLER)
        if self._pauses.is_stale(events.Channel.CALLER):
            return self._drop('stale')
        return self._streams.on_packet(preamble, header.source, data)

    def _on_work(
        self,
        datagram: requests.RequestDatagram,
        channel: events.Channel,
        hops: int = 0,
    ) -> Effects:
        kind = datagram.envelope.kind
        if kind is _Kind.REQUEST:
            if self._pauses.check():
                self._on_pause()
            if self._pauses.is_stale(channel):
                return self.work.on_stale_request(datagram)
            return self.work.on_request(datagram, hops)
        if kind is _Kind.CANCEL:
            return self.work.on_cancel(datagram, hops)
        if kind is _Kind.CLOSE:
            return self.work.on_close(datagram, hops)
        return self._drop('kind')

    def _on_upstream(self, event: events.UpstreamDatagram) -> Effects:
        self._from_upstreams[0] += 1
        data = event.data
        try:
            header, offset = wire.parse_proxy_header(data)
            preamble = wire.read_preamble(data, offset)
            known = self.control.upstream_at(event.sender)
            if known is None or known[0] != preamble.service:
                return self._drop('unknown-upstream')
            rest = data[offset:]
            if preamble.kind >= _Kind.ANSWER:
                envelope = wire.decode(rest)
                if envelope.request:
                    return self.work.on_answer(known[1], envelope, rest)
        except wire.MalformedError:
            return self._malformed(events.Channel.UPSTREAM)
        source = header.source
        return [effects.ToCaller((source.ip, source.port), rest)]

    def _on_peer(self, event: events.PeerDatagram) -> Effects:
        self._from_peers[0] += 1
        opened = self._link.open(event.sender, event.data)
        if opened is None:
            return []
        sender, message = opened
        if not isinstance(message, wire.Forward):
            return self.control.on_message(sender, message)
        try:
            return self._on_forward(message)
        except wire.MalformedError:
            return self._malformed(events.Channel.PEER)

    def _on_forward(self, body: wire.Forward) -> Effects:
        origin = requests.ORIGINS_BY_PURPOSE.get(body.purpose)
        if origin is not None:
            datagram = requests.RequestDatagram.decode(body.datagram)
            return self.work.on_peer_request(datagram, origin, body.held)
        if body.purpose is wire.ForwardPurpose.WORK:
            return self._on_work(
                requests.RequestDatagram.decode(body.datagram),
                events.Channel.PEER,
                body.hops,
            )
        if self._pauses.is_stale(events.Channel.PEER):
            return self._drop('stale')
        header, offset = wire.parse_proxy_header(body.datagram)
        preamble = wire.read_preamble(body.datagram, offset)
        return self._streams.on_forward(preamble, header.source, body)

    def _on_wake(self, _: events.Wake) -> Effects:
        if not self._pauses.check():
            return []
        return self._on_pause()

    def _on_pause(self) -> Effects:
        self.counters.add(counts.Metric.PAUSES, 'gap')
        self.control.on_pause()
        return [
            effects.Note(
                effects.Severity.WARNING,
                'the process was paused; waiting datagrams are stale',
            )
        ]

    def _on_tick(self, _: events.Tick) -> Effects:
        done = self._on_wake(events.Wake())
        done += self.work.tick()
        now = self._clock.monotonic()
        if now >= self._next_control:
            self._next_control = now + CONTROL_INTERVAL
            done += self.control.tick()
            done += self._observe()
            done += self.departure.tick()
        return done

    def _observe(self) -> Effects:
        led = self.work.placers.led_upstreams()
        if led == self._observed:
            return []
        self._observed = led
        return [effects.ObserveUpstreams(tuple(sorted(led.items())))]

    def _on_empty(self, event: events.ChannelEmpty) -> Effects:
        self._pauses.on_empty(event.channel)
        return []

    def _on_hosts(self, event: events.HostsListed) -> Effects:
        self.control.on_hosts(event.hosts)
        return []

    def _on_services(self, event: events.ServicesListed) -> Effects:
        self.control.store.on_listing(event.version, event.services)
        return []

    def _on_change(self, event: events.ServiceChanged) -> Effects:
        self.control.store.on_change(event.change)
        return []

    def _on_alive(self, event: events.WatchAlive) -> Effects:
        self.control.store.on_watch_alive(event.version)
        return []

    def _on_observed(self, event: events.UpstreamObserved) -> Effects:
        result = placement.ProbeResult(event.upstream_id, event.healthy)
        load = None
        if event.running is not None:
            load = placement.LoadReport(
                event.upstream_id, event.running, event.age
            )
        return self.work.on_observed(event.service_id, result, load)

    def _on_keys(self, event: events.KeysChanged) -> Effects:
        self._link.keyring = event.keyring
        return [effects.Note(effects.Severity.INFO, 'the keys were replaced')]

    def _on_leave(self, _: events.LeaveRequested) -> Effects:
        return self.departure.start()

    def _malformed(self, channel: events.Channel) -> Effects:
        self.counters.add(counts.Metric.MALFORMED, channel.value)
        return []

    def _drop(self, reason: str) -> Effects:
        self.counters.add(counts.Metric.DROPS, reason)
        return []


_HANDLERS_BY_TYPE: dict[
    type,
    collections.abc.Callable[
        [BalancerCore, events.Event],
        collections.abc.Iterable[effects.Effect],
    ],
] = {
    events.CallerDatagrams: BalancerCore._on_callers,
    events.UpstreamDatagram: BalancerCore._on_upstream,
    events.PeerDatagram: BalancerCore._on_peer,
    events.Wake: BalancerCore._on_wake,
    events.Tick: BalancerCore._on_tick,
    events.ChannelEmpty: BalancerCore._on_empty,
    events.HostsListed: BalancerCore._on_hosts,
    events.ServicesListed: BalancerCore._on_services,
    events.ServiceChanged: BalancerCore._on_change,
    events.WatchAlive: BalancerCore._on_alive,
    events.UpstreamObserved: BalancerCore._on_observed,
    events.KeysChanged: BalancerCore._on_keys,
    events.LeaveRequested: BalancerCore._on_leave,
}

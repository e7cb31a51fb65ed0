"""Decision core of one balancer: turns events into effects."""

import collections.abc
import datetime
import random

from acaciamoor.balancer.core import control_plane
from acaciamoor.balancer.core import counters as counts
from acaciamoor.balancer.core import effects
from acaciamoor.balancer.core import events
from acaciamoor.balancer.core import leaving
from acaciamoor.balancer.core import pauses
from acaciamoor.balancer.core import peer_link
from acaciamoor.balancer.core import request_path
from acaciamoor.balancer.core import requests
from acaciamoor.balancer.core import settings as core_settings
from acaciamoor.balancer.core import stream_path
import acaciamoor.clock as clocks
import acaciamoor.model as model
import acaciamoor.placement as placement
import acaciamoor.wire as wire

Effects = list[effects.Effect]
CONTROL_TICK_INTERVAL = datetime.timedelta(milliseconds=50)
_Kind = wire.EnvelopeKind
# A global avoids the enum member lookup, which costs more than a comparison.
_CLOSE = _Kind.CLOSE


class BalancerCore:
    """Makes all decisions of one balancer, without input or output.

    Parameters
    ----------
    settings : CoreSettings
        Identity and grace period of this balancer.
    clock : Clock
        Its monotonic time must advance while the process is stopped.
    rng : random.Random
        Source of random choices.
    keyring : Keyring
        Keys that sign and verify messages between balancers.
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
        self._link = peer_link.PeerLink(
            settings.host_id, keyring, self.counters
        )
        identity = (settings.host_id, settings.data_centre, clock, rng)
        self.control_plane = control_plane.ControlPlane(*identity, self._link)
        self.request_path = request_path.RequestPath(
            *identity,
            self.control_plane.table,
            self._link,
            self.counters,
            self.control_plane.on_health,
        )
        self.control_plane.connect(self.request_path)
        self._stream_path = stream_path.StreamPath(
            self.control_plane.router,
            self._link,
            self.counters,
            self.control_plane.name_of,
        )
        self._pause_detector = pauses.PauseDetector(clock)
        self.shutdown = leaving.GracefulShutdown(
            clock, settings.grace_period, self.control_plane, self.request_path
        )
        self._next_control_tick = clock.monotonic()
        self._polled_upstreams: dict[
            model.ServiceId, tuple[model.Upstream, ...]
        ] = {}
        datagrams = counts.Metric.DATAGRAMS
        self._caller_datagram_count = self.counters.cell(datagrams, 'caller')
        self._upstream_datagram_count = self.counters.cell(
            datagrams, 'upstream'
        )
        self._peer_datagram_count = self.counters.cell(datagrams, 'peer')

    def state(self) -> core_settings.State:
        """Return the state that the health endpoint reports."""
        if self.shutdown.leaving:
            return core_settings.State.LEAVING
        if self.control_plane.joined:
            return core_settings.State.SERVING
        return core_settings.State.JOINING

    def handle(
        self, event: events.Event
    ) -> collections.abc.Iterable[effects.Effect]:
        """Return the effects of `event`, in the order to carry them out.

        For datagrams from callers, the effects are generated lazily, so that
        each datagram is sent before the next one is decoded. Exhaust the
        result before the next call.
        """
        return _HANDLERS_BY_TYPE[type(event)](self, event)

    def _on_caller_datagrams(
        self, event: events.CallerDatagrams
    ) -> collections.abc.Iterator[effects.Effect]:
        self._caller_datagram_count[0] += len(event.batch)
        parse_header, read_preamble = (
            wire.parse_proxy_header,
            wire.read_preamble,
        )
        is_misaddressed = self.control_plane.is_misaddressed
        on_packet = self._stream_path.on_packet
        for data in event.batch:
            try:
                header, offset = parse_header(data)
                preamble = read_preamble(data, offset)
                if preamble[0] >= _CLOSE or self._pause_detector.any_stale:
                    yield from self._on_slow_path(preamble, header, data)
                elif is_misaddressed(preamble[1], header.destination):
                    self._drop('wrong-address')
                else:
                    yield from on_packet(preamble, header.source, data)
            except wire.MalformedError:
                self._count_malformed(events.Channel.CALLER)

    def _on_slow_path(
        self, preamble: wire.Preamble, header: wire.ProxyHeader, data: bytes
    ) -> Effects:
        if self.control_plane.is_misaddressed(
            preamble.service, header.destination
        ):
            return self._drop('wrong-address')
        if preamble.kind >= _CLOSE:
            datagram = requests.RequestDatagram.decode(data)
            if preamble.kind > _CLOSE or datagram.envelope.request:
                return self._on_request_datagram(
                    datagram, events.Channel.CALLER
                )
        if self._pause_detector.is_stale(events.Channel.CALLER):
            return self._drop('stale')
        return self._stream_path.on_packet(preamble, header.source, data)

    def _on_request_datagram(
        self,
        datagram: requests.RequestDatagram,
        channel: events.Channel,
        hops: int = 0,
    ) -> Effects:
        kind = datagram.envelope.kind
        if kind is _Kind.REQUEST:
            produced = self._on_wake(events.Wake())
            if self._pause_detector.is_stale(channel):
                produced += self.request_path.on_stale_request(datagram)
            else:
                produced += self.request_path.on_request(datagram, hops)
            return produced
        if kind is _Kind.CANCEL:
            return self.request_path.on_cancel(datagram, hops)
        if kind is _Kind.CLOSE:
            return self.request_path.on_close(datagram, hops)
        return self._drop('kind')

    def _on_upstream_datagram(self, event: events.UpstreamDatagram) -> Effects:
        self._upstream_datagram_count[0] += 1
        data = event.data
        try:
            header, offset = wire.parse_proxy_header(data)
            preamble = wire.read_preamble(data, offset)
            known = self.control_plane.upstream_at(event.sender)
            if known is None or known[0] != preamble.service:
                return self._drop('unknown-upstream')
            envelope_data = data[offset:]
            if preamble.kind >= _Kind.ANSWER:
                envelope = wire.decode(envelope_data)
                if envelope.request:
                    return self.request_path.on_answer(
                        known[1], envelope, envelope_data
                    )
        except wire.MalformedError:
            return self._count_malformed(events.Channel.UPSTREAM)
        source = header.source
        return [effects.ToCaller((source.ip, source.port), envelope_data)]

    def _on_peer_datagram(self, event: events.PeerDatagram) -> Effects:
        self._peer_datagram_count[0] += 1
        received = self._link.receive(event.sender, event.data)
        if received is None:
            return []
        sender, message = received
        if not isinstance(message, wire.Forward):
            return self.control_plane.on_message(sender, message)
        try:
            return self._on_forward(message)
        except wire.MalformedError:
            return self._count_malformed(events.Channel.PEER)

    def _on_forward(self, body: wire.Forward) -> Effects:
        origin = requests.ORIGINS_BY_PURPOSE.get(body.purpose)
        if origin is not None:
            datagram = requests.RequestDatagram.decode(body.datagram)
            return self.request_path.on_peer_request(
                datagram, origin, body.held
            )
        if body.purpose is wire.ForwardPurpose.WORK:
            return self._on_request_datagram(
                requests.RequestDatagram.decode(body.datagram),
                events.Channel.PEER,
                body.hops,
            )
        if self._pause_detector.is_stale(events.Channel.PEER):
            return self._drop('stale')
        header, offset = wire.parse_proxy_header(body.datagram)
        preamble = wire.read_preamble(body.datagram, offset)
        return self._stream_path.on_forward(preamble, header.source, body)

    def _on_wake(self, _: events.Wake) -> Effects:
        if not self._pause_detector.detect_pause():
            return []
        return self._on_pause()

    def _on_pause(self) -> Effects:
        self.counters.add(counts.Metric.PAUSES, 'gap')
        self.control_plane.on_pause()
        return [
            effects.WriteLog(
                effects.Severity.WARNING,
                'the process was paused; buffered datagrams are stale',
            )
        ]

    def _on_tick(self, _: events.Tick) -> Effects:
        produced = self._on_wake(events.Wake())
        produced += self.request_path.tick()
        now = self._clock.monotonic()
        if now >= self._next_control_tick:
            self._next_control_tick = now + CONTROL_TICK_INTERVAL
            produced += self.control_plane.tick()
            produced += self._update_polled_upstreams()
            produced += self.shutdown.tick()
        return produced

    def _update_polled_upstreams(self) -> Effects:
        upstreams = self.request_path.placers.led_upstreams()
        if upstreams == self._polled_upstreams:
            return []
        self._polled_upstreams = upstreams
        return [effects.PollUpstreams(tuple(sorted(upstreams.items())))]

    def _on_channel_empty(self, event: events.ChannelEmpty) -> Effects:
        self._pause_detector.on_channel_empty(event.channel)
        return []

    def _on_hosts_listed(self, event: events.HostsListed) -> Effects:
        self.control_plane.on_hosts(event.hosts)
        return []

    def _on_services_listed(self, event: events.ServicesListed) -> Effects:
        self.control_plane.store.on_listing(event.version, event.services)
        return []

    def _on_service_changed(self, event: events.ServiceChanged) -> Effects:
        self.control_plane.store.on_change(event.change)
        return []

    def _on_evacuation_read(self, event: events.EvacuationRead) -> Effects:
        self.control_plane.store.on_evacuation(event.version, event.evacuated)
        return []

    def _on_watch_alive(self, event: events.WatchAlive) -> Effects:
        self.control_plane.store.on_watch_alive(event.version)
        return []

    def _on_upstream_polled(self, event: events.UpstreamPolled) -> Effects:
        probe_result = placement.ProbeResult(event.upstream_id, event.healthy)
        load_report = None
        if event.running is not None:
            load_report = placement.LoadReport(
                event.upstream_id, event.running, event.age
            )
        return self.request_path.on_polled(
            event.service_id, probe_result, load_report
        )

    def _on_keys_changed(self, event: events.KeysChanged) -> Effects:
        self._link.keyring = event.keyring
        return [
            effects.WriteLog(
                effects.Severity.INFO, 'replaced the keys for peer messages'
            )
        ]

    def _on_leave_requested(self, _: events.LeaveRequested) -> Effects:
        return self.shutdown.start()

    def _count_malformed(self, channel: events.Channel) -> Effects:
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
    events.CallerDatagrams: BalancerCore._on_caller_datagrams,
    events.UpstreamDatagram: BalancerCore._on_upstream_datagram,
    events.PeerDatagram: BalancerCore._on_peer_datagram,
    events.Wake: BalancerCore._on_wake,
    events.Tick: BalancerCore._on_tick,
    events.ChannelEmpty: BalancerCore._on_channel_empty,
    events.HostsListed: BalancerCore._on_hosts_listed,
    events.ServicesListed: BalancerCore._on_services_listed,
    events.ServiceChanged: BalancerCore._on_service_changed,
    events.EvacuationRead: BalancerCore._on_evacuation_read,
    events.WatchAlive: BalancerCore._on_watch_alive,
    events.UpstreamPolled: BalancerCore._on_upstream_polled,
    events.KeysChanged: BalancerCore._on_keys_changed,
    events.LeaveRequested: BalancerCore._on_leave_requested,
}

"""Exchange of load reports over the connections between hosts."""

import asyncio
import collections.abc
import datetime
import functools
import logging

import msgspec

from acaciamoor import clock as clocks
from acaciamoor import evidence
from acaciamoor import load_reports
from acaciamoor import replica as replicas
from acaciamoor.forwarder.shell import relay_server
from acaciamoor.telemetry import bounded
from acaciamoor.telemetry import exposition

_LOG = logging.getLogger(__name__)
_SECOND = datetime.timedelta(seconds=1)
_ENCODER = msgspec.msgpack.Encoder()
_REPORT_DECODER = msgspec.msgpack.Decoder(load_reports.HostReport)
_SUMMARY_DECODER = msgspec.msgpack.Decoder(list[load_reports.LoadSummary])

# Share of the interval between reports by which a summary for other data
# centres may be early; timers are late by milliseconds.
_EARLY_SHARE = 0.25

SendToRelay = collections.abc.Callable[
    [replicas.Peer, replicas.Report | replicas.Summary], bool
]


class LoadExchange:
    """Sends the reports of this host, and passes on sums.

    A host reports to the first relay that it listens to. A host that others
    report to sums their reports with its own: the first host of a data centre
    for all hosts, a branch for a report of its own.

    Parameters
    ----------
    own : Peer
        This host.
    collector : LoadCollector
        Counts the load that passes this host.
    picture : LoadPicture
        Receives the sums.
    peers : PeerList
        Known hosts, which tell what this host does.
    server : RelayServer
        Connections of listeners.
    send_to_relay : callable
        Sends a message to a relay; returns whether its connection took it.
    clock : Clock
        Source of time.
    is_current : callable
        Returns whether this host is in contact with the store; otherwise its
        evidence about upstreams is left out.
    """

    def __init__(
        self,
        own: replicas.Peer,
        collector: load_reports.LoadCollector,
        picture: load_reports.LoadPicture,
        peers: replicas.PeerList,
        server: relay_server.RelayServer,
        send_to_relay: SendToRelay,
        clock: clocks.Clock,
        is_current: collections.abc.Callable[[], bool],
    ) -> None:
        self._own = own
        self._is_current = is_current
        self._report_filter = evidence.ReportFilter()
        self._collector = collector
        self._picture = picture
        self._peers = peers
        self._server = server
        self._send_to_relay = send_to_relay
        self._clock = clock
        self._aggregator = load_reports.ReportAggregator(
            own.host_id, own.data_centre, collector.incarnation
        )
        self._was_fresh = False
        self._pace = load_reports.Pace.of(1, 1)
        # Sums of other data centres that wait to be passed on, and when they
        # were received; those of 30 data centres shrink to a quarter in one
        # message.
        self._waiting_by_data_centre: dict[
            str, tuple[load_reports.LoadSummary, datetime.timedelta]
        ] = {}
        # When the sum of this data centre was last sent to others.
        self._sent_abroad_at: datetime.timedelta | None = None
        self._rate_limiter = bounded.LogRateLimiter(clock)
        self.messages = exposition.Counter(
            'acaciamoor_forwarder_load_messages_total',
            'Reports and summaries of loads by what became of them.',
        )

    async def run(self) -> None:
        """Exchange reports until cancelled."""
        while True:
            self.exchange()
            await asyncio.sleep(self._pace.interval.total_seconds())

    def exchange(self) -> None:
        """Send the report, or the sum of reports, of an interval."""
        now = self._clock.monotonic()
        self._log_freshness(now)
        waiting = self._take_waiting(now)
        own = self._collect(now)
        if own is not None:
            self._picture.record(own, now)
        abroad = self._select_for_abroad(own, now)
        self._send_to_listeners(own, abroad, waiting, now)
        self._send_up([*abroad, *waiting], now)

    def _collect(
        self, now: datetime.timedelta
    ) -> load_reports.LoadSummary | None:
        """Take the report of this host, and send it or return the sum."""
        hosts = self._server.local_hosts
        # Taken also where it is not sent: this drops the counts of upstreams
        # that are gone, and of earlier intervals. The first one has no
        # interval to which its counts belong.
        report = self._report_filter.apply(
            self._collector.take_report(now), self._is_current(), now
        )
        if hosts < load_reports.MIN_HOSTS or report.serial == 1:
            return None
        known = self._picture.summaries(now).keys() | {self._own.data_centre}
        self._pace = load_reports.Pace.of(hosts, len(known))
        self._aggregator.record(report, now)
        if self._peers.leads_data_centre(now):
            return self._aggregator.summarize(now)
        self._send_report(now)
        return None

    def receive_from_listener(
        self,
        host_id: str,
        data_centre: str,
        message: replicas.Report | replicas.Summary,
        delay: datetime.timedelta,
    ) -> None:
        """Handle a message of a listener; see `relay_server.OnReport`."""
        sent_at = self._clock.monotonic() - delay
        _receive(message, self, host_id, data_centre, sent_at)

    def receive_from_relay(
        self,
        message: replicas.Summary,
        host_id: str,
        sent_at: datetime.timedelta,
    ) -> None:
        """Record sums, and send them to those that report to this host.

        Parameters
        ----------
        message : Summary
            The message.
        host_id : str
            Relay that sent it.
        sent_at : datetime.timedelta
            Time at which it was sent.
        """
        news = self.record_summaries(message, host_id, sent_at)
        if news:
            now = self._clock.monotonic()
            aged = [_age(summary, now - sent_at) for summary in news]
            self._send_to_listeners(None, [], aged, now)

    def record_summaries(
        self,
        message: replicas.Summary,
        host_id: str,
        sent_at: datetime.timedelta,
    ) -> list[load_reports.LoadSummary]:
        """Record sums; return those that are news."""
        try:
            summaries = _SUMMARY_DECODER.decode(message.body)
        except msgspec.MsgspecError as error:
            self._refuse('summary', host_id, str(error))
            return []
        news = []
        # Sums that were on the way for longer count for nothing.
        if self._clock.monotonic() - sent_at < load_reports.MAX_AGE:
            news = [
                summary
                for summary in summaries
                if self._picture.record(summary, sent_at)
            ]
        if news:
            self.messages.add(type='summary', outcome='received')
        else:
            # A second copy, which came another way, or a late sum.
            self.messages.add(type='summary', outcome='ignored')
        return news

    def hold_summaries(
        self,
        message: replicas.Summary,
        host_id: str,
        sent_at: datetime.timedelta,
    ) -> None:
        """Record sums of another data centre, which are passed on soon."""
        for summary in self.record_summaries(message, host_id, sent_at):
            # One for each data centre in the picture, which are bounded.
            self._waiting_by_data_centre[summary.data_centre] = (
                summary,
                sent_at,
            )

    def record_report(
        self,
        message: replicas.Report,
        host_id: str,
        data_centre: str,
        sent_at: datetime.timedelta,
    ) -> None:
        """Record the report of a listener.

        Parameters
        ----------
        message : Report
            The message.
        host_id, data_centre : str
            Host that sent it.
        sent_at : datetime.timedelta
            Time at which it was sent.
        """
        try:
            report = _REPORT_DECODER.decode(message.body)
        except msgspec.MsgspecError as error:
            self._refuse('report', host_id, str(error))
            return
        named = (report.host_id, report.data_centre)
        if named != (host_id, data_centre):
            self._refuse('report', host_id, f'it names {named}')
        elif data_centre != self._own.data_centre:
            self._refuse('report', host_id, f'it is from {data_centre!r}')
        elif self._aggregator.record(
            evidence.limit_unanswered(report), sent_at
        ):
            self.messages.add(type='report', outcome='received')
        else:
            # A repeated report, or one of an earlier process.
            self.messages.add(type='report', outcome='ignored')

    def _take_waiting(
        self, now: datetime.timedelta
    ) -> list[load_reports.LoadSummary]:
        waiting = [
            _age(summary, now - sent_at)
            for summary, sent_at in self._waiting_by_data_centre.values()
        ]
        self._waiting_by_data_centre.clear()
        return waiting

    def _send_to_listeners(
        self,
        own: load_reports.LoadSummary | None,
        abroad: list[load_reports.LoadSummary],
        others: list[load_reports.LoadSummary],
        now: datetime.timedelta,
    ) -> None:
        """Send sums to the listeners that report to this host.

        Parameters
        ----------
        own : LoadSummary or None
            Sum of the own data centre, for its hosts.
        abroad : list of LoadSummary
            The same for other data centres; empty if it is not due there.
        others : list of LoadSummary
            Sums of other data centres.
        now : datetime.timedelta
            Current time.
        """
        if own is None and not others:
            return
        for data_centre in self._server.get_reporting_data_centres():
            if data_centre == self._own.data_centre:
                summaries = list(others)
                if own is not None:
                    summaries.append(
                        load_reports.limit_summary(
                            own, self._pace.summary_upstreams
                        )
                    )
            else:
                # Another data centre needs no sum of its own hosts.
                summaries = [
                    summary
                    for summary in (*abroad, *others)
                    if summary.data_centre != data_centre
                ]
            if summaries:
                sent, missed = self._server.send_summary(
                    _encode_summaries(summaries, now), data_centre
                )
                self._count('summary', 'sent', sent)
                self._count('summary', 'left_out', missed)

    def _send_report(self, now: datetime.timedelta) -> None:
        """Send the report of this host, and of those that report to it."""
        # The second host of a data centre also listens to the relay of the
        # site. Only sums cross between data centres.
        relays = [
            peer
            for peer in self._peers.relays(now)
            if peer.data_centre == self._own.data_centre
        ]
        if relays:
            report = load_reports.limit_report(
                self._aggregator.combine(now), self._pace
            )
            message = replicas.Report(
                msgspec.Raw(_ENCODER.encode(report)), now / _SECOND
            )
            # The connection to the first one may be about to be opened.
            sent = any(self._send_to_relay(relay, message) for relay in relays)
            self._count('report', 'sent' if sent else 'left_out', 1)

    def _send_up(
        self,
        summaries: list[load_reports.LoadSummary],
        now: datetime.timedelta,
    ) -> None:
        """Send sums to the relay of the site, unless it is this host.

        A data centre that cannot reach that relay sends its sums to the
        standby, which sends them on to the relay.
        """
        if not summaries or self._peers.role(now) is replicas.Role.RELAY:
            return
        relays = self._peers.relays(now)
        if relays and relays[0].data_centre != self._own.data_centre:
            sent = self._send_to_relay(
                relays[0], _encode_summaries(summaries, now)
            )
            self._count('summary', 'sent' if sent else 'left_out', 1)

    def _select_for_abroad(
        self, own: load_reports.LoadSummary | None, now: datetime.timedelta
    ) -> list[load_reports.LoadSummary]:
        """Return the own sum for other data centres, if it is due."""
        if own is None:
            return []
        pace = self._pace
        early = pace.interval * _EARLY_SHARE
        summary = load_reports.limit_summary(own, pace.foreign_upstreams)
        interval = pace.foreign_interval_for(len(summary.upstreams))
        if (
            self._sent_abroad_at is not None
            and now - self._sent_abroad_at < interval - early
        ):
            return []
        self._sent_abroad_at = now
        return [summary]

    def _count(self, kind: str, outcome: str, count: int) -> None:
        if count:
            self.messages.add(count, type=kind, outcome=outcome)

    def _log_freshness(self, now: datetime.timedelta) -> None:
        fresh = self._picture.is_fresh(now)
        if fresh != self._was_fresh and self._rate_limiter.try_acquire(
            bounded.LogCategory.ROUTINE
        ):
            self._was_fresh = fresh
            _LOG.info(
                'the picture of the load is %s',
                'fresh' if fresh else 'old; this host decides alone',
                extra={'hosts': self._picture.hosts(now)},
            )

    def _refuse(self, kind: str, host_id: str, reason: str) -> None:
        self.messages.add(type=kind, outcome='refused')
        if self._rate_limiter.try_acquire(bounded.LogCategory.FAILURE):
            _LOG.warning(
                'load %s refused: %s', kind, reason, extra={'host': host_id}
            )


def _age(
    summary: load_reports.LoadSummary, elapsed: datetime.timedelta
) -> load_reports.LoadSummary:
    """Return a summary that is older by the time it spent on its way here."""
    return msgspec.structs.replace(
        summary, age=summary.age + max(0.0, elapsed / _SECOND)
    )


def _encode_summaries(
    summaries: list[load_reports.LoadSummary], now: datetime.timedelta
) -> replicas.Summary:
    return replicas.Summary(
        msgspec.Raw(_ENCODER.encode(summaries)), now / _SECOND
    )


@functools.singledispatch
def _receive(
    message: replicas.Report | replicas.Summary,
    exchange: LoadExchange,
    host_id: str,
    data_centre: str,
    sent_at: datetime.timedelta,
) -> None:
    raise TypeError(f'no handler for message {message!r}')


@_receive.register
def _receive_report(
    message: replicas.Report,
    exchange: LoadExchange,
    host_id: str,
    data_centre: str,
    sent_at: datetime.timedelta,
) -> None:
    exchange.record_report(message, host_id, data_centre, sent_at)


@_receive.register
def _receive_summary(
    message: replicas.Summary,
    exchange: LoadExchange,
    host_id: str,
    data_centre: str,
    sent_at: datetime.timedelta,
) -> None:
    exchange.hold_summaries(message, host_id, sent_at)

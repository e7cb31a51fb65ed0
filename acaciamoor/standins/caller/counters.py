"""Counters of the results that callers of one service observed."""

import collections
import dataclasses

from acaciamoor import wire

RequestKey = tuple[int, int]


@dataclasses.dataclass(slots=True)
class ServiceCounters:
    """Results that the callers of one service observed.

    All counts in `violations` must be zero.

    Parameters
    ----------
    service : int
        Identifier of the service.
    """

    service: int
    streams_opened: int = 0
    streams_refused: int = 0
    streams_broken: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    stream_replies: int = 0
    stream_retries: int = 0
    requests: int = 0
    complete: int = 0
    not_run_by_reason: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    unknown_by_reason: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    unanswered: int = 0
    retransmissions: int = 0
    crossed_answers: int = 0
    wrong_service: int = 0
    double_runs: int = 0
    false_not_run: int = 0
    latencies_ms: list[float] = dataclasses.field(default_factory=list)
    outcomes_by_key: dict[RequestKey, wire.Outcome] = dataclasses.field(
        default_factory=dict
    )

    @property
    def violations(self) -> dict[str, int]:
        """Number of violations of each guarantee given to callers.

        These are streams that broke, answers to another request, datagrams
        of another service, requests that ran twice without being idempotent,
        and requests that ran although they were reported as not run.
        """
        return {
            'broken streams': sum(self.streams_broken.values()),
            'crossed answers': self.crossed_answers,
            'wrong service': self.wrong_service,
            'double runs': self.double_runs,
            'false not run': self.false_not_run,
        }

    def latency_quantile_ms(self, share: float) -> float:
        """Return the latency quantile at `share`, in milliseconds."""
        if not self.latencies_ms:
            return 0.0
        sorted_latencies_ms = sorted(self.latencies_ms)
        return sorted_latencies_ms[
            min(
                len(sorted_latencies_ms) - 1,
                int(share * len(sorted_latencies_ms)),
            )
        ]

    def to_document(self) -> dict[str, object]:
        """Return the counters as a JSON-compatible document."""
        return {
            'service': self.service,
            'streams opened': self.streams_opened,
            'streams refused': self.streams_refused,
            'stream replies': self.stream_replies,
            'stream retries': self.stream_retries,
            'requests': self.requests,
            'complete': self.complete,
            'not run': dict(self.not_run_by_reason),
            'outcome unknown': dict(self.unknown_by_reason),
            'unanswered': self.unanswered,
            'retransmissions': self.retransmissions,
            'p50 ms': round(self.latency_quantile_ms(0.5), 1),
            'p99 ms': round(self.latency_quantile_ms(0.99), 1),
            'broken reasons': dict(self.streams_broken),
            **self.violations,
        }

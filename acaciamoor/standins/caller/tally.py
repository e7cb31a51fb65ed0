"""What callers of one service saw."""

import collections
import dataclasses

from acaciamoor import wire

RequestKey = tuple[int, int]


@dataclasses.dataclass(slots=True)
class ServiceTally:
    """Counts for one service.

    The promises are the counts of `broken_promises`; all must be zero.

    Parameters
    ----------
    service : int
        Number of the service.
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
    refused_by_reason: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    unknown_by_reason: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    unanswered: int = 0
    retransmissions: int = 0
    crossed: int = 0
    wrong_service: int = 0
    double_runs: int = 0
    false_not_run: int = 0
    latencies_ms: list[float] = dataclasses.field(default_factory=list)
    outcomes_by_key: dict[RequestKey, wire.Outcome] = dataclasses.field(
        default_factory=dict
    )

    @property
    def broken_promises(self) -> dict[str, int]:
        """Number of violations of each promise."""
        return {
            'broken streams': sum(self.streams_broken.values()),
            'crossed answers': self.crossed,
            'wrong service': self.wrong_service,
            'double runs': self.double_runs,
            'false not run': self.false_not_run,
        }

    def percentile_ms(self, share: float) -> float:
        """Return the latency that `share` of the answers stayed under."""
        if not self.latencies_ms:
            return 0.0
        ordered = sorted(self.latencies_ms)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

    def document(self) -> dict[str, object]:
        """Return the counts in a form for JSON."""
        return {
            'service': self.service,
            'streams opened': self.streams_opened,
            'streams refused': self.streams_refused,
            'stream replies': self.stream_replies,
            'stream retries': self.stream_retries,
            'requests': self.requests,
            'complete': self.complete,
            'not run': dict(self.refused_by_reason),
            'outcome unknown': dict(self.unknown_by_reason),
            'unanswered': self.unanswered,
            'retransmissions': self.retransmissions,
            'p50 ms': round(self.percentile_ms(0.5), 1),
            'p99 ms': round(self.percentile_ms(0.99), 1),
            'broken reasons': dict(self.streams_broken),
            **self.broken_promises,
        }

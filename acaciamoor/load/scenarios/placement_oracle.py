"""Oracle that compares the runs of each request with the replies to it."""

import collections
import dataclasses
import datetime

from acaciamoor import model
from acaciamoor import requests
from acaciamoor import wire


@dataclasses.dataclass(slots=True)
class CallerRecord:
    """A request as observed by its caller, and its attempts that ran.

    Parameters
    ----------
    first_part : requests.RequestPart
        The first attempt, which has a single part.
    sent_at : datetime.timedelta
        Virtual time of the first attempt.
    attempts : int
        Number of attempts that the caller has sent.
    answers : list of object
        Payloads of all answers that the caller received.
    outcome, reason : wire.Outcome or None, requests.Reason
        Content of the first reply; None without a reply.
    ended_at : datetime.timedelta or None
        Virtual time of the first reply.
    refused_attempts : set of int
        Attempts to which "not run" was replied.
    run_attempts : set of int
        Attempts that ran at an upstream.
    """

    first_part: requests.RequestPart
    sent_at: datetime.timedelta
    attempts: int = 1
    answers: list[object] = dataclasses.field(default_factory=list)
    outcome: wire.Outcome | None = None
    reason: requests.Reason = requests.Reason.NONE
    ended_at: datetime.timedelta | None = None
    refused_attempts: set[int] = dataclasses.field(default_factory=set)
    run_attempts: set[int] = dataclasses.field(default_factory=set)

    @property
    def is_falsely_refused(self) -> bool:
        """Whether the caller received "not run" although the request ran.

        The refusal of a non-idempotent request applies to all of its attempts.
        An idempotent request without a record always runs, so an attempt that
        the caller has already sent may still run at another placer. Its
        refusal therefore applies only to the refused attempt.
        """
        if self.first_part.idempotent:
            return bool(self.refused_attempts & self.run_attempts)
        return bool(self.refused_attempts and self.run_attempts)

    @property
    def latency(self) -> datetime.timedelta | None:
        """Time until the first reply; None without a reply."""
        return None if self.ended_at is None else self.ended_at - self.sent_at


@dataclasses.dataclass(frozen=True, slots=True)
class RunAnswer:
    """Payload of an answer: the upstream and the run that produced it."""

    key: requests.RequestKey
    upstream_id: model.UpstreamId
    run: int


class Oracle:
    """Records runs and replies and reports violated guarantees.

    Attributes
    ----------
    violations : list of str
        Descriptions of all violations.
    double_runs : int
        Runs of non-idempotent requests after their first one.
    crossed_answers : int
        Answers that reached the caller of another request.
    overloads : int
        Requests with which a balancer exceeded the slots of an upstream.
    """

    def __init__(self) -> None:
        self.records_by_key: dict[requests.RequestKey, CallerRecord] = {}
        self.runs_by_key: collections.Counter[requests.RequestKey] = (
            collections.Counter()
        )
        self.runs_by_upstream: collections.Counter[model.UpstreamId] = (
            collections.Counter()
        )
        self.violations: list[str] = []
        self.double_runs = 0
        self.crossed_answers = 0
        self.overloads = 0

    @property
    def false_not_run(self) -> int:
        """Number of requests that ran although "not run" was replied."""
        return sum(
            record.is_falsely_refused
            for record in self.records_by_key.values()
        )

    def record_send(
        self, request_part: requests.RequestPart, now: datetime.timedelta
    ) -> CallerRecord:
        """Record the first attempt of a request."""
        record = CallerRecord(request_part, now)
        self.records_by_key[request_part.key] = record
        return record

    def record_run(
        self, request_part: requests.RequestPart, upstream_id: model.UpstreamId
    ) -> int:
        """Record the start of a run and return its number, from 1."""
        self.runs_by_key[request_part.key] += 1
        self.runs_by_upstream[upstream_id] += 1
        runs = self.runs_by_key[request_part.key]
        if runs > 1 and not request_part.idempotent:
            self.double_runs += 1
            self.violations.append(f'{request_part.key} ran {runs} times')
        record = self.records_by_key[request_part.key]
        record.run_attempts.add(request_part.attempt)
        self._check_refusal(record)
        return runs

    def record_reply(
        self,
        key: requests.RequestKey,
        attempt: int,
        outcome: wire.Outcome,
        reason: requests.Reason,
        payload: object,
        now: datetime.timedelta,
    ) -> None:
        """Record a reply that reached the caller of a request."""
        record = self.records_by_key[key]
        if record.ended_at is None:
            record.outcome, record.reason = outcome, reason
            record.ended_at = now
        if outcome is wire.Outcome.NOT_RUN:
            record.refused_attempts.add(attempt)
            self._check_refusal(record)
        if outcome is wire.Outcome.COMPLETE:
            self._check_answer(key, record, payload)

    def record_overload(
        self, balancer: str, upstream_id: model.UpstreamId
    ) -> None:
        """Record that one balancer alone exceeded the slots of an upstream."""
        self.overloads += 1
        self.violations.append(
            f'{balancer} exceeds the slots of {upstream_id}'
        )

    def _check_refusal(self, record: CallerRecord) -> None:
        if record.is_falsely_refused:
            self.violations.append(
                f'{record.first_part.key} ran although "not run" was replied'
            )

    def _check_answer(
        self,
        key: requests.RequestKey,
        record: CallerRecord,
        payload: object,
    ) -> None:
        record.answers.append(payload)
        is_own = isinstance(payload, RunAnswer) and payload.key == key
        if not is_own:
            self.crossed_answers += 1
            self.violations.append(
                f'{key} got the answer of another request: {payload}'
            )
        # A placer sends a cached answer again only for another attempt.
        if len(record.answers) > record.attempts:
            self.violations.append(
                f'{key} got {len(record.answers)} answers for '
                f'{record.attempts} attempts'
            )

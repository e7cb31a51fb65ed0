"""States of a request and what the ledger decides about a datagram."""

import dataclasses
import enum

from acaciamoor.requests import work as works


class RequestState(enum.Enum):
    """What this balancer knows about a request."""

    QUEUED = 'queued'
    BOUND = 'bound'
    COMPLETED = 'completed'
    # Tombstone: the caller was told "not run", so no copy may run.
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class Verdict(enum.Enum):
    """What to do with a datagram of a request."""

    RUN = 'run'
    IN_PROGRESS = 'in progress'
    REPEAT_ANSWER = 'repeat answer'
    ASK_PEER = 'ask peer'
    NOT_RUN = 'not run'
    OUTCOME_UNKNOWN = 'outcome unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Decision about one datagram.

    Parameters
    ----------
    verdict : Verdict
        What to do.
    reason : Reason
        Cause, for a refusal or an unknown outcome.
    answer : tuple of object
        Payloads of the answer's parts, for `Verdict.REPEAT_ANSWER`.
    first_run : bool
        For `Verdict.RUN`, whether it is certain that no earlier attempt ran.
        Without that certainty the request is never refused as "not run".
    """

    verdict: Verdict
    reason: works.Reason = works.Reason.NONE
    answer: tuple[object, ...] = ()
    no_earlier_run: bool = False

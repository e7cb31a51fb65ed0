"""States of requests and decisions of the ledger about datagrams."""

import dataclasses
import enum

from acaciamoor.requests import request_part as request_parts


class RequestState(enum.Enum):
    """State of a request, as recorded at this balancer."""

    QUEUED = 'queued'
    BOUND = 'bound'
    COMPLETED = 'completed'
    # Tombstone: the outcome sent was "not run", so no later attempt may run.
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
    """Decision of the ledger about one datagram.

    Parameters
    ----------
    verdict : Verdict
        What to do with the datagram.
    reason : Reason
        Cause of a refusal or an unknown outcome.
    answer : tuple of object
        Payloads of the answer's parts, for `Verdict.REPEAT_ANSWER`.
    no_earlier_run : bool
        For `Verdict.RUN`, whether it is certain that no earlier attempt ran.
        Otherwise the request must not be refused as "not run".
    """

    verdict: Verdict
    reason: request_parts.Reason = request_parts.Reason.NONE
    answer: tuple[object, ...] = ()
    no_earlier_run: bool = False

"""Effects of the balancer core, carried out by the shell."""

import dataclasses
import datetime
import enum
import logging
import typing

from acaciamoor import model
from acaciamoor import placement

SocketAddress = tuple[str, int]


class ToCaller(typing.NamedTuple):
    """Send an envelope to a caller."""

    address: SocketAddress
    data: bytes


class ToUpstream(typing.NamedTuple):
    """Send a PROXY header and an envelope to an upstream."""

    address: SocketAddress
    data: bytes


class ToPeer(typing.NamedTuple):
    """Send a signed message to another balancer."""

    address: SocketAddress
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SetWatch:
    """Start or stop the watches of services and evacuations."""

    active: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WriteStatus:
    """Write the version in force in the data centre to the platform."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class PollUpstreams:
    """Replace the upstreams whose health and load endpoints are polled."""

    upstreams_by_service: tuple[
        tuple[model.ServiceId, tuple[model.Upstream, ...]], ...
    ]


class Severity(enum.IntEnum):
    """Severity of a log line, as a level of `logging`."""

    INFO = logging.INFO
    WARNING = logging.WARNING
    ERROR = logging.ERROR


@dataclasses.dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a log line.

    Parameters
    ----------
    severity : Severity
        Level of the log line.
    message : str
        Text of the log line.
    service : str
        Name of the service that the message is about, or empty.
    flow : int or None
        Flow that the message is about.
    """

    severity: Severity
    message: str
    service: str = ''
    flow: int | None = None


class RequestOutcome(enum.Enum):
    """Outcome of a request for its caller."""

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    OUTCOME_UNKNOWN = 'outcome_unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded:
    """Record the outcome of a request in the metrics.

    Parameters
    ----------
    service : str
        Name of the service.
    outcome : RequestOutcome
        Outcome of the request.
    short_request_time : datetime.timedelta or None
        Time from arrival to answer. None without an answer and for requests
        that were declared long.
    """

    service: str
    outcome: RequestOutcome
    short_request_time: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RequestStarted:
    """Record in the metrics that a request was sent to an upstream.

    Parameters
    ----------
    service : str
        Name of the service.
    waited : datetime.timedelta
        Time for which it has waited for a slot.
    """

    service: str
    waited: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRefused:
    """Log a refusal, with what it rests on.

    Parameters
    ----------
    service : str
        Name of the service.
    flow : int
        Flow of the request.
    outcome : RequestOutcome
        Outcome of the request.
    reason : str
        Cause of the refusal.
    retry_after : datetime.timedelta
        Time after which the caller was told to return; zero if it was not.
    inputs : RefusalInputs or None
        What the placer knew; None if no placer decided.
    """

    service: str
    flow: int
    outcome: RequestOutcome
    reason: str
    retry_after: datetime.timedelta
    inputs: placement.RefusalInputs | None


@dataclasses.dataclass(frozen=True, slots=True)
class Exit:
    """Exit the process, at the end of a graceful shutdown."""


Effect = (
    ToCaller
    | ToUpstream
    | ToPeer
    | SetWatch
    | WriteStatus
    | PollUpstreams
    | WriteLog
    | RequestStarted
    | RequestRefused
    | RequestEnded
    | Exit
)

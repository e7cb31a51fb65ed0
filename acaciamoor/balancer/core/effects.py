"""Effects of the balancer core, carried out by the shell."""

import dataclasses
import datetime
import enum
import logging
import typing

from acaciamoor import model

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
    """Start or stop the watch of the services on the platform."""

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
    | RequestEnded
    | Exit
)

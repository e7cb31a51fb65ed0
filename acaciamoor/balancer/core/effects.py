"""Outputs of the balancer core, carried out by the shell."""

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
    """Send a sealed message to another balancer."""

    address: SocketAddress
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HoldWatch:
    """Start or end the watch of the platform."""

    held: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WriteStatus:
    """Write the version that is in force in the whole data centre."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ObserveUpstreams:
    """Ask the health and load endpoints of these upstreams from now on."""

    upstreams_by_service: tuple[
        tuple[model.ServiceId, tuple[model.Upstream, ...]], ...
    ]


class Severity(enum.IntEnum):
    """Importance of a log line."""

    INFO = logging.INFO
    WARNING = logging.WARNING
    ERROR = logging.ERROR


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """Write a log line.

    Parameters
    ----------
    severity : Severity
        Importance.
    message : str
        Text.
    service : str
        Name of the service that it concerns, or empty.
    flow : int or None
        Flow that it concerns.
    """

    severity: Severity
    message: str
    service: str = ''
    flow: int | None = None


class RequestOutcome(enum.Enum):
    """How a request ended for its caller."""

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    OUTCOME_UNKNOWN = 'outcome_unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded:
    """Measure a request that ended.

    Parameters
    ----------
    service : str
        Name of the service.
    outcome : RequestOutcome
        How it ended.
    short_work_time : datetime.timedelta or None
        Time from arrival to answer; None without an answer and for work that
        was announced as long.
    """

    service: str
    outcome: RequestOutcome
    short_work_time: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Exit:
    """End the process: it has left."""


Effect = (
    ToCaller
    | ToUpstream
    | ToPeer
    | HoldWatch
    | WriteStatus
    | ObserveUpstreams
    | Note
    | RequestEnded
    | Exit
)

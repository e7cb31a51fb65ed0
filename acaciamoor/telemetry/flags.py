"""Flags for logs and metrics that several programs have in common."""

import enum

from acaciamoor import settings


class LogFormat(enum.Enum):
    """Format of log lines."""

    JSON = 'json'
    TEXT = 'text'


class LogLevel(enum.Enum):
    """Minimum severity of the messages that are logged."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


DATA_CENTRE = settings.RequiredFlag(
    'data-centre', settings.text, 'Data centre of this host.'
)
HOST = settings.RequiredFlag('host', settings.text, 'Identifier of this host.')
LOG_FORMAT = settings.Flag(
    'log-format',
    settings.choice(LogFormat),
    LogFormat.JSON,
    'Format of log lines: json or text.',
)
LOG_LEVEL = settings.Flag(
    'log-level',
    settings.choice(LogLevel),
    LogLevel.INFO,
    'Minimum severity of logged messages: debug, info, warning or error.',
)
METRICS_ADDRESS = settings.Flag(
    'metrics-address',
    settings.optional(settings.address),
    None,
    'Address of the Prometheus endpoint; none disables the endpoint.',
    'ip:port',
)

LOG_FLAGS = (LOG_FORMAT, LOG_LEVEL)
FLAGS = (DATA_CENTRE, HOST, *LOG_FLAGS, METRICS_ADDRESS)

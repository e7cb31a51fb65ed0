"""Settings that all programs share."""

import enum

from acaciamoor import settings


class LogFormat(enum.Enum):
    """Form of a log line."""

    JSON = 'json'
    TEXT = 'text'


class LogLevel(enum.Enum):
    """Least severe message that is logged."""

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
    'Form of log lines: json or text.',
)
LOG_LEVEL = settings.Flag(
    'log-level',
    settings.choice(LogLevel),
    LogLevel.INFO,
    'Least severe message that is logged: debug, info, warning or error.',
)
METRICS_ADDRESS = settings.Flag(
    'metrics-address',
    settings.optional(settings.address),
    None,
    'Address of the Prometheus endpoint; none turns it off.',
    'ip:port',
)

LOG_FLAGS = (LOG_FORMAT, LOG_LEVEL)
FLAGS = (DATA_CENTRE, HOST, *LOG_FLAGS, METRICS_ADDRESS)

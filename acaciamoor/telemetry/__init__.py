"""Logs and metrics of all programs.

`MetricsEndpoint` is imported lazily, on first access: a process that forwards
packets must not wait at startup for the import of the OpenTelemetry SDK.
"""

from acaciamoor.telemetry.flags import DATA_CENTRE
from acaciamoor.telemetry.flags import FLAGS
from acaciamoor.telemetry.flags import HOST
from acaciamoor.telemetry.flags import LOG_FLAGS
from acaciamoor.telemetry.flags import LOG_FORMAT
from acaciamoor.telemetry.flags import LOG_LEVEL
from acaciamoor.telemetry.flags import LogFormat
from acaciamoor.telemetry.flags import LogLevel
from acaciamoor.telemetry.flags import METRICS_ADDRESS
from acaciamoor.telemetry.logs import configure_logging
from acaciamoor.telemetry.logs import new_formatter
from acaciamoor.telemetry.logs import ProcessIdentity

__all__ = [
    'DATA_CENTRE',
    'FLAGS',
    'HOST',
    'LOG_FLAGS',
    'LOG_FORMAT',
    'LOG_LEVEL',
    'METRICS_ADDRESS',
    'LogFormat',
    'LogLevel',
    'MetricsEndpoint',
    'ProcessIdentity',
    'configure_logging',
    'new_formatter',
]


def __getattr__(name: str) -> object:
    if name != 'MetricsEndpoint':
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    from acaciamoor.telemetry import metrics

    return metrics.MetricsEndpoint

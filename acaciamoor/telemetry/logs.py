"""Structured log lines, as JSON or text."""

import datetime
import logging
import sys
import typing

import msgspec

from acaciamoor import settings
from acaciamoor.telemetry import flags

# Attributes that a call may pass with ``extra``.
_RECORD_FIELDS = (
    'service',
    'flow',
    'upstream',
    'version',
    'reason',
    'attempt',
    'candidates',
    'suspects',
    'silence_ms',
    'routes_version',
    'upstreams_version',
    'age_ms',
)


class Fields(msgspec.Struct, frozen=True):
    """Fields that every log line of a process has."""

    program: str
    data_centre: str = ''
    host: str = ''


class _Formatter(logging.Formatter):
    def __init__(self, fields: Fields) -> None:
        super().__init__()
        self._fields = {
            name: value
            for name, value in msgspec.structs.asdict(fields).items()
            if value
        }

    def fields_of(self, record: logging.LogRecord) -> dict[str, object]:
        """Return the known fields of `record` in a fixed order."""
        return self._fields | {
            name: getattr(record, name)
            for name in _RECORD_FIELDS
            if getattr(record, name, None) is not None
        }


def _time(record: logging.LogRecord) -> str:
    return datetime.datetime.fromtimestamp(
        record.created, tz=datetime.UTC
    ).isoformat(timespec='milliseconds')


class JsonFormatter(_Formatter):
    """Formats a record as one JSON object a line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON text of `record`."""
        line: dict[str, object] = {
            'time': _time(record),
            'level': record.levelname.lower(),
            'logger': record.name,
            'message': record.getMessage(),
        }
        line |= self.fields_of(record)
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


class TextFormatter(_Formatter):
    """Formats a record as one line of text with ``name=value`` fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the text of `record`."""
        fields = ' '.join(
            f'{name}={value}' for name, value in self.fields_of(record).items()
        )
        level = record.levelname.lower()
        text = f'{_time(record)} {level} {record.getMessage()} {fields}'
        if record.exc_info:
            text += '\n' + self.formatException(record.exc_info)
        return text


_FORMATTERS_BY_FORMAT = {
    flags.LogFormat.JSON: JsonFormatter,
    flags.LogFormat.TEXT: TextFormatter,
}


def new_formatter(
    log_format: flags.LogFormat, fields: Fields
) -> logging.Formatter:
    """Return the formatter for `log_format`.

    Examples
    --------
    >>> formatter = new_formatter(flags.LogFormat.TEXT, Fields('demo'))
    >>> record = logging.makeLogRecord({'msg': 'started', 'service': 'desk'})
    >>> formatter.format(record).endswith('started program=demo service=desk')
    True
    """
    return _FORMATTERS_BY_FORMAT[log_format](fields)


def configure_logging(
    given: settings.Settings,
    fields: Fields,
    stream: typing.TextIO | None = None,
) -> None:
    """Send the log of the process to `stream` or standard error.

    A message names a service or a flow with
    ``extra={'service': name, 'flow': flow}``.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(new_formatter(given[flags.LOG_FORMAT], fields))
    level = given[flags.LOG_LEVEL].value.upper()
    logging.basicConfig(handlers=[handler], level=level, force=True)

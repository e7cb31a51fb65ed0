"""Structured logging, as JSON or text."""

import datetime
import logging
import sys
import typing

import msgspec

from acaciamoor import settings
from acaciamoor.telemetry import flags

# Keys of the ``extra`` argument of a log call that are written to the log.
_EXTRA_FIELDS = (
    'service',
    'flow',
    'upstream',
    'upstreams',
    'version',
    'reason',
    'attempt',
    'candidates',
    'suspects',
    'silence_ms',
    'routes_version',
    'upstreams_version',
    'age_ms',
    'outcome',
    'queued',
    'slots',
    'wait_ms',
    'retry_after_ms',
    'target_data_centre',
)


class ProcessIdentity(msgspec.Struct, frozen=True):
    """Program, data centre and host of a process, in its logs and metrics."""

    program: str
    data_centre: str = ''
    host: str = ''


class _StructuredFormatter(logging.Formatter):
    def __init__(self, identity: ProcessIdentity) -> None:
        super().__init__()
        self._identity_fields = {
            name: value
            for name, value in msgspec.structs.asdict(identity).items()
            if value
        }

    def structured_fields(
        self, record: logging.LogRecord
    ) -> dict[str, object]:
        """Return identity and extra fields of `record`, in a fixed order."""
        return self._identity_fields | {
            name: getattr(record, name)
            for name in _EXTRA_FIELDS
            if getattr(record, name, None) is not None
        }


def _format_time(record: logging.LogRecord) -> str:
    return datetime.datetime.fromtimestamp(
        record.created, tz=datetime.UTC
    ).isoformat(timespec='milliseconds')


class JsonFormatter(_StructuredFormatter):
    """Formats each record as a JSON object on a line of its own."""

    def format(self, record: logging.LogRecord) -> str:
        """Return `record` as a JSON object."""
        line: dict[str, object] = {
            'time': _format_time(record),
            'level': record.levelname.lower(),
            'logger': record.name,
            'message': record.getMessage(),
        }
        line |= self.structured_fields(record)
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


class TextFormatter(_StructuredFormatter):
    """Formats each record as a line of text with ``name=value`` fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Return `record` as a line of text, followed by any traceback."""
        fields = ' '.join(
            f'{name}={value}'
            for name, value in self.structured_fields(record).items()
        )
        level = record.levelname.lower()
        text = f'{_format_time(record)} {level} {record.getMessage()} {fields}'
        if record.exc_info:
            text += '\n' + self.formatException(record.exc_info)
        return text


_FORMATTERS_BY_FORMAT = {
    flags.LogFormat.JSON: JsonFormatter,
    flags.LogFormat.TEXT: TextFormatter,
}


def new_formatter(
    log_format: flags.LogFormat, identity: ProcessIdentity
) -> logging.Formatter:
    """Return a formatter for `log_format`.

    Examples
    --------
    >>> identity = ProcessIdentity('demo')
    >>> formatter = new_formatter(flags.LogFormat.TEXT, identity)
    >>> record = logging.makeLogRecord({'msg': 'started', 'service': 'desk'})
    >>> formatter.format(record).endswith('started program=demo service=desk')
    True
    """
    return _FORMATTERS_BY_FORMAT[log_format](identity)


def configure_logging(
    options: settings.Settings,
    identity: ProcessIdentity,
    stream: typing.TextIO | None = None,
) -> None:
    """Configure the root logger to write to `stream` or standard error.

    Log calls add fields with the ``extra`` argument, for example
    ``extra={'service': name, 'flow': flow}``.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(new_formatter(options[flags.LOG_FORMAT], identity))
    level = options[flags.LOG_LEVEL].value.upper()
    logging.basicConfig(handlers=[handler], level=level, force=True)

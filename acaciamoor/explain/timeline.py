"""Log lines of several hosts in chronological order."""

import collections.abc
import dataclasses
import datetime
import typing

import msgspec

# Fields that are not repeated after the message: they are either shown before
# it or omitted.
_OMITTED_FIELDS = frozenset(
    ['time', 'host', 'data_centre', 'message', 'program', 'logger', 'level']
)
# Prefixes of messages about the state of a host or the configuration that it
# uses. They are part of the timeline of every subject that the host logged.
_HOST_EVENT_PREFIXES = (
    'started',
    'leaving',
    'stopped',
    'the process was stopped',
    'configuration adopted',
    'data centre is',
    'watch of',
    'relay',
    'relays do not confirm',
)


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """Parsed log line of one host.

    Parameters
    ----------
    time : datetime.datetime
        Time of the line by the clock of its host.
    host : str
        Identifier of the host that wrote the line.
    message : str
        Log message.
    fields : Mapping
        All fields of the JSON object by name.
    """

    time: datetime.datetime
    host: str
    message: str
    fields: collections.abc.Mapping[str, typing.Any]

    def mentions(self, subject: str) -> bool:
        """Return whether the line is about a flow, caller or upstream.

        A caller is given as ``ip:port`` and matches all of its flows.
        """
        flow = str(self.fields.get('flow', ''))
        return subject in (flow, flow.partition('>')[0], *self.upstreams)

    @property
    def upstreams(self) -> frozenset[str]:
        """Upstreams that the line names."""
        names = str(self.fields.get('upstreams', '')).split()
        if 'upstream' in self.fields:
            names.append(str(self.fields['upstream']))
        return frozenset(names)

    def __str__(self) -> str:
        shown = ' '.join(
            f'{name}={value}'
            for name, value in self.fields.items()
            if name not in _OMITTED_FIELDS
        )
        time = self.time.strftime('%H:%M:%S.%f')[:-3]
        return f'{time} {self.host}: {self.message} {shown}'.rstrip()


def parse_line(text: str) -> LogLine | None:
    """Return the log line in `text`, or None if there is none.

    Text before the JSON object, such as a prefix added by a log collector, is
    ignored.

    Examples
    --------
    >>> text = '{"time":"2026-01-01T00:00:01+00:00","message":"started"}'
    >>> str(parse_line('x ' + text))
    '00:00:01.000 unknown: started'
    >>> parse_line('no log line') is None
    True
    """
    start = text.find('{')
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:])
        time = datetime.datetime.fromisoformat(fields['time'])
        message = str(fields['message'])
    except (ValueError, KeyError, TypeError):
        return None
    return LogLine(time, str(fields.get('host', 'unknown')), message, fields)


class Timeline:
    """Log lines about a subject, and related events of hosts and upstreams.

    Parameters
    ----------
    lines : iterable of LogLine
        Log lines of all hosts, in any order.
    subject : str
        Flow, caller or upstream.
    margin : datetime.timedelta
        Time before the first and after the last line about the subject in
        which events of the hosts and upstreams of these lines are included.
    """

    def __init__(
        self,
        lines: collections.abc.Iterable[LogLine],
        subject: str,
        margin: datetime.timedelta = datetime.timedelta(seconds=5),
    ) -> None:
        ordered = sorted(lines, key=lambda line: line.time)
        matching = [line for line in ordered if line.mentions(subject)]
        self.lines: tuple[LogLine, ...] = ()
        if not matching:
            return
        hosts = {line.host for line in matching}
        upstreams = frozenset[str]().union(
            *(line.upstreams for line in matching if 'flow' in line.fields)
        )
        first, last = matching[0].time - margin, matching[-1].time + margin
        self.lines = tuple(
            line
            for line in ordered
            if line.mentions(subject)
            or (
                first <= line.time <= last
                and (
                    _is_host_event(line, hosts)
                    or _is_upstream_event(line, upstreams)
                )
            )
        )


def _is_host_event(line: LogLine, hosts: set[str]) -> bool:
    return line.host in hosts and line.message.startswith(_HOST_EVENT_PREFIXES)


def _is_upstream_event(line: LogLine, upstreams: frozenset[str]) -> bool:
    about_upstreams = (
        line.message.startswith('upstream') or 'learned from' in line.message
    )
    return about_upstreams and not upstreams.isdisjoint(line.upstreams)

"""Log lines of several hosts in the order of their time."""

import collections.abc
import dataclasses
import datetime
import typing

import msgspec

# Fields that are shown in front of the message or not at all.
_HIDDEN = frozenset(
    ['time', 'host', 'data_centre', 'message', 'program', 'logger', 'level']
)
# Changes of what a host knows or is, which belong to every timeline.
_STATE_CHANGES = (
    'started',
    'leaving',
    'stopped',
    'the process was stopped',
    'configuration adopted',
    'watch of',
    'relay',
    'relays do not confirm',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line.

    Parameters
    ----------
    time : datetime.datetime
        When it was written, by the clock of its host.
    host : str
        Who wrote it.
    message : str
        What happened.
    fields : Mapping
        Everything else in the line.
    """

    time: datetime.datetime
    host: str
    message: str
    fields: collections.abc.Mapping[str, typing.Any]

    def mentions(self, subject: str) -> bool:
        """Return whether the line is about a flow, caller or upstream.

        A caller is given as ``ip:port`` and selects its flows.
        """
        flow = str(self.fields.get('flow', ''))
        return subject in (
            flow,
            flow.partition('>')[0],
            self.fields.get('upstream'),
        )

    def __str__(self) -> str:
        shown = ' '.join(
            f'{name}={value}'
            for name, value in self.fields.items()
            if name not in _HIDDEN
        )
        time = self.time.strftime('%H:%M:%S.%f')[:-3]
        return f'{time} {self.host}: {self.message} {shown}'.rstrip()


def parse_line(text: str) -> Line | None:
    """Return the log line in `text`; None if it holds none.

    A collector may have put something in front of the JSON object.

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
    return Line(time, str(fields.get('host', 'unknown')), message, fields)


class Timeline:
    """Lines about a subject, and state changes of the hosts in them.

    Parameters
    ----------
    lines : iterable of Line
        Lines of all hosts, in any order.
    subject : str
        Flow, caller or upstream.
    margin : datetime.timedelta
        Time before the first and after the last line about the subject in
        which the state changes of its hosts and upstreams are included.
    """

    def __init__(
        self,
        lines: collections.abc.Iterable[Line],
        subject: str,
        margin: datetime.timedelta = datetime.timedelta(seconds=5),
    ) -> None:
        ordered = sorted(lines, key=lambda line: line.time)
        about = [line for line in ordered if line.mentions(subject)]
        self.lines: tuple[Line, ...] = ()
        if not about:
            return
        hosts = {line.host for line in about}
        upstreams = {line.fields.get('upstream') for line in about} - {None}
        first, last = about[0].time - margin, about[-1].time + margin
        self.lines = tuple(
            line
            for line in ordered
            if line.mentions(subject)
            or (
                first <= line.time <= last
                and (
                    _is_state_change(line, hosts)
                    or _is_change(line, upstreams)
                )
            )
        )


def _is_state_change(line: Line, hosts: set[str]) -> bool:
    return line.host in hosts and line.message.startswith(_STATE_CHANGES)


def _is_change(line: Line, upstreams: set[str]) -> bool:
    return line.fields.get(
        'upstream'
    ) in upstreams and line.message.startswith('upstream')

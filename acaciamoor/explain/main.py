"""Command-line interface of ``acaciamoor-explain``."""

import datetime
import itertools
import os
import pathlib
import sys

from acaciamoor import settings
from acaciamoor.explain import timeline

EPILOG = """\
exit codes:
  0  the timeline was printed
  1  a file cannot be read
  2  bad settings
  3  no log line mentions the subject
"""

SUBJECT = settings.RequiredFlag(
    'subject',
    settings.text,
    'Flow (ip:port>ip:port), caller (ip:port) or upstream.',
    positional=True,
)
LOGS = settings.Flag(
    'log',
    settings.repeatable(settings.path),
    (),
    'Log file of one or more hosts; may be given several times.',
    'path',
)
MARGIN = settings.Flag(
    'margin',
    settings.duration(),
    datetime.timedelta(seconds=5),
    'Time before and after the lines about the subject in which events of '
    'their hosts and upstreams are shown as well.',
    's',
)


def _run() -> settings.ExitCode:
    parser = settings.SettingsParser(
        'acaciamoor-explain',
        'Prints the timeline of a flow, caller or upstream from log files.',
        (SUBJECT, LOGS, MARGIN),
        epilog=EPILOG,
    )
    options = parser.parse()
    try:
        lines = [
            line
            for text in itertools.chain.from_iterable(
                _read_lines(path) for path in options[LOGS]
            )
            if (line := timeline.parse_line(text)) is not None
        ]
    except OSError as error:
        print(f'acaciamoor-explain: {error}', file=sys.stderr)
        return settings.ExitCode.FAILURE
    selected = timeline.Timeline(
        lines, options[SUBJECT], options[MARGIN]
    ).lines
    try:
        for line in selected:
            print(line)
    except BrokenPipeError:
        # The reader, for example a pager, closed the pipe. Buffered output is
        # discarded, so that flushing it at exit does not fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    return settings.ExitCode.SUCCESS if selected else settings.ExitCode.REFUSED


def _read_lines(path: pathlib.Path) -> list[str]:
    return path.read_text(encoding='utf-8', errors='replace').splitlines()


def main() -> int:
    """Print the timeline and return the exit code of the process."""
    return settings.run_program(_run)


if __name__ == '__main__':
    sys.exit(main())

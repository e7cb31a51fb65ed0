"""The program ``acaciamoor-explain``."""

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
  3  no line is about the subject
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
    'Log file of one or more hosts; may be given more than once.',
    'path',
)
MARGIN = settings.Flag(
    'margin',
    settings.duration(),
    datetime.timedelta(seconds=5),
    'Time around the lines in which the hosts are shown as well.',
    's',
)


def _run() -> settings.ExitCode:
    parser = settings.SettingsParser(
        'acaciamoor-explain',
        'Shows the timeline of a flow or an upstream from logs.',
        (SUBJECT, LOGS, MARGIN),
        epilog=EPILOG,
    )
    given = parser.parse()
    try:
        lines = [
            line
            for text in itertools.chain.from_iterable(
                _texts(path) for path in given[LOGS]
            )
            if (line := timeline.parse_line(text)) is not None
        ]
    except OSError as error:
        print(f'acaciamoor-explain: {error}', file=sys.stderr)
        return settings.ExitCode.FAILURE
    found = timeline.Timeline(lines, given[SUBJECT], given[MARGIN]).lines
    try:
        for line in found:
            print(line)
    except BrokenPipeError:
        # The reader, for example a pager, has seen enough. The rest of the
        # output must not fail again when the program ends.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    return settings.ExitCode.SUCCESS if found else settings.ExitCode.REFUSED


def _texts(path: pathlib.Path) -> list[str]:
    return path.read_text(encoding='utf-8', errors='replace').splitlines()


def main() -> int:
    """Print the timeline and return the exit code of the process."""
    return settings.run_program(_run)


if __name__ == '__main__':
    sys.exit(main())

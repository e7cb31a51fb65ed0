"""Exit codes of all programs."""

import collections.abc
import enum
import sys
import typing

from acaciamoor import findings


class ExitCode(enum.IntEnum):
    """What a program's end means to its caller."""

    SUCCESS = 0
    FAILURE = 1
    BAD_SETTINGS = 2
    REFUSED = 3
    OUTCOME_UNKNOWN = 4


def report_findings(
    error: findings.FindingsError, stream: typing.TextIO | None = None
) -> None:
    """Write all findings, one a line, to `stream` or standard error."""
    for finding in error.findings:
        print(finding, file=stream or sys.stderr)


def run_program(
    main: collections.abc.Callable[[], ExitCode | int | None],
) -> int:
    """Run `main` and return the exit code of the process.

    A `FindingsError` that leaves `main` means bad settings: a program reports
    refused changes itself.

    Examples
    --------
    >>> run_program(lambda: ExitCode.REFUSED)
    3
    """
    try:
        return int(main() or ExitCode.SUCCESS)
    except findings.FindingsError as error:
        report_findings(error)
        return int(ExitCode.BAD_SETTINGS)
    except KeyboardInterrupt:
        return int(ExitCode.FAILURE)

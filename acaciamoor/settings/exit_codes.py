"""Exit codes of all programs."""

import collections.abc
import enum
import sys
import typing

from acaciamoor import findings


class ExitCode(enum.IntEnum):
    """Exit code of a program.

    `REFUSED` and `OUTCOME_UNKNOWN` are outcomes of a requested change;
    `FAILURE` is any other failure.
    """

    SUCCESS = 0
    FAILURE = 1
    BAD_SETTINGS = 2
    REFUSED = 3
    OUTCOME_UNKNOWN = 4


def report_findings(
    error: findings.FindingsError, stream: typing.TextIO | None = None
) -> None:
    """Write all findings, one per line, to `stream` or standard error."""
    for finding in error.findings:
        print(finding, file=stream or sys.stderr)


def run_program(
    main: collections.abc.Callable[[], ExitCode | int | None],
) -> int:
    """Run `main` and return the exit code of the process.

    A `FindingsError` that `main` raises is reported as invalid settings;
    programs handle refused changes themselves.

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

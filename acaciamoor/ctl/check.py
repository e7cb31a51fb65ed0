"""The command ``check``, which needs no server."""

import collections.abc
import importlib
import json
import pathlib
import typing

import msgspec

import acaciamoor.configuration_check as configuration_check
from acaciamoor.ctl import flags
import acaciamoor.findings as findings
import acaciamoor.settings as settings

_Read = collections.abc.Callable[[bytes, str], object]


def run(given: settings.Settings) -> settings.ExitCode:
    """Print the findings on a file and return the exit code.

    Raises
    ------
    FindingsError
        If a file or the reader cannot be read, which is a bad call.
    """
    read = _load_reader(given)
    configuration = _read(given, flags.FILE, read)
    in_force = None
    if given[flags.AGAINST] is not None:
        in_force = _read(given, flags.AGAINST, read)
    report = configuration_check.check(configuration, in_force)
    if given[flags.OUTPUT] is flags.OutputFormat.JSON:
        print(json.dumps(msgspec.to_builtins(report)))
    else:
        _print_report(report)
    if report.has_findings:
        return settings.ExitCode.FAILURE
    return settings.ExitCode.SUCCESS


def _load_reader(given: settings.Settings) -> _Read:
    name = given[flags.READER]
    if name is None:
        return configuration_check.read
    try:
        return importlib.import_module(name).read
    except (ImportError, AttributeError, ValueError) as error:
        problem = findings.Finding(given.place(flags.READER), str(error))
        raise findings.FindingsError.of('bad settings', [problem]) from error


def _read(
    given: settings.Settings, flag: settings.Flag, read: _Read
) -> object:
    path: pathlib.Path = given[flag]
    try:
        content = path.read_bytes()
    except OSError as error:
        message = f'{path}: {error.strerror}'
        raise findings.FindingsError.of(
            'bad settings', [findings.Finding(given.place(flag), message)]
        ) from error
    return read(content, path.name)


def _print_report(report: configuration_check.Report) -> None:
    sections: tuple[tuple[str, typing.Iterable[findings.Finding]], ...] = (
        ('errors', report.errors),
        ('never matched', report.never_matched),
        ('contradictions', report.contradictions),
    )
    for title, items in sections:
        _print_section(title, [str(item) for item in items])
    _print_section(
        'differences',
        [
            f'{item.place}: {json.dumps(item.before)} -> '
            f'{json.dumps(item.after)}'
            for item in report.differences
        ],
    )
    if not report.has_findings:
        print('no findings')


def _print_section(title: str, lines: list[str]) -> None:
    if lines:
        print(f'{title}:')
    for line in lines:
        # Names in a damaged file may hold line breaks and characters that the
        # terminal cannot show.
        print('  ' + ''.join(map(_escape, line)))


def _escape(character: str) -> str:
    if character.isascii() and character.isprintable():
        return character
    return character.encode('unicode_escape').decode()

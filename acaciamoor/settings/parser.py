"""Reads settings from the command line and the environment."""

import argparse
import collections.abc
import os
import sys
import typing

import msgspec

import acaciamoor
from acaciamoor import findings
from acaciamoor.settings import flags as declarations
from acaciamoor.settings import types
from acaciamoor.settings import values

_COMMAND = 'command'
Raw = str | bool | list[str]


class Command(msgspec.Struct, frozen=True):
    """A subcommand with its own flags."""

    name: str
    summary: str
    flags: tuple[declarations.Flag, ...] = ()


class _ArgumentParser(argparse.ArgumentParser):
    def error(self, message: str) -> typing.NoReturn:
        raise argparse.ArgumentError(None, message)


class SettingsParser:
    """Settings of a program: a flag beats its variable beats its default.

    Parameters
    ----------
    program : str
        Name of the program.
    summary : str
        Sentence for ``--help``.
    flags : iterable of Flag
        Settings that all commands share.
    commands : iterable of Command
        Subcommands; one of them must be given if there are any.
    epilog : str
        Text below the flags in ``--help``, for example the exit codes.

    Examples
    --------
    >>> limit = declarations.Flag('limit', types.integer(1), 5, 'Limit.')
    >>> parser = SettingsParser('demo', 'Shows settings.', [limit])
    >>> parser.parse([], {'ACACIAMOOR_LIMIT': '7'})[limit]
    7
    >>> parser.parse(['--limit', '8'], {'ACACIAMOOR_LIMIT': '7'})[limit]
    8
    """

    def __init__(
        self,
        program: str,
        summary: str,
        flags: collections.abc.Iterable[declarations.Flag] = (),
        commands: collections.abc.Iterable[Command] = (),
        epilog: str = '',
    ) -> None:
        self._flags = tuple(flags)
        self._commands_by_name = {item.name: item for item in commands}
        self._parser = _new_parser(program, summary, epilog)
        self._parser.add_argument(
            '--version',
            action='version',
            version=f'{program} {acaciamoor.__version__}',
        )
        _add_flags(self._parser, self._flags)
        if self._commands_by_name:
            self._add_commands()

    def parse(
        self,
        arguments: collections.abc.Sequence[str] | None = None,
        environment: collections.abc.Mapping[str, str] | None = None,
    ) -> values.Settings:
        """Return the settings from `arguments` and `environment`.

        Raises
        ------
        FindingsError
            With all problems and their places.
        """
        if arguments is None:
            arguments = sys.argv[1:]
        if environment is None:
            environment = os.environ
        problems: list[findings.Finding] = []
        given = self._parse_arguments(arguments, problems)
        command = given.get(_COMMAND)
        declared = self._flags
        if command:
            declared += self._commands_by_name[command].flags
        sources_by_flag = _sources(declared, given, environment)
        values_by_flag = {
            flag: _value(flag, sources_by_flag.get(flag), problems)
            for flag in declared
        }
        if problems:
            raise findings.FindingsError.of('bad settings', problems)
        places_by_flag = {
            flag: source.place for flag, source in sources_by_flag.items()
        }
        return values.Settings(values_by_flag, places_by_flag, command or '')

    def format_help(self) -> str:
        """Return the text of ``--help``."""
        return self._parser.format_help()

    def _add_commands(self) -> None:
        subparsers = self._parser.add_subparsers(
            dest=_COMMAND, metavar='COMMAND', required=True
        )
        for command in self._commands_by_name.values():
            subparser = subparsers.add_parser(
                command.name, help=command.summary, allow_abbrev=False
            )
            _add_flags(subparser, (*command.flags, *self._flags))

    def _parse_arguments(
        self,
        arguments: collections.abc.Sequence[str],
        problems: list[findings.Finding],
    ) -> dict[str, Raw]:
        try:
            namespace, unknown = self._parser.parse_known_args(arguments)
        except argparse.ArgumentError as error:
            place = error.argument_name or self._parser.prog
            problems.append(findings.Finding(place, error.message))
            return {}
        problems.extend(
            findings.Finding(argument, 'is not a known argument')
            for argument in unknown
        )
        return vars(namespace)


class _Source(msgspec.Struct, frozen=True):
    place: str
    raw: Raw


def _new_parser(
    program: str, summary: str, epilog: str
) -> argparse.ArgumentParser:
    return _ArgumentParser(
        prog=program,
        description=summary,
        epilog=epilog,
        allow_abbrev=False,
        exit_on_error=False,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )


def _destination(flag: declarations.Flag) -> str:
    return flag.name.replace('-', '_')


def _add_flags(
    parser: argparse.ArgumentParser,
    declared: collections.abc.Iterable[declarations.Flag],
) -> None:
    # Values stay text here, so that all problems are found and not only the
    # first. SUPPRESS lets a shared flag stand before or after the command.
    for flag in declared:
        options: dict[str, object] = {
            'default': argparse.SUPPRESS,
            'help': flag.help.replace('%', '%%'),
        }
        if flag.positional:
            options['nargs'] = None if flag.required else '?'
        else:
            options['dest'] = _destination(flag)
        if flag.parse is types.boolean:
            options['action'] = argparse.BooleanOptionalAction
        elif isinstance(flag.parse, types.Several):
            options['action'] = 'append'
        if options.get('action') is not argparse.BooleanOptionalAction:
            options['metavar'] = flag.name.rpartition('-')[2].upper()
        parser.add_argument(
            _destination(flag) if flag.positional else flag.option, **options
        )


def _sources(
    declared: collections.abc.Iterable[declarations.Flag],
    given: collections.abc.Mapping[str, Raw],
    environment: collections.abc.Mapping[str, str],
) -> dict[declarations.Flag, _Source]:
    sources_by_flag = {}
    for flag in declared:
        if _destination(flag) in given:
            sources_by_flag[flag] = _Source(
                flag.option, given[_destination(flag)]
            )
        elif not flag.positional and flag.variable in environment:
            sources_by_flag[flag] = _Source(
                flag.variable, environment[flag.variable]
            )
    return sources_by_flag


def _value(
    flag: declarations.Flag,
    source: _Source | None,
    problems: list[findings.Finding],
) -> object:
    if source is None:
        if flag.required:
            message = 'is required'
            if not flag.positional:
                message += f' (or the variable {flag.variable})'
            problems.append(findings.Finding(flag.option, message))
        return flag.default
    try:
        return _parsed(flag, source.raw)
    except ValueError as error:
        problems.append(findings.Finding(source.place, str(error)))
        return flag.default


def _parsed(flag: declarations.Flag, raw: Raw) -> object:
    if isinstance(raw, bool):
        return raw
    if isinstance(raw, list):
        return tuple(item for text in raw for item in flag.parse(text))
    return flag.parse(raw)

"""Parser of settings from the command line and the environment."""

import argparse
import collections.abc
import os
import sys
import typing

import msgspec

import acaciamoor
from acaciamoor import findings
from acaciamoor.settings import converters
from acaciamoor.settings import flags as declarations
from acaciamoor.settings import values

_COMMAND_DESTINATION = 'command'
RawValue = str | bool | list[str]


class Command(msgspec.Struct, frozen=True):
    """A subcommand and the flags that only it accepts."""

    name: str
    summary: str
    flags: tuple[declarations.Flag, ...] = ()


class _ArgumentParser(argparse.ArgumentParser):
    def error(self, message: str) -> typing.NoReturn:
        raise argparse.ArgumentError(None, message)


class SettingsParser:
    """Parses the settings of a program.

    A flag takes precedence over the environment variable, and the variable
    over the default.

    Parameters
    ----------
    program : str
        Name of the program.
    summary : str
        Description for ``--help``.
    flags : iterable of Flag
        Settings that all commands share.
    commands : iterable of Command
        Subcommands, one of which must be given. Empty if the program has no
        subcommands.
    epilog : str
        Text below the flags in ``--help``, for example the exit codes.

    Examples
    --------
    >>> limit = declarations.Flag('limit', converters.integer(1), 5, 'Limit.')
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
        """Parse the settings from `arguments` and `environment`.

        The defaults are the arguments and environment of the process.

        Raises
        ------
        FindingsError
            If settings are missing or invalid; lists every problem with its
            place.
        """
        if arguments is None:
            arguments = sys.argv[1:]
        if environment is None:
            environment = os.environ
        problems: list[findings.Finding] = []
        given = self._parse_arguments(arguments, problems)
        command = given.get(_COMMAND_DESTINATION)
        flags = self._flags
        if command:
            flags += self._commands_by_name[command].flags
        sources_by_flag = _find_sources(flags, given, environment)
        values_by_flag = {
            flag: _convert_or_report(flag, sources_by_flag.get(flag), problems)
            for flag in flags
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
            dest=_COMMAND_DESTINATION, metavar='COMMAND', required=True
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
    ) -> dict[str, RawValue]:
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
    raw: RawValue


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
    flags: collections.abc.Iterable[declarations.Flag],
) -> None:
    # argparse keeps the values as text, because it stops at the first
    # conversion error; all problems are collected later. With SUPPRESS, the
    # default of the subparser does not overwrite a shared flag that is given
    # before the command.
    for flag in flags:
        options: dict[str, object] = {
            'default': argparse.SUPPRESS,
            'help': flag.help.replace('%', '%%'),
        }
        if flag.positional:
            options['nargs'] = None if flag.required else '?'
        else:
            options['dest'] = _destination(flag)
        if flag.convert is converters.boolean:
            options['action'] = argparse.BooleanOptionalAction
        elif isinstance(flag.convert, converters.RepeatableConverter):
            options['action'] = 'append'
        if options.get('action') is not argparse.BooleanOptionalAction:
            options['metavar'] = flag.name.rpartition('-')[2].upper()
        parser.add_argument(
            _destination(flag) if flag.positional else flag.option, **options
        )


def _find_sources(
    flags: collections.abc.Iterable[declarations.Flag],
    given: collections.abc.Mapping[str, RawValue],
    environment: collections.abc.Mapping[str, str],
) -> dict[declarations.Flag, _Source]:
    sources_by_flag = {}
    for flag in flags:
        if _destination(flag) in given:
            sources_by_flag[flag] = _Source(
                flag.option, given[_destination(flag)]
            )
        elif not flag.positional and flag.variable in environment:
            sources_by_flag[flag] = _Source(
                flag.variable, environment[flag.variable]
            )
    return sources_by_flag


def _convert_or_report(
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
        return _convert(flag, source.raw)
    except ValueError as error:
        problems.append(findings.Finding(source.place, str(error)))
        return flag.default


def _convert(flag: declarations.Flag, raw: RawValue) -> object:
    if isinstance(raw, bool):
        return raw
    if isinstance(raw, list):
        return tuple(item for text in raw for item in flag.convert(text))
    return flag.convert(raw)

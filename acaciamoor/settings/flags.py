"""Declaration of settings."""

import dataclasses
import datetime
import enum
import functools
import typing

from acaciamoor.settings import converters

T = typing.TypeVar('T')
VARIABLE_PREFIX = 'ACACIAMOOR_'


@dataclasses.dataclass(frozen=True, eq=False)
class Flag(typing.Generic[T]):
    """A setting with a flag, an environment variable and a default.

    Parameters
    ----------
    name : str
        Name without the leading dashes, for example ``queue-limit``.
    convert : Callable
        Converts text to the value; raises ValueError for invalid text.
    default : object
        Value if neither the flag nor the environment variable is given.
    summary : str
        Description for ``--help``.
    unit : str
        Unit of the value; empty if it has none.
    positional : bool
        Whether the setting is a positional argument, which has neither a flag
        nor an environment variable.

    Examples
    --------
    >>> flag = Flag(
    ...     'queue-limit', converters.integer(1), 512, 'Queue.', 'requests'
    ... )
    >>> flag.option, flag.variable
    ('--queue-limit', 'ACACIAMOOR_QUEUE_LIMIT')
    """

    name: str
    convert: converters.Converter[T]
    default: T
    summary: str
    unit: str = ''
    positional: bool = False

    @property
    def required(self) -> bool:
        """Whether the setting has no default."""
        return False

    @property
    def option(self) -> str:
        """Flag on the command line, or the name of a positional argument."""
        return self.name if self.positional else f'--{self.name}'

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return VARIABLE_PREFIX + self.name.upper().replace('-', '_')

    @property
    def help(self) -> str:
        """Text for ``--help``, with unit, default and environment variable."""
        details = []
        if self.unit:
            details.append(f'unit: {self.unit}')
        if self.required:
            details.append('required')
        else:
            details.append(
                f'default: {_format_default(self.default) or "none"}'
            )
        if not self.positional:
            details.append(f'variable: {self.variable}')
        return f'{self.summary} ({"; ".join(details)})'


class RequiredFlag(Flag[T]):
    """A setting without a default."""

    def __init__(
        self,
        name: str,
        convert: converters.Converter[T],
        summary: str,
        unit: str = '',
        positional: bool = False,
    ) -> None:
        super().__init__(name, convert, None, summary, unit, positional)

    @property
    def required(self) -> bool:
        """Whether the setting has no default."""
        return True


@functools.singledispatch
def _format_default(value: object) -> str:
    return str(value)


@_format_default.register(type(None))
def _format_default_none(value: None) -> str:
    return ''


@_format_default.register(bool)
def _format_default_bool(value: bool) -> str:
    return str(value).lower()


@_format_default.register(datetime.timedelta)
def _format_default_timedelta(value: datetime.timedelta) -> str:
    return f'{value.total_seconds():g}'


@_format_default.register(enum.Enum)
def _format_default_enum(value: enum.Enum) -> str:
    return str(value.value)


@_format_default.register(tuple)
def _format_default_tuple(value: tuple) -> str:
    return ','.join(_format_default(item) for item in value)

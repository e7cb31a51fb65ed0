"""Declaration of one setting."""

import dataclasses
import datetime
import enum
import functools
import typing

from acaciamoor.settings import types

T = typing.TypeVar('T')
VARIABLE_PREFIX = 'ACACIAMOOR_'


@dataclasses.dataclass(frozen=True, eq=False)
class Flag(typing.Generic[T]):
    """A setting with its flag, environment variable and default.

    Parameters
    ----------
    name : str
        Name without the leading dashes, for example ``queue-limit``.
    parse : Callable
        Turns text into the value and raises ValueError for bad text.
    default : object
        Value if neither the flag nor the variable is given.
    summary : str
        Sentence for ``--help``.
    unit : str
        Unit of the value; empty if it has none.
    positional : bool
        Whether the value is given without its flag. Such a setting has no
        environment variable.

    Examples
    --------
    >>> flag = Flag('queue-limit', types.integer(1), 512, 'Queue.', 'requests')
    >>> flag.option, flag.variable
    ('--queue-limit', 'ACACIAMOOR_QUEUE_LIMIT')
    """

    name: str
    parse: types.Parse[T]
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
        """The flag as it is given on a command line."""
        return self.name if self.positional else f'--{self.name}'

    @property
    def variable(self) -> str:
        """The environment variable that gives the same setting."""
        return VARIABLE_PREFIX + self.name.upper().replace('-', '_')

    @property
    def help(self) -> str:
        """The text for ``--help`` with unit, default and variable."""
        details = []
        if self.unit:
            details.append(f'unit: {self.unit}')
        if self.required:
            details.append('required')
        else:
            details.append(f'default: {_shown(self.default) or "none"}')
        if not self.positional:
            details.append(f'variable: {self.variable}')
        return f'{self.summary} ({"; ".join(details)})'


class RequiredFlag(Flag[T]):
    """A setting without a default."""

    def __init__(
        self,
        name: str,
        parse: types.Parse[T],
        summary: str,
        unit: str = '',
        positional: bool = False,
    ) -> None:
        super().__init__(name, parse, None, summary, unit, positional)

    @property
    def required(self) -> bool:
        """Whether the setting has no default."""
        return True


@functools.singledispatch
def _shown(value: object) -> str:
    return str(value)


@_shown.register(type(None))
def _shown_none(value: None) -> str:
    return ''


@_shown.register(bool)
def _shown_bool(value: bool) -> str:
    return str(value).lower()


@_shown.register(datetime.timedelta)
def _shown_timedelta(value: datetime.timedelta) -> str:
    return f'{value.total_seconds():g}'


@_shown.register(enum.Enum)
def _shown_enum(value: enum.Enum) -> str:
    return str(value.value)


@_shown.register(tuple)
def _shown_tuple(value: tuple) -> str:
    return ','.join(_shown(item) for item in value)

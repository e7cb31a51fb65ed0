"""Converters from the text of a setting to its value.

Every converter raises ValueError for invalid text, with a message that states
the violated constraint.
"""

import collections.abc
import datetime
import enum
import pathlib
import typing

from acaciamoor import model

T = typing.TypeVar('T')
E = typing.TypeVar('E', bound=enum.Enum)
Converter = collections.abc.Callable[[str], T]

_BOOLEANS_BY_TEXT = {
    '0': False,
    '1': True,
    'false': False,
    'no': False,
    'true': True,
    'yes': True,
}


class RepeatableConverter(typing.Generic[T]):
    """Converter of a setting that may be repeated, or separated by commas."""

    def __init__(self, convert: Converter[T]) -> None:
        self.convert = convert

    def __call__(self, value: str) -> tuple[T, ...]:
        """Convert a list of values that are separated by commas."""
        return tuple(
            self.convert(part.strip()) for part in value.split(',') if part
        )


def repeatable(convert: Converter[T]) -> RepeatableConverter[T]:
    """Return a converter that applies `convert` to each of several values.

    Examples
    --------
    >>> repeatable(integer())('1,2')
    (1, 2)
    """
    return RepeatableConverter(convert)


def optional(convert: Converter[T]) -> Converter[T | None]:
    """Return a converter that converts empty text to None."""

    def convert_optional(value: str) -> T | None:
        return convert(value) if value else None

    return convert_optional


def text(value: str) -> str:
    """Return `value`, which must not be blank."""
    if not value.strip():
        raise ValueError('must not be empty')
    return value


def path(value: str) -> pathlib.Path:
    """Convert a path of the file system, which must not be blank."""
    return pathlib.Path(text(value))


def boolean(value: str) -> bool:
    """Convert true, yes, 1, false, no or 0, in any case."""
    if value.lower() not in _BOOLEANS_BY_TEXT:
        raise ValueError(f'{value!r} is neither true nor false')
    return _BOOLEANS_BY_TEXT[value.lower()]


def address(value: str) -> model.Address:
    """Convert an address of the form ``ip:port`` or ``[ipv6]:port``."""
    return model.Address.parse(value)


def integer(
    minimum: int | None = None, maximum: int | None = None
) -> Converter[int]:
    """Return a converter of integers within inclusive bounds.

    Examples
    --------
    >>> integer(minimum=1)('0')
    Traceback (most recent call last):
    ValueError: 0 is less than 1
    """

    def convert(value: str) -> int:
        try:
            result = int(value)
        except ValueError:
            raise ValueError(f'{value!r} is not an integer') from None
        return _check_bounds(result, minimum, maximum)

    return convert


def number(
    minimum: float | None = None, maximum: float | None = None
) -> Converter[float]:
    """Return a converter of numbers within inclusive bounds."""

    def convert(value: str) -> float:
        try:
            result = float(value)
        except ValueError:
            raise ValueError(f'{value!r} is not a number') from None
        if result != result:
            raise ValueError(f'{value!r} is not a number')
        return _check_bounds(result, minimum, maximum)

    return convert


def duration(
    minimum: datetime.timedelta = datetime.timedelta(0),
) -> Converter[datetime.timedelta]:
    """Return a converter of durations, which are given in seconds.

    Examples
    --------
    >>> duration()('2.5')
    datetime.timedelta(seconds=2, microseconds=500000)
    """
    convert_seconds = number(
        minimum.total_seconds(), datetime.timedelta.max.days
    )

    def convert(value: str) -> datetime.timedelta:
        return datetime.timedelta(seconds=convert_seconds(value))

    return convert


def choice(members: type[E]) -> Converter[E]:
    """Return a converter of the values of an enumeration to its members."""

    def convert(value: str) -> E:
        try:
            return members(value)
        except ValueError:
            accepted = ', '.join(str(member.value) for member in members)
            raise ValueError(f'{value!r} is not one of {accepted}') from None

    return convert


def _check_bounds(value: T, minimum: T | None, maximum: T | None) -> T:
    if minimum is not None and value < minimum:
        raise ValueError(f'{value} is less than {minimum}')
    if maximum is not None and value > maximum:
        raise ValueError(f'{value} is greater than {maximum}')
    return value

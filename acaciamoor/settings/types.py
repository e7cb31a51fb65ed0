"""Functions that turn the text of a setting into a value.

Every function raises ValueError with a message that says what is accepted.
"""

import collections.abc
import datetime
import enum
import pathlib
import typing

from acaciamoor import model

T = typing.TypeVar('T')
E = typing.TypeVar('E', bound=enum.Enum)
Parse = collections.abc.Callable[[str], T]

_BOOLEANS_BY_TEXT = {
    '0': False,
    '1': True,
    'false': False,
    'no': False,
    'true': True,
    'yes': True,
}


class Several(typing.Generic[T]):
    """A setting that may be given several times, or separated by commas."""

    def __init__(self, parse: Parse[T]) -> None:
        self.parse = parse

    def __call__(self, value: str) -> tuple[T, ...]:
        """Return the values of a list that is separated by commas."""
        return tuple(
            self.parse(part.strip()) for part in value.split(',') if part
        )


def several(parse: Parse[T]) -> Several[T]:
    """Return the type of a setting that holds several values of `parse`.

    Examples
    --------
    >>> several(integer())('1,2')
    (1, 2)
    """
    return Several(parse)


def optional(parse: Parse[T]) -> Parse[T | None]:
    """Return a type for which the empty text means that nothing is set."""

    def parse_optional(value: str) -> T | None:
        return parse(value) if value else None

    return parse_optional


def text(value: str) -> str:
    """Return `value`, which must not be empty."""
    if not value.strip():
        raise ValueError('must not be empty')
    return value


def path(value: str) -> pathlib.Path:
    """Return a path of the file system."""
    return pathlib.Path(text(value))


def boolean(value: str) -> bool:
    """Return whether `value` is true, yes or 1."""
    if value.lower() not in _BOOLEANS_BY_TEXT:
        raise ValueError(f'{value!r} is neither true nor false')
    return _BOOLEANS_BY_TEXT[value.lower()]


def address(value: str) -> model.Address:
    """Return the address ``ip:port`` or ``[ipv6]:port``."""
    return model.Address.parse(value)


def integer(
    minimum: int | None = None, maximum: int | None = None
) -> Parse[int]:
    """Return the type of a whole number within bounds.

    Examples
    --------
    >>> integer(minimum=1)('0')
    Traceback (most recent call last):
    ValueError: 0 is less than 1
    """

    def parse(value: str) -> int:
        try:
            result = int(value)
        except ValueError:
            raise ValueError(f'{value!r} is not a whole number') from None
        return _bounded(result, minimum, maximum)

    return parse


def number(
    minimum: float | None = None, maximum: float | None = None
) -> Parse[float]:
    """Return the type of a number within bounds."""

    def parse(value: str) -> float:
        try:
            result = float(value)
        except ValueError:
            raise ValueError(f'{value!r} is not a number') from None
        if result != result:
            raise ValueError(f'{value!r} is not a number')
        return _bounded(result, minimum, maximum)

    return parse


def duration(
    minimum: datetime.timedelta = datetime.timedelta(0),
) -> Parse[datetime.timedelta]:
    """Return the type of a duration that is given in seconds.

    Examples
    --------
    >>> duration()('2.5')
    datetime.timedelta(seconds=2, microseconds=500000)
    """
    parse_seconds = number(
        minimum.total_seconds(), datetime.timedelta.max.days
    )

    def parse(value: str) -> datetime.timedelta:
        return datetime.timedelta(seconds=parse_seconds(value))

    return parse


def choice(members: type[E]) -> Parse[E]:
    """Return the type of a setting that names a member of an enumeration."""

    def parse(value: str) -> E:
        try:
            return members(value)
        except ValueError:
            accepted = ', '.join(str(member.value) for member in members)
            raise ValueError(f'{value!r} is not one of {accepted}') from None

    return parse


def _bounded(value: T, minimum: T | None, maximum: T | None) -> T:
    if minimum is not None and value < minimum:
        raise ValueError(f'{value} is less than {minimum}')
    if maximum is not None and value > maximum:
        raise ValueError(f'{value} is more than {maximum}')
    return value

"""Values of the settings of a program."""

import collections.abc
import typing

from acaciamoor.settings import flags

T = typing.TypeVar('T')


class Settings:
    """Validated settings, looked up by the flag that declares them.

    Parameters
    ----------
    values_by_flag : Mapping
        Value of every declared flag.
    places_by_flag : Mapping
        Flag or environment variable that gave each value; values that come
        from a default have none.
    command : str
        Name of the selected command; empty if the program has no commands.
    """

    def __init__(
        self,
        values_by_flag: collections.abc.Mapping[flags.Flag, object],
        places_by_flag: collections.abc.Mapping[flags.Flag, str],
        command: str = '',
    ) -> None:
        self._values_by_flag = dict(values_by_flag)
        self._places_by_flag = dict(places_by_flag)
        self.command = command

    def __getitem__(self, flag: flags.Flag[T]) -> T:
        """Return the value of `flag`."""
        return typing.cast(T, self._values_by_flag[flag])

    def is_given(self, flag: flags.Flag) -> bool:
        """Return whether the value comes from a flag or variable."""
        return flag in self._places_by_flag

    def place(self, flag: flags.Flag) -> str:
        """Return the place of findings about `flag`.

        This is the flag or environment variable that gave the value; the flag
        if the value is the default.
        """
        return self._places_by_flag.get(flag, flag.option)

"""Settings of one run of a program."""

import collections.abc
import typing

from acaciamoor.settings import flags

T = typing.TypeVar('T')


class Settings:
    """Checked values by the flag that declares them.

    Parameters
    ----------
    values_by_flag : Mapping
        Value of every declared flag.
    places_by_flag : Mapping
        Where each given value came from: its flag or its variable.
    command : str
        Name of the command that was given; empty without commands.
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
        """Return whether the value does not come from the default."""
        return flag in self._places_by_flag

    def place(self, flag: flags.Flag) -> str:
        """Return the place to name in a finding about `flag`."""
        return self._places_by_flag.get(flag, flag.option)

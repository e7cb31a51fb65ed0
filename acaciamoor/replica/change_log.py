"""Log of which objects of a collection changed lately."""

import collections
import collections.abc
import sys

import msgspec

# Changes that take more memory are forgotten, the oldest ones first. A host
# that lacks these gets a snapshot.
MAX_LOG_BYTES = 1 << 20
# Memory of an entry without the name: the entry, its versions, and its share
# of the dictionary.
_ENTRY_BYTES = 400


class Change(msgspec.Struct, frozen=True):
    """Latest change of an object.

    Parameters
    ----------
    version : int
        Version of the collection after the batch with the change.
    event_version : int
        Version of the change itself.
    """

    version: int
    event_version: int


class ChangeLog:
    """Latest change of each object that changed, in the order of changes.

    The log holds names instead of values: a host that has fallen behind needs
    only the present value of an object, which the replica holds. Neither the
    number of changes to an object nor the size of its values matters.

    Parameters
    ----------
    max_bytes : int
        Memory above which the oldest changes are forgotten. Those of the
        latest batch are always kept.

    Examples
    --------
    >>> log = ChangeLog()
    >>> log.reset(5)
    >>> for version in (6, 7):
    ...     log.record('main', version, version)
    >>> [(name, change.version) for name, change in log.since(5)]
    [('main', 7)]
    >>> log.reaches_back_to(4)
    False
    """

    def __init__(self, max_bytes: int = MAX_LOG_BYTES) -> None:
        self._max_bytes = max_bytes
        self._changes_by_name: collections.OrderedDict[str, Change] = (
            collections.OrderedDict()
        )
        self._bytes = 0
        self._start: int | None = None

    def __len__(self) -> int:
        return len(self._changes_by_name)

    def reset(self, version: int) -> None:
        """Forget all changes; the log starts after `version`."""
        self._changes_by_name.clear()
        self._bytes = 0
        self._start = version

    def record(self, name: str, version: int, event_version: int) -> None:
        """Record a change in the batch that leads to `version`."""
        if self._changes_by_name.pop(name, None) is None:
            self._bytes += _estimate_bytes(name)
        self._changes_by_name[name] = Change(version, event_version)
        self._forget_oldest(version)

    def reaches_back_to(self, version: int) -> bool:
        """Return whether the log has all changes after `version`."""
        return self._start is not None and self._start <= version

    def since(self, version: int) -> list[tuple[str, Change]]:
        """Return the changes after `version`, in their order."""
        found = []
        for name, change in reversed(self._changes_by_name.items()):
            if change.version <= version:
                break
            found.append((name, change))
        found.reverse()
        return found

    def _forget_oldest(self, latest_version: int) -> None:
        while self._bytes > self._max_bytes:
            name, change = next(iter(self._changes_by_name.items()))
            if change.version == latest_version:
                return
            del self._changes_by_name[name]
            self._bytes -= _estimate_bytes(name)
            self._start = change.version


def _estimate_bytes(name: str) -> int:
    return _ENTRY_BYTES + sys.getsizeof(name)

"""Bounded cache of answers."""

import collections

from acaciamoor.requests import work as works


class AnswerCache:
    """Keeps the newest answers, up to a number of parts.

    Parameters
    ----------
    limit : int
        Parts of answers that are kept in total.

    Examples
    --------
    >>> cache = AnswerCache(limit=2)
    >>> cache.put(works.RequestKey(1, 1), ('a', 'b'))
    >>> cache.put(works.RequestKey(1, 2), ('c',))
    >>> cache.get(works.RequestKey(1, 1)) is None
    True
    >>> cache.get(works.RequestKey(1, 2))
    ('c',)
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._parts = 0
        self._answers_by_key: collections.OrderedDict[
            works.RequestKey, tuple[object, ...]
        ] = collections.OrderedDict()

    def put(self, key: works.RequestKey, answer: tuple[object, ...]) -> None:
        """Keep `answer` and drop the oldest ones beyond the limit."""
        self.discard(key)
        self._answers_by_key[key] = answer
        self._parts += len(answer)
        while self._parts > self._limit:
            _, dropped = self._answers_by_key.popitem(last=False)
            self._parts -= len(dropped)

    def get(self, key: works.RequestKey) -> tuple[object, ...] | None:
        """Return the answer, or None if it is not kept."""
        return self._answers_by_key.get(key)

    def discard(self, key: works.RequestKey) -> None:
        """Drop the answer of `key`, if there is one."""
        self._parts -= len(self._answers_by_key.pop(key, ()))

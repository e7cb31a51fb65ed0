"""Bounded cache of the answers to completed requests."""

import collections

from acaciamoor.requests import request_part as request_parts


class AnswerCache:
    """Keeps the newest answers, up to a total number of parts.

    Parameters
    ----------
    limit : int
        Maximum number of parts of all cached answers together.

    Examples
    --------
    >>> cache = AnswerCache(limit=2)
    >>> cache.put(request_parts.RequestKey(1, 1), ('a', 'b'))
    >>> cache.put(request_parts.RequestKey(1, 2), ('c',))
    >>> cache.get(request_parts.RequestKey(1, 1)) is None
    True
    >>> cache.get(request_parts.RequestKey(1, 2))
    ('c',)
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._parts = 0
        self._answers_by_key: collections.OrderedDict[
            request_parts.RequestKey, tuple[object, ...]
        ] = collections.OrderedDict()

    def put(
        self, key: request_parts.RequestKey, answer: tuple[object, ...]
    ) -> None:
        """Add `answer` and evict the oldest answers beyond the limit."""
        self.discard(key)
        self._answers_by_key[key] = answer
        self._parts += len(answer)
        while self._parts > self._limit:
            _, evicted = self._answers_by_key.popitem(last=False)
            self._parts -= len(evicted)

    def get(self, key: request_parts.RequestKey) -> tuple[object, ...] | None:
        """Return the answer of `key`, or None if it is not cached."""
        return self._answers_by_key.get(key)

    def discard(self, key: request_parts.RequestKey) -> None:
        """Remove the answer of `key`, if it is cached."""
        self._parts -= len(self._answers_by_key.pop(key, ()))

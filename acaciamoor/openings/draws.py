"""Random draws in proportion to weights."""

import bisect
import itertools
import random


class WeightedPool:
    """Upstreams to draw from, in proportion to their weights."""

    __slots__ = ('_cumulative', '_numbers')

    def __init__(self, weights_by_number: dict[int, float]) -> None:
        self._numbers = list(weights_by_number)
        self._cumulative = list(
            itertools.accumulate(weights_by_number.values())
        )

    def __bool__(self) -> bool:
        return bool(self._cumulative) and self._cumulative[-1] > 0.0

    def draw(self, random_source: random.Random) -> int:
        """Return a number; the pool must have weight."""
        point = random_source.random() * self._cumulative[-1]
        number = bisect.bisect_right(self._cumulative, point)
        return self._numbers[min(number, len(self._numbers) - 1)]

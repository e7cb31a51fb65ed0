"""Fits of measured figures against size, and figures worked out from them."""

import collections.abc
import dataclasses
import math

import numpy as np

_MIN_SIZES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """A figure measured at one size."""

    size: float
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A straight line and a power law fitted to the same samples.

    Parameters
    ----------
    name : str
        What was measured.
    unit : str
        Unit of the figure.
    size_name : str
        What the size counts, for example ``hosts``.
    samples : tuple of Sample
        The measured figures.
    intercept, gradient : float
        Least-squares line ``intercept + gradient * size``.
    exponent : float
        Least-squares exponent of ``value ~ size ** exponent``; 0 means that
        the figure does not depend on the size, 1 that it is linear.
    """

    name: str
    unit: str
    size_name: str
    samples: tuple[Sample, ...]
    intercept: float
    gradient: float
    exponent: float

    def at(self, size: float) -> float:
        """Return the figure that the line gives at `size`."""
        return self.intercept + self.gradient * size


def fit(
    name: str,
    unit: str,
    size_name: str,
    samples: collections.abc.Iterable[Sample],
) -> Slope:
    """Return the fits for `samples`.

    Raises
    ------
    ValueError
        If there are fewer than three different sizes.

    Examples
    --------
    >>> slope = fit('memory', 'B', 'flows', [
    ...     Sample(10, 20), Sample(20, 40), Sample(40, 80)
    ... ])
    >>> round(slope.at(100), 6), round(slope.exponent, 6)
    (200.0, 1.0)
    """
    points = tuple(samples)
    if len({point.size for point in points}) < _MIN_SIZES:
        raise ValueError(f'{name}: at least {_MIN_SIZES} sizes are needed')
    sizes = np.array([point.size for point in points])
    values = np.array([point.value for point in points])
    gradient, intercept = np.polyfit(sizes, values, 1)
    return Slope(
        name=name,
        unit=unit,
        size_name=size_name,
        samples=points,
        intercept=float(intercept),
        gradient=float(gradient),
        exponent=_exponent(sizes, values),
    )


def _exponent(sizes: np.ndarray, values: np.ndarray) -> float:
    if np.any(values <= 0.0):
        return math.nan
    return float(np.polyfit(np.log(sizes), np.log(values), 1)[0])

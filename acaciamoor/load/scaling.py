"""Fits of measured values against size, for extrapolation to other sizes."""

import collections.abc
import dataclasses
import math

import numpy as np

_MIN_DISTINCT_SIZES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Value that was measured at one size."""

    size: float
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class ScalingFit:
    """Straight line and power law, fitted to the same samples.

    Parameters
    ----------
    name : str
        Quantity that was measured.
    unit : str
        Unit of the values.
    size_name : str
        Quantity that the size counts, for example ``hosts``.
    samples : tuple of Sample
        Measured values.
    intercept, gradient : float
        Least-squares line ``intercept + gradient * size``.
    exponent : float
        Least-squares exponent of ``value ~ size ** exponent``; 0 means that
        the value does not depend on the size, 1 that it grows linearly. NaN if
        a value is not positive.
    """

    name: str
    unit: str
    size_name: str
    samples: tuple[Sample, ...]
    intercept: float
    gradient: float
    exponent: float

    def predict(self, size: float) -> float:
        """Return the value of the fitted line at `size`."""
        return self.intercept + self.gradient * size


def fit_samples(
    name: str,
    unit: str,
    size_name: str,
    samples: collections.abc.Iterable[Sample],
) -> ScalingFit:
    """Fit a line and a power law to `samples`.

    Raises
    ------
    ValueError
        If there are fewer than three distinct sizes.

    Examples
    --------
    >>> fit = fit_samples('memory', 'B', 'flows', [
    ...     Sample(10, 20), Sample(20, 40), Sample(40, 80)
    ... ])
    >>> round(fit.predict(100), 6), round(fit.exponent, 6)
    (200.0, 1.0)
    """
    points = tuple(samples)
    if len({point.size for point in points}) < _MIN_DISTINCT_SIZES:
        raise ValueError(
            f'{name}: at least {_MIN_DISTINCT_SIZES} distinct sizes are needed'
        )
    sizes = np.array([point.size for point in points])
    values = np.array([point.value for point in points])
    gradient, intercept = np.polyfit(sizes, values, 1)
    return ScalingFit(
        name=name,
        unit=unit,
        size_name=size_name,
        samples=points,
        intercept=float(intercept),
        gradient=float(gradient),
        exponent=_fit_exponent(sizes, values),
    )


def _fit_exponent(sizes: np.ndarray, values: np.ndarray) -> float:
    if np.any(values <= 0.0):
        return math.nan
    return float(np.polyfit(np.log(sizes), np.log(values), 1)[0])

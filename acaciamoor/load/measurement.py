"""Figures that experiments report, and the targets they are held to."""

import dataclasses
import enum
import operator


class Variant(enum.Enum):
    """Which implementation was measured."""

    ACACIAMOOR = 'acaciamoor'
    NAIVE = 'naive'


class TargetOperator(enum.Enum):
    """How a figure compares with its target."""

    EQUAL = '=='
    LESS = '<'
    AT_LEAST = '>='


_COMPARE_BY_OPERATOR = {
    TargetOperator.EQUAL: operator.eq,
    TargetOperator.LESS: operator.lt,
    TargetOperator.AT_LEAST: operator.ge,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A stated bound, never derived from a measured figure."""

    op: TargetOperator
    value: float

    def is_met_by(self, value: float) -> bool:
        """Return whether `value` is within the bound."""
        return _COMPARE_BY_OPERATOR[self.op](value, self.value)


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """One figure of one scenario.

    Parameters
    ----------
    scenario : str
        Name of the scenario.
    variant : Variant
        Implementation that was measured.
    measure : str
        What was measured, for example ``broken flows``.
    value : float
        The figure.
    unit : str
        Unit of `value`, for example ``flows`` or ``ms``.
    target : Target or None
        Bound for the figure, if one is stated.
    seed : int
        Seed of the run.
    """

    scenario: str
    variant: Variant
    measure: str
    value: float
    unit: str
    target: Target | None
    seed: int

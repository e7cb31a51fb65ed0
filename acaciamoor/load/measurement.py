"""Measurements that scenarios report, and their targets."""

import dataclasses
import enum
import operator


class Variant(enum.Enum):
    """Implementation that was measured."""

    ACACIAMOOR = 'acaciamoor'
    NAIVE = 'naive'


class TargetOperator(enum.Enum):
    """Comparison of a measured value with its target."""

    EQUAL = '=='
    LESS = '<'
    AT_LEAST = '>='


_COMPARISONS_BY_OPERATOR = {
    TargetOperator.EQUAL: operator.eq,
    TargetOperator.LESS: operator.lt,
    TargetOperator.AT_LEAST: operator.ge,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Bound that is set in advance, never derived from a measured value."""

    op: TargetOperator
    value: float

    def is_met_by(self, value: float) -> bool:
        """Return whether `value` meets the target."""
        return _COMPARISONS_BY_OPERATOR[self.op](value, self.value)


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """One measured value of a scenario.

    Parameters
    ----------
    scenario : str
        Name of the scenario.
    variant : Variant
        Implementation that was measured.
    measure : str
        Quantity that was measured, for example ``broken flows``.
    value : float
        Measured value.
    unit : str
        Unit of `value`, for example ``flows`` or ``ms``.
    target : Target or None
        Target for `value`; None if there is none.
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

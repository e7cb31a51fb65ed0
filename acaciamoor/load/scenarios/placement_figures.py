"""Shorthand for measurements of the placement experiments."""

import dataclasses

from acaciamoor.load import measurement
from acaciamoor.load.scenarios import placement_naive as naive_hosts

EQUAL = measurement.TargetOperator.EQUAL
LESS = measurement.TargetOperator.LESS
AT_LEAST = measurement.TargetOperator.AT_LEAST


def target(
    operator: measurement.TargetOperator, value: float
) -> measurement.Target:
    """Return a target of section 1.5 of the design."""
    return measurement.Target(operator, value)


@dataclasses.dataclass(slots=True)
class Figures:
    """Collects the measurements of one scenario.

    Parameters
    ----------
    scenario : str
        Name of the scenario.
    seed : int
        Seed of the run.
    """

    scenario: str
    seed: int
    measurements: list[measurement.Measurement] = dataclasses.field(
        default_factory=list
    )

    def add(
        self,
        kind: naive_hosts.NaiveKind | None,
        measure: str,
        value: float,
        unit: str,
        bound: measurement.Target | None = None,
    ) -> None:
        """Add a figure; the bound applies to acaciamoor only."""
        variant = measurement.Variant.ACACIAMOOR
        if kind is not None:
            variant = measurement.Variant.NAIVE
            measure, bound = f'{measure} ({kind.value})', None
        self.measurements.append(
            measurement.Measurement(
                self.scenario,
                variant,
                measure,
                round(value, 4),
                unit,
                bound,
                self.seed,
            )
        )

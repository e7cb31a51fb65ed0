"""Collection of the measurements of the placement scenarios."""

import dataclasses

from acaciamoor.load import measurement
from acaciamoor.load.scenarios import placement_naive as naive_hosts

EQUAL = measurement.TargetOperator.EQUAL
LESS = measurement.TargetOperator.LESS
AT_LEAST = measurement.TargetOperator.AT_LEAST


def make_target(
    operator: measurement.TargetOperator, value: float
) -> measurement.Target:
    """Return a target, as stated in section 1.5 of the design."""
    return measurement.Target(operator, value)


@dataclasses.dataclass(slots=True)
class MeasurementCollector:
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
        baseline: naive_hosts.Baseline | None,
        measure: str,
        value: float,
        unit: str,
        target: measurement.Target | None = None,
    ) -> None:
        """Add a measurement.

        Parameters
        ----------
        baseline : Baseline or None
            Baseline that was measured; None for Acaciamoor. The name of a
            baseline is appended to the measure.
        measure : str
            What was measured.
        value : float
            Measured value.
        unit : str
            Unit of `value`.
        target : Target or None
            Target of Acaciamoor; ignored for a baseline.
        """
        variant = measurement.Variant.ACACIAMOOR
        if baseline is not None:
            variant = measurement.Variant.NAIVE
            measure, target = f'{measure} ({baseline.value})', None
        self.measurements.append(
            measurement.Measurement(
                self.scenario,
                variant,
                measure,
                round(value, 4),
                unit,
                target,
                self.seed,
            )
        )

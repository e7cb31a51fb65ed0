"""Builders of test data."""

from acaciamoor import load


def build_measurement(
    value: float = 1.0, variant: load.Variant = load.Variant.ACACIAMOOR
) -> load.Measurement:
    """Return a measurement with the target 0."""
    return load.Measurement(
        scenario='drain',
        variant=variant,
        measure='broken flows',
        value=value,
        unit='flows',
        target=load.Target(load.TargetOperator.EQUAL, 0.0),
        seed=7,
    )

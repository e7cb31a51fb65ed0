"""Test data for figures."""

from acaciamoor import load


def figure(
    value: float = 1.0, variant: load.Variant = load.Variant.ACACIAMOOR
) -> load.Measurement:
    """Return a figure that must be zero."""
    return load.Measurement(
        scenario='drain',
        variant=variant,
        measure='broken flows',
        value=value,
        unit='flows',
        target=load.Target(load.TargetOperator.EQUAL, 0.0),
        seed=7,
    )

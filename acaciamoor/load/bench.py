"""Runs scenarios and reports their measurements with the targets."""

import collections.abc
import dataclasses
import json
import logging
import pathlib
import typing

from acaciamoor.load import measurement
from acaciamoor.load import scenarios

LOG = logging.getLogger(__name__)

_COLUMNS = ('scenario', 'variant', 'measure', 'value', 'target', 'met')


class BenchError(ExceptionGroup):
    """Errors of the scenarios that raised an exception."""


@dataclasses.dataclass(frozen=True, slots=True)
class BenchResult:
    """Measurements of a run, and errors of the scenarios that failed."""

    measurements: tuple[measurement.Measurement, ...]
    errors: tuple[Exception, ...] = ()

    def error_group(self) -> BenchError:
        """Return all errors as one exception group."""
        return BenchError('scenarios failed', self.errors)


def run_scenarios(
    selected: collections.abc.Iterable[scenarios.Scenario],
    options: scenarios.Options,
) -> BenchResult:
    """Run the selected scenarios; continue after one that fails."""
    measurements: list[measurement.Measurement] = []
    errors: list[Exception] = []
    for scenario in selected:
        LOG.info('running scenario %s', scenario.name)
        try:
            measurements.extend(scenario.run(options))
        except Exception as error:
            error.add_note(f'scenario {scenario.name}')
            errors.append(error)
    return BenchResult(tuple(measurements), tuple(errors))


def to_document(item: measurement.Measurement) -> dict[str, typing.Any]:
    """Return a measurement as an entry of the JSON file."""
    target = item.target
    return {
        'scenario': item.scenario,
        'variant': item.variant.value,
        'measure': item.measure,
        'value': item.value,
        'unit': item.unit,
        'target': (
            None
            if target is None
            else {'op': target.op.value, 'value': target.value}
        ),
        'seed': item.seed,
    }


def write_json(
    measurements: collections.abc.Iterable[measurement.Measurement],
    path: pathlib.Path,
) -> None:
    """Write measurements to `path`, as a JSON list."""
    path.parent.mkdir(parents=True, exist_ok=True)
    documents = [to_document(item) for item in measurements]
    path.write_text(json.dumps(documents, indent=1) + '\n', encoding='utf-8')


def format_table(
    measurements: collections.abc.Iterable[measurement.Measurement],
) -> str:
    """Return measurements as an aligned text table."""
    rows = [_COLUMNS, *(_format_row(item) for item in measurements)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )


def find_missed_targets(
    measurements: collections.abc.Iterable[measurement.Measurement],
) -> list[measurement.Measurement]:
    """Return the measurements that miss their target.

    Those of the naive baselines never count as missed.
    """
    return [
        item
        for item in measurements
        if item.variant is measurement.Variant.ACACIAMOOR
        and item.target is not None
        and not item.target.is_met_by(item.value)
    ]


def _format_row(item: measurement.Measurement) -> tuple[str, ...]:
    target = item.target
    target_text = (
        '' if target is None else f'{target.op.value} {target.value:g}'
    )
    met_text = ''
    if target is not None:
        met_text = 'yes' if target.is_met_by(item.value) else 'NO'
    return (
        item.scenario,
        item.variant.value,
        item.measure,
        f'{item.value:,.4g} {item.unit}',
        target_text,
        met_text,
    )

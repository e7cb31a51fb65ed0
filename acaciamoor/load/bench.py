"""Runs scenarios and reports their figures beside their targets."""

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
    """Scenarios that raised instead of returning figures."""


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Figures of a run, and the errors of scenarios that gave none."""

    figures: tuple[measurement.Measurement, ...]
    errors: tuple[Exception, ...] = ()

    def error_group(self) -> BenchError:
        """Return the errors as one exception group."""
        return BenchError('scenarios failed', self.errors)


def run(
    selected: collections.abc.Iterable[scenarios.Scenario],
    options: scenarios.Options,
) -> Outcome:
    """Run `selected`; one that fails does not stop the others."""
    figures: list[measurement.Measurement] = []
    errors: list[Exception] = []
    for scenario in selected:
        LOG.info('running scenario %s', scenario.name)
        try:
            figures.extend(scenario.run(options))
        except Exception as error:
            error.add_note(f'scenario {scenario.name}')
            errors.append(error)
    return Outcome(tuple(figures), tuple(errors))


def as_document(figure: measurement.Measurement) -> dict[str, typing.Any]:
    """Return `figure` in the form of the bench file."""
    target = figure.target
    return {
        'scenario': figure.scenario,
        'variant': figure.variant.value,
        'measure': figure.measure,
        'value': figure.value,
        'unit': figure.unit,
        'target': (
            None
            if target is None
            else {'op': target.op.value, 'value': target.value}
        ),
        'seed': figure.seed,
    }


def write(
    figures: collections.abc.Iterable[measurement.Measurement],
    path: pathlib.Path,
) -> None:
    """Write `figures` as a JSON list to `path`."""
    path.parent.mkdir(parents=True, exist_ok=True)
    documents = [as_document(figure) for figure in figures]
    path.write_text(json.dumps(documents, indent=1) + '\n', encoding='utf-8')


def table(figures: collections.abc.Iterable[measurement.Measurement]) -> str:
    """Return `figures` as an aligned text table."""
    rows = [_COLUMNS, *(_row(figure) for figure in figures)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )


def missed(
    figures: collections.abc.Iterable[measurement.Measurement],
) -> list[measurement.Measurement]:
    """Return the figures of the system that miss their target."""
    return [
        figure
        for figure in figures
        if figure.variant is measurement.Variant.ACACIAMOOR
        and figure.target is not None
        and not figure.target.is_met_by(figure.value)
    ]


def _row(figure: measurement.Measurement) -> tuple[str, ...]:
    target = figure.target
    bound = '' if target is None else f'{target.op.value} {target.value:g}'
    met = ''
    if target is not None:
        met = 'yes' if target.is_met_by(figure.value) else 'NO'
    return (
        figure.scenario,
        figure.variant.value,
        figure.measure,
        f'{figure.value:,.4g} {figure.unit}',
        bound,
        met,
    )

"""Command line of the capacity program."""

import json
import pathlib
import resource

from acaciamoor import settings
from acaciamoor import telemetry

# Loaded before anything is measured, so that the memory of a process without
# state is that of a balancer.
import acaciamoor.balancer.main as balancer_main
from acaciamoor.load import scaling
from acaciamoor.load.capacity import control
from acaciamoor.load.capacity import forwarders
from acaciamoor.load.capacity import roles
from acaciamoor.load.capacity import streams
from acaciamoor.load.capacity import work

PROBES = (
    control.membership_slopes,
    control.change_slopes,
    control.store_slopes,
    control.host_list_slopes,
    streams.record_slopes,
    streams.view_slopes,
    streams.owner_slopes,
    streams.lookup_slopes,
    work.placer_slopes,
    work.ledger_slopes,
    forwarders.packet_slopes,
    forwarders.opening_slopes,
    forwarders.knowledge_slopes,
    forwarders.relay_slopes,
)
SEED = settings.Flag('seed', settings.integer(0), 7, 'Seed of all choices.')
OUTPUT = settings.Flag(
    'output',
    settings.path,
    pathlib.Path('build/capacity.json'),
    'File for slopes and figures, as JSON.',
)
_BYTES_PER_KIB = 1024
_PROGRAM = balancer_main.__name__


def main() -> int:
    """Run the program and return its exit code."""
    return settings.run_program(_main)


def _main() -> settings.ExitCode:
    given = settings.SettingsParser(
        'capacity',
        'Measures slopes and works out the cost of each role.',
        (SEED, OUTPUT, *telemetry.LOG_FLAGS),
        epilog='Exit codes: 0 done (missed limits are marked), '
        '1 a probe failed, 2 bad settings.',
    ).parse()
    base_memory = _resident_bytes()
    measured = [slope for probe in PROBES for slope in probe(given[SEED])]
    figures = roles.Projection(measured, base_memory).figures()
    print(_slope_table(measured))
    print()
    print(_role_table(figures))
    _write(measured, figures, given)
    return settings.ExitCode.SUCCESS


def _resident_bytes() -> int:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_maxrss * _BYTES_PER_KIB


def _slope_table(measured: list[scaling.ScalingFit]) -> str:
    lines = ['| figure | size | measured | exponent |', '|---|---|---|---|']
    for slope in measured:
        points = ', '.join(
            f'{point.value:.4g} at {point.size:,.0f}'
            for point in slope.samples
        )
        lines.append(
            f'| {slope.name}, {slope.unit} | {slope.size_name} | {points} | '
            f'{slope.exponent:.2f} |'
        )
    return '\n'.join(lines)


def _role_table(figures: list[roles.RoleFigure]) -> str:
    lines = [
        '| role | cost | at the planned size | limit | met |',
        '|---|---|---|---|---|',
    ]
    for figure in figures:
        limit, met = '', ''
        if figure.limit is not None:
            limit = f'{figure.limit:,.4g} {figure.unit}'
            met = 'yes' if figure.is_met else 'NO'
        lines.append(
            f'| {figure.role} | {figure.measure} | '
            f'{_shown(figure.value)} {figure.unit} | {limit} | {met} |'
        )
    return '\n'.join(lines)


def _shown(value: float) -> str:
    return f'{value:,.0f}' if value >= 100 else f'{value:.3g}'


def _write(
    measured: list[scaling.ScalingFit],
    figures: list[roles.RoleFigure],
    given: settings.Settings,
) -> None:
    path = given[OUTPUT]
    path.parent.mkdir(parents=True, exist_ok=True)
    document = {
        'seed': given[SEED],
        'slopes': [_slope_document(slope) for slope in measured],
        'roles': [
            {
                'role': figure.role,
                'measure': figure.measure,
                'value': figure.value,
                'unit': figure.unit,
                'limit': figure.limit,
                'met': figure.is_met,
            }
            for figure in figures
        ],
    }
    path.write_text(json.dumps(document, indent=1) + '\n', encoding='utf-8')


def _slope_document(slope: scaling.ScalingFit) -> dict[str, object]:
    return {
        'name': slope.name,
        'unit': slope.unit,
        'size_name': slope.size_name,
        'samples': [[point.size, point.value] for point in slope.samples],
        'intercept': slope.intercept,
        'gradient': slope.gradient,
        'exponent': slope.exponent,
    }

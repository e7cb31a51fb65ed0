"""Command line of the capacity tool."""

import json
import pathlib
import resource

from acaciamoor import settings
from acaciamoor import telemetry

# Imported before anything is measured, so that the base memory of this process
# is that of a balancer without state.
import acaciamoor.balancer.main as balancer_main
from acaciamoor.load import scaling
from acaciamoor.load.capacity import control
from acaciamoor.load.capacity import flows
from acaciamoor.load.capacity import forwarders
from acaciamoor.load.capacity import placer
from acaciamoor.load.capacity import roles

BENCHMARKS = (
    control.measure_membership,
    control.measure_change_size,
    control.measure_store_memory,
    control.measure_host_list_size,
    flows.measure_records,
    flows.measure_views,
    flows.measure_owners,
    flows.measure_lookups,
    placer.measure_placer,
    placer.measure_ledger,
    forwarders.measure_packets,
    forwarders.measure_openings,
    forwarders.measure_memory,
    forwarders.measure_relay_messages,
)
SEED = settings.Flag(
    'seed', settings.integer(0), 7, 'Seed of the random number generators.'
)
OUTPUT = settings.Flag(
    'output',
    settings.path,
    pathlib.Path('build/capacity.json'),
    'JSON file to write the fits and costs to.',
)
_BYTES_PER_KIB = 1024
# Keeps the import of the balancer in use.
_MEASURED_PROGRAM = balancer_main.__name__


def main() -> int:
    """Run the capacity tool and return the exit code of the process."""
    return settings.run_program(_run)


def _run() -> settings.ExitCode:
    given = settings.SettingsParser(
        'capacity',
        'Projects the cost of each role at the planned scale.',
        (SEED, OUTPUT, *telemetry.LOG_FLAGS),
        epilog='Exit codes: 0 success (missed limits are marked), '
        '1 a benchmark failed, 2 bad settings.',
    ).parse()
    base_memory_bytes = _peak_resident_bytes()
    fits = [fit for benchmark in BENCHMARKS for fit in benchmark(given[SEED])]
    costs = roles.Projection(fits, base_memory_bytes).costs()
    print(_format_fits(fits))
    print()
    print(_format_costs(costs))
    _write_json(fits, costs, given)
    return settings.ExitCode.SUCCESS


def _peak_resident_bytes() -> int:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_maxrss * _BYTES_PER_KIB


def _format_fits(fits: list[scaling.ScalingFit]) -> str:
    lines = ['| measure | size | measured | exponent |', '|---|---|---|---|']
    for fit in fits:
        points = ', '.join(
            f'{point.value:.4g} at {point.size:,.0f}' for point in fit.samples
        )
        lines.append(
            f'| {fit.name}, {fit.unit} | {fit.size_name} | {points} | '
            f'{fit.exponent:.2f} |'
        )
    return '\n'.join(lines)


def _format_costs(costs: list[roles.RoleCost]) -> str:
    lines = [
        '| role | cost | at the planned scale | limit | met |',
        '|---|---|---|---|---|',
    ]
    for cost in costs:
        limit, met = '', ''
        if cost.limit is not None:
            limit = f'{cost.limit:,.4g} {cost.unit}'
            met = 'yes' if cost.is_met else 'NO'
        lines.append(
            f'| {cost.role} | {cost.measure} | '
            f'{_format_value(cost.value)} {cost.unit} | {limit} | {met} |'
        )
    return '\n'.join(lines)


def _format_value(value: float) -> str:
    return f'{value:,.0f}' if value >= 100 else f'{value:.3g}'


def _write_json(
    fits: list[scaling.ScalingFit],
    costs: list[roles.RoleCost],
    given: settings.Settings,
) -> None:
    path = given[OUTPUT]
    path.parent.mkdir(parents=True, exist_ok=True)
    document = {
        'seed': given[SEED],
        'slopes': [_fit_document(fit) for fit in fits],
        'roles': [
            {
                'role': cost.role,
                'measure': cost.measure,
                'value': cost.value,
                'unit': cost.unit,
                'limit': cost.limit,
                'met': cost.is_met,
            }
            for cost in costs
        ],
    }
    path.write_text(json.dumps(document, indent=1) + '\n', encoding='utf-8')


def _fit_document(fit: scaling.ScalingFit) -> dict[str, object]:
    return {
        'name': fit.name,
        'unit': fit.unit,
        'size_name': fit.size_name,
        'samples': [[point.size, point.value] for point in fit.samples],
        'intercept': fit.intercept,
        'gradient': fit.gradient,
        'exponent': fit.exponent,
    }

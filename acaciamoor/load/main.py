"""Entry point of ``acaciamoor-load``."""

import datetime
import logging
import pathlib

from acaciamoor import findings
from acaciamoor import settings
from acaciamoor import telemetry
from acaciamoor.load import bench
from acaciamoor.load import catalogue
from acaciamoor.load import scenarios

LOG = logging.getLogger(__name__)

_DEFAULTS = scenarios.Options()
SEED = settings.Flag(
    'seed',
    settings.integer(0),
    _DEFAULTS.seed,
    'Seed of the random number generators.',
)
BALANCERS = settings.Flag(
    'balancers',
    settings.integer(1, 400),
    _DEFAULTS.balancers,
    'Number of balancers in the data centre.',
    'balancers',
)
UPSTREAMS = settings.Flag(
    'upstreams',
    settings.integer(1, 2400),
    _DEFAULTS.upstreams,
    'Number of upstreams of the service.',
    'upstreams',
)
DURATION = settings.Flag(
    'duration',
    settings.duration(datetime.timedelta(seconds=1)),
    _DEFAULTS.duration,
    'Duration of a run, in virtual time if the scenario simulates time.',
    's',
)
SCENARIO = settings.Flag(
    'scenario',
    settings.repeatable(settings.text),
    (),
    'Scenario to run; may be given several times. All run if none is given.',
)
LIST = settings.Flag(
    'list', settings.boolean, False, 'List the scenarios and exit.'
)
OUTPUT = settings.Flag(
    'output',
    settings.optional(settings.path),
    None,
    'JSON file to write the measurements to.',
)
FLAGS = (SEED, BALANCERS, UPSTREAMS, DURATION, SCENARIO, LIST, OUTPUT)

_EPILOG = """Exit codes: 0 all scenarios ran (missed targets are listed),
1 a scenario failed to run, 2 bad settings."""


def main() -> int:
    """Run the load tool and return the exit code of the process."""
    return settings.run_program(_run)


def _run() -> settings.ExitCode:
    given = settings.SettingsParser(
        'acaciamoor-load',
        'Runs load experiments and compares the system with naive baselines.',
        (*FLAGS, *telemetry.LOG_FLAGS),
        epilog=_EPILOG,
    ).parse()
    telemetry.configure_logging(
        given, telemetry.ProcessIdentity('acaciamoor-load')
    )
    registry = catalogue.build_registry()
    if given[LIST]:
        print(_format_scenario_list(registry))
        return settings.ExitCode.SUCCESS
    return _run_scenarios(_select_scenarios(registry, given), given)


def _format_scenario_list(registry: scenarios.ScenarioRegistry) -> str:
    by_name = registry.scenarios_by_name
    width = max(map(len, by_name), default=0)
    return '\n'.join(
        f'{name.ljust(width)}  {scenario.summary}'
        for name, scenario in by_name.items()
    )


def _select_scenarios(
    registry: scenarios.ScenarioRegistry, given: settings.Settings
) -> list[scenarios.Scenario]:
    by_name = registry.scenarios_by_name
    names = given[SCENARIO] or tuple(by_name)
    unknown = [name for name in names if name not in by_name]
    if unknown:
        raise findings.FindingsError.of(
            'unknown scenarios',
            [
                findings.Finding(
                    given.place(SCENARIO),
                    f'{name!r} is not a scenario; see --list',
                )
                for name in unknown
            ],
        )
    return [by_name[name] for name in names]


def _run_scenarios(
    selected: list[scenarios.Scenario], given: settings.Settings
) -> settings.ExitCode:
    options = scenarios.Options(
        seed=given[SEED],
        balancers=given[BALANCERS],
        upstreams=given[UPSTREAMS],
        duration=given[DURATION],
    )
    result = bench.run_scenarios(selected, options)
    print(bench.format_table(result.measurements))
    _print_missed_targets(result)
    output: pathlib.Path | None = given[OUTPUT]
    if output is not None:
        bench.write_json(result.measurements, output)
    if result.errors:
        LOG.error('scenarios failed', exc_info=result.error_group())
        return settings.ExitCode.FAILURE
    return settings.ExitCode.SUCCESS


def _print_missed_targets(result: bench.BenchResult) -> None:
    missed = bench.find_missed_targets(result.measurements)
    print(f'\n{len(missed)} targets missed')
    for item in missed:
        print(f'  {item.scenario}: {item.measure} {item.value:.4g}')

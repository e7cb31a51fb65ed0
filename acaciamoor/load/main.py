"""Command line of the load and experiment tool."""

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
    'seed', settings.integer(0), _DEFAULTS.seed, 'Seed of all random choices.'
)
BALANCERS = settings.Flag(
    'balancers',
    settings.integer(1, 400),
    _DEFAULTS.balancers,
    'Balancers in the data centre.',
    'balancers',
)
UPSTREAMS = settings.Flag(
    'upstreams',
    settings.integer(1, 2400),
    _DEFAULTS.upstreams,
    'Upstreams of the service.',
    'upstreams',
)
DURATION = settings.Flag(
    'duration',
    settings.duration(datetime.timedelta(seconds=1)),
    _DEFAULTS.duration,
    'Length of a run; virtual time where the scenario uses it.',
    's',
)
SCENARIO = settings.Flag(
    'scenario',
    settings.repeatable(settings.text),
    (),
    'Scenarios to run; all without it.',
)
LIST = settings.Flag(
    'list', settings.boolean, False, 'List the scenarios and exit.'
)
OUTPUT = settings.Flag(
    'output',
    settings.optional(settings.path),
    None,
    'File for the figures, as JSON.',
)
FLAGS = (SEED, BALANCERS, UPSTREAMS, DURATION, SCENARIO, LIST, OUTPUT)

_EPILOG = """Exit codes: 0 all scenarios ran (missed targets are listed),
1 a scenario failed to run, 2 bad settings."""


def main() -> int:
    """Run the program and return its exit code."""
    return settings.run_program(_main)


def _main() -> settings.ExitCode:
    given = settings.SettingsParser(
        'acaciamoor-load',
        'Runs load experiments and compares them with naive baselines.',
        (*FLAGS, *telemetry.LOG_FLAGS),
        epilog=_EPILOG,
    ).parse()
    telemetry.configure_logging(
        given, telemetry.ProcessIdentity('acaciamoor-load')
    )
    registry = catalogue.registry()
    if given[LIST]:
        print(_listing(registry))
        return settings.ExitCode.SUCCESS
    return _run(_selected(registry, given), given)


def _listing(registry: scenarios.ScenarioRegistry) -> str:
    by_name = registry.scenarios_by_name
    width = max(map(len, by_name), default=0)
    return '\n'.join(
        f'{name.ljust(width)}  {scenario.summary}'
        for name, scenario in by_name.items()
    )


def _selected(
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


def _run(
    selected: list[scenarios.Scenario], given: settings.Settings
) -> settings.ExitCode:
    options = scenarios.Options(
        seed=given[SEED],
        balancers=given[BALANCERS],
        upstreams=given[UPSTREAMS],
        duration=given[DURATION],
    )
    outcome = bench.run(selected, options)
    print(bench.table(outcome.figures))
    _report_missed(outcome)
    output: pathlib.Path | None = given[OUTPUT]
    if output is not None:
        bench.write(outcome.figures, output)
    if outcome.errors:
        LOG.error('scenarios failed', exc_info=outcome.error_group())
        return settings.ExitCode.FAILURE
    return settings.ExitCode.SUCCESS


def _report_missed(outcome: bench.Outcome) -> None:
    missed = bench.missed(outcome.figures)
    print(f'\n{len(missed)} targets missed')
    for figure in missed:
        print(f'  {figure.scenario}: {figure.measure} {figure.value:.4g}')

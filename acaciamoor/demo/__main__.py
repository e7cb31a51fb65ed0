"""Runs the demo; the exit code is FAILURE if any of its checks failed."""

import asyncio
import pathlib
import shutil
import sys

from acaciamoor.demo import launcher as launchers
from acaciamoor.demo import report_page
from acaciamoor.demo import run as runs
from acaciamoor.demo import table
import acaciamoor.settings as settings

BALANCERS = settings.Flag(
    'balancers', settings.integer(2), 8, 'Balancers.', 'processes'
)
SEED = settings.Flag('seed', settings.integer(), 7, 'Random seed.')
OUTPUT = settings.Flag(
    'output',
    settings.path,
    pathlib.Path('build/demo'),
    'Directory for logs and metrics; emptied at the start.',
    'path',
)


def _run() -> settings.ExitCode:
    parser = settings.SettingsParser(
        'acaciamoor-demo',
        'Serves callers on loopback while an upstream is drained and a '
        'balancer is killed.',
        (BALANCERS, SEED, OUTPUT),
    )
    given = parser.parse()
    directory = given[OUTPUT]
    shutil.rmtree(directory, ignore_errors=True)
    demo_settings = runs.DemoSettings(given[BALANCERS], given[SEED], directory)
    with launchers.Launcher(directory / 'logs') as launcher:
        result = asyncio.run(runs.Demo(demo_settings, launcher).run())
    remaining = launcher.running_process_ids()
    print(table.render(result.counters_by_service))
    page = directory / 'report.html'
    report_page.write(directory / 'metrics', page)
    print(f'error budget report: {page}')
    print(f'late requests to the drained upstream: {result.late_runs}')
    print(f'failed processes: {result.failed_exit_codes or "none"}')
    print(f'processes still running: {len(remaining)}')
    if result.passed and not remaining:
        print('all guarantees held')
        return settings.ExitCode.SUCCESS
    print(f'the demo failed; logs are in {directory / "logs"}')
    return settings.ExitCode.FAILURE


if __name__ == '__main__':
    sys.exit(settings.run_program(_run))

"""Runs the demo; the exit code says whether all promises were kept."""

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
    'Directory for logs and metrics; it is emptied first.',
    'path',
)


def _run() -> settings.ExitCode:
    parser = settings.SettingsParser(
        'acaciamoor-demo',
        'Serves callers on loopback while an upstream drains and a balancer '
        'is killed.',
        (BALANCERS, SEED, OUTPUT),
    )
    given = parser.parse()
    directory = given[OUTPUT]
    shutil.rmtree(directory, ignore_errors=True)
    demo_settings = runs.DemoSettings(given[BALANCERS], given[SEED], directory)
    with launchers.Launcher(directory / 'logs') as launcher:
        result = asyncio.run(runs.Demo(demo_settings, launcher).run())
    left = launcher.running()
    print(table.render(result.seen_by_service))
    page = directory / 'report.html'
    report_page.write(directory / 'metrics', page)
    print(f'service-level burn: {page}')
    print(f'late runs of the drained upstream: {result.late_runs}')
    print(f'failed processes: {result.failed or "none"}')
    print(f'processes left behind: {len(left)}')
    if result.kept and not left:
        print('every promise was kept')
        return settings.ExitCode.SUCCESS
    print(f'a promise was broken; logs are in {directory / "logs"}')
    return settings.ExitCode.FAILURE


if __name__ == '__main__':
    sys.exit(settings.run_program(_run))

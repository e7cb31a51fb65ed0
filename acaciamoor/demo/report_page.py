"""Error budget report of a run of the demo."""

import pathlib

from acaciamoor.report import main as reports
from acaciamoor.report import scrapes

_OBJECTIVES = tuple(
    argument
    for service in ('order-desk', 'quote-bench')
    for objective in (
        f'{service}:availability=0.99',
        f'{service}:broken-flows=0.001',
        f'{service}:short-work-p99=0.1',
    )
    for argument in ('--objective', objective)
)
# Short, since the demo serves for less than half a minute.
_WINDOWS = ('--short-window', '10', '--long-window', '30')


def write(metrics: pathlib.Path, page: pathlib.Path) -> None:
    """Write the HTML report on the scrapes in the directory `metrics`."""
    given = reports.parse_settings(
        [
            '--scrapes',
            str(metrics),
            *_OBJECTIVES,
            *_WINDOWS,
            '--format',
            reports.Format.HTML.value,
        ],
        environment={},
    )
    scraped = scrapes.read_directory(metrics)
    page.write_text(reports.render_report(given, scraped), encoding='utf-8')

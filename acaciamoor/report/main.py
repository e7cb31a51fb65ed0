"""Command-line interface of ``acaciamoor-report``."""

import asyncio
import collections.abc
import datetime
import enum
import sys

from acaciamoor import clock as clocks
from acaciamoor import findings
from acaciamoor.report import burn
from acaciamoor.report import objectives
from acaciamoor.report import page
from acaciamoor.report import scrapes
from acaciamoor.report import series
from acaciamoor.report import summary as summaries
import acaciamoor.settings as settings

PROGRAM = 'acaciamoor-report'


class Format(enum.Enum):
    """Output format of the report."""

    TEXT = 'text'
    JSON = 'json'
    HTML = 'html'


_POSITIVE = settings.duration(datetime.timedelta(milliseconds=1))
SCRAPES_DIRECTORY = settings.Flag(
    'scrapes',
    settings.optional(settings.path),
    None,
    'Directory of JSON Lines files (*.jsonl) with recorded scrapes.',
)
ENDPOINTS = settings.Flag(
    'endpoint',
    settings.repeatable(scrapes.parse_endpoint),
    (),
    'Metrics endpoint of a balancer as HOST=URL; may be given several times.',
)
DURATION = settings.Flag(
    'duration',
    _POSITIVE,
    datetime.timedelta(minutes=5),
    'How long to scrape the endpoints before reporting.',
    'seconds',
)
INTERVAL = settings.Flag(
    'interval',
    _POSITIVE,
    datetime.timedelta(seconds=10),
    'Interval between two scrapes of an endpoint.',
    'seconds',
)
RECORD = settings.Flag(
    'record',
    settings.optional(settings.path),
    None,
    'File to which scrapes of the endpoints are appended as JSON Lines.',
)
OBJECTIVES = settings.Flag(
    'objective',
    settings.repeatable(objectives.parse_objective),
    (),
    'Objective as SERVICE:KIND=LIMIT; KIND is availability, broken-flows or '
    'short-work-p99 (seconds).',
)
OBJECTIVES_FILE = settings.Flag(
    'objectives-file',
    settings.optional(settings.path),
    None,
    'JSON file with objectives: {"SERVICE": {"KIND": LIMIT}}.',
)
SHORT_WINDOW = settings.Flag(
    'short-window',
    _POSITIVE,
    burn.Windows().short,
    'Length of the short window for burn rates.',
    'seconds',
)
LONG_WINDOW = settings.Flag(
    'long-window',
    _POSITIVE,
    burn.Windows().long,
    'Length of the long window for burn rates.',
    'seconds',
)
FORMAT = settings.Flag(
    'format',
    settings.choice(Format),
    Format.TEXT,
    'Output format: text, json or html.',
)
FLAGS = (
    SCRAPES_DIRECTORY,
    ENDPOINTS,
    DURATION,
    INTERVAL,
    RECORD,
    OBJECTIVES,
    OBJECTIVES_FILE,
    SHORT_WINDOW,
    LONG_WINDOW,
    FORMAT,
)


def parse_settings(
    arguments: collections.abc.Sequence[str] | None = None,
    environment: collections.abc.Mapping[str, str] | None = None,
) -> settings.Settings:
    """Return the settings from command-line arguments and environment.

    Raises
    ------
    FindingsError
        If settings are invalid; contains all problems found.
    """
    parser = settings.SettingsParser(
        PROGRAM,
        'Reports the burn rates of the error budgets of services.',
        FLAGS,
    )
    options = parser.parse(arguments, environment)
    problems = []
    if (options[SCRAPES_DIRECTORY] is None) == (not options[ENDPOINTS]):
        problems.append(
            findings.Finding(
                SCRAPES_DIRECTORY.option,
                f'exactly one of this and {ENDPOINTS.option} must be given',
            )
        )
    if not options[OBJECTIVES] and options[OBJECTIVES_FILE] is None:
        problems.append(
            findings.Finding(
                OBJECTIVES.option,
                f'this or {OBJECTIVES_FILE.option} must be given',
            )
        )
    if problems:
        raise findings.FindingsError.of('bad settings', problems)
    return options


async def scrape_endpoints(
    options: settings.Settings, clock: clocks.Clock
) -> tuple[scrapes.Scrape, ...]:
    """Scrape all endpoints repeatedly for the configured duration."""
    collected: list[scrapes.Scrape] = []
    end = clock.monotonic() + options[DURATION]
    while True:
        batch = await scrapes.scrape_all(options[ENDPOINTS], clock)
        collected.extend(batch)
        if options[RECORD] is not None:
            scrapes.append_scrapes(options[RECORD], batch)
        if clock.monotonic() >= end:
            return tuple(collected)
        await asyncio.sleep(options[INTERVAL].total_seconds())


def render_report(
    options: settings.Settings,
    collected: collections.abc.Iterable[scrapes.Scrape],
) -> str:
    """Return the report in the configured output format."""
    selected_objectives = list(options[OBJECTIVES])
    if options[OBJECTIVES_FILE] is not None:
        selected_objectives.extend(
            objectives.read_objectives(options[OBJECTIVES_FILE])
        )
    history = series.History(collected)
    windows = burn.Windows(options[SHORT_WINDOW], options[LONG_WINDOW])
    assessments = burn.assess(history, selected_objectives, windows)
    summary = summaries.summarize(history, assessments, windows)
    if options[FORMAT] is Format.JSON:
        return summaries.render_json(summary)
    if options[FORMAT] is Format.HTML:
        return page.render_html(history, assessments, summary)
    return summaries.render_text(summary)


def main() -> int:
    """Run the program and return the exit code of the process."""
    return settings.run_program(_run)


def _run() -> None:
    options = parse_settings()
    if options[SCRAPES_DIRECTORY] is not None:
        collected = scrapes.read_directory(options[SCRAPES_DIRECTORY])
    else:
        collected = asyncio.run(
            scrape_endpoints(options, clocks.SystemClock())
        )
    print(render_report(options, collected))


if __name__ == '__main__':
    sys.exit(main())

"""The program ``acaciamoor-report``."""

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
    """Form of the report."""

    TEXT = 'text'
    JSON = 'json'
    HTML = 'html'


_POSITIVE = settings.duration(datetime.timedelta(milliseconds=1))
DIRECTORY = settings.Flag(
    'scrapes',
    settings.optional(settings.path),
    None,
    'Directory with JSON lines files of scrapes.',
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
    'How long endpoints are scraped before the report.',
    'seconds',
)
INTERVAL = settings.Flag(
    'interval',
    _POSITIVE,
    datetime.timedelta(seconds=10),
    'Time between two scrapes.',
    'seconds',
)
RECORD = settings.Flag(
    'record',
    settings.optional(settings.path),
    None,
    'File to which scrapes of endpoints are added as JSON lines.',
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
    'JSON file {"SERVICE": {"KIND": LIMIT}}.',
)
SHORT_WINDOW = settings.Flag(
    'short-window',
    _POSITIVE,
    burn.Windows().short,
    'Length of the short window.',
    'seconds',
)
LONG_WINDOW = settings.Flag(
    'long-window',
    _POSITIVE,
    burn.Windows().long,
    'Length of the long window.',
    'seconds',
)
FORMAT = settings.Flag(
    'format', settings.choice(Format), Format.TEXT, 'text, json or html.'
)
FLAGS = (
    DIRECTORY,
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


def parse(
    arguments: collections.abc.Sequence[str] | None = None,
    environment: collections.abc.Mapping[str, str] | None = None,
) -> settings.Settings:
    """Return the settings of the program.

    Raises
    ------
    FindingsError
        With all problems of the settings.
    """
    parser = settings.SettingsParser(
        PROGRAM, 'Reports how fast error budgets burn.', FLAGS
    )
    given = parser.parse(arguments, environment)
    problems = []
    if (given[DIRECTORY] is None) == (not given[ENDPOINTS]):
        problems.append(
            findings.Finding(
                DIRECTORY.option,
                f'either this or {ENDPOINTS.option} must be given',
            )
        )
    if not given[OBJECTIVES] and given[OBJECTIVES_FILE] is None:
        problems.append(
            findings.Finding(
                OBJECTIVES.option,
                f'this or {OBJECTIVES_FILE.option} must be given',
            )
        )
    if problems:
        raise findings.FindingsError.of('bad settings', problems)
    return given


async def collect(
    given: settings.Settings, clock: clocks.Clock
) -> tuple[scrapes.Scrape, ...]:
    """Scrape all endpoints for the duration that the settings give."""
    found: list[scrapes.Scrape] = []
    end = clock.monotonic() + given[DURATION]
    while True:
        batch = await scrapes.scrape_all(given[ENDPOINTS], clock)
        found.extend(batch)
        if given[RECORD] is not None:
            scrapes.append_to(given[RECORD], batch)
        if clock.monotonic() >= end:
            return tuple(found)
        await asyncio.sleep(given[INTERVAL].total_seconds())


def render(
    given: settings.Settings, found: collections.abc.Iterable[scrapes.Scrape]
) -> str:
    """Return the report in the form that the settings ask for."""
    wanted = list(given[OBJECTIVES])
    if given[OBJECTIVES_FILE] is not None:
        wanted.extend(objectives.read_objectives(given[OBJECTIVES_FILE]))
    history = series.History(found)
    windows = burn.Windows(given[SHORT_WINDOW], given[LONG_WINDOW])
    assessments = burn.assess(history, wanted, windows)
    summary = summaries.summarize(history, assessments, windows)
    if given[FORMAT] is Format.JSON:
        return summaries.as_json(summary)
    if given[FORMAT] is Format.HTML:
        return page.as_html(history, assessments, summary)
    return summaries.as_text(summary)


def main() -> int:
    """Run the program and return the exit code of the process."""
    return settings.run_program(_run)


def _run() -> None:
    given = parse()
    if given[DIRECTORY] is not None:
        found = scrapes.read_directory(given[DIRECTORY])
    else:
        found = asyncio.run(collect(given, clocks.SystemClock()))
    print(render(given, found))


if __name__ == '__main__':
    sys.exit(main())

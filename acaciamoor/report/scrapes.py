"""Scrapes of metrics endpoints, collected live or read from files."""

import asyncio
import collections.abc
import dataclasses
import datetime
import pathlib
import typing

import aiohttp
import msgspec

from acaciamoor import clock as clocks
from acaciamoor import findings

_SCRAPE_TIMEOUT = aiohttp.ClientTimeout(total=5.0)
_SUFFIX = '.jsonl'


@dataclasses.dataclass(frozen=True, slots=True)
class Scrape:
    """Metrics of one host at one time.

    Parameters
    ----------
    time : datetime.datetime
        Time of the scrape.
    host : str
        Identifier of the host.
    text : str or None
        Metrics in the Prometheus text format; None if the scrape failed.
    """

    time: datetime.datetime
    host: str
    text: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """Host and the URL of its metrics endpoint."""

    host: str
    url: str


def parse_endpoint(text: str) -> Endpoint:
    """Parse an endpoint of the form ``HOST=URL``.

    Examples
    --------
    >>> parse_endpoint('entry-1=http://10.0.0.1:9443/metrics').host
    'entry-1'
    """
    host, separator, url = text.partition('=')
    if not host or not separator or not url:
        raise ValueError(f'{text!r} is not of the form HOST=URL')
    return Endpoint(host, url)


def read_directory(directory: pathlib.Path) -> tuple[Scrape, ...]:
    """Return the scrapes in all ``.jsonl`` files of `directory`, by time.

    Each line is a JSON object with ``time`` (ISO 8601; UTC if it has no
    offset), ``host`` and ``text``; for a failed scrape, ``text`` is absent or
    null.

    Raises
    ------
    FindingsError
        If there is no file or a line is invalid; contains all problems found.
    """
    decoder = msgspec.json.Decoder(Scrape)
    scrapes: list[Scrape] = []
    problems: list[findings.Finding] = []
    paths = sorted(directory.glob(f'*{_SUFFIX}'))
    if not paths:
        problems.append(
            findings.Finding(str(directory), f'contains no {_SUFFIX} file')
        )
    for path in paths:
        lines = path.read_bytes().splitlines()
        for number, line in enumerate(lines, start=1):
            try:
                scrapes.append(_default_to_utc(decoder.decode(line)))
            except msgspec.MsgspecError as error:
                place = f'{path}:{number}'
                problems.append(findings.Finding(place, str(error)))
    if problems:
        raise findings.FindingsError.of('scrapes cannot be read', problems)
    return tuple(sorted(scrapes, key=lambda item: (item.time, item.host)))


def append_scrapes(
    path: pathlib.Path, scrapes: typing.Iterable[Scrape]
) -> None:
    """Append scrapes to a file in the format of `read_directory`."""
    with path.open('ab') as stream:
        for scrape in scrapes:
            stream.write(msgspec.json.encode(scrape) + b'\n')


async def scrape_all(
    endpoints: collections.abc.Iterable[Endpoint], clock: clocks.Clock
) -> tuple[Scrape, ...]:
    """Scrape all endpoints concurrently; the scrapes have the same time."""
    now = clock.now()
    async with aiohttp.ClientSession(timeout=_SCRAPE_TIMEOUT) as session:
        return tuple(
            await asyncio.gather(
                *(_scrape(session, item, now) for item in endpoints)
            )
        )


async def _scrape(
    session: aiohttp.ClientSession,
    endpoint: Endpoint,
    now: datetime.datetime,
) -> Scrape:
    try:
        async with session.get(endpoint.url) as response:
            response.raise_for_status()
            return Scrape(now, endpoint.host, await response.text())
    except (aiohttp.ClientError, TimeoutError, OSError):
        return Scrape(now, endpoint.host)


def _default_to_utc(scrape: Scrape) -> Scrape:
    if scrape.time.tzinfo is not None:
        return scrape
    return dataclasses.replace(
        scrape, time=scrape.time.replace(tzinfo=datetime.UTC)
    )

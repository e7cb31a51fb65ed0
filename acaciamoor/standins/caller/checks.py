"""Compares what callers were told with what the upstreams ran."""

import collections
import collections.abc

import aiohttp
import msgspec

from acaciamoor import model
from acaciamoor.standins.caller import tally as tallies
import acaciamoor.standins.contract as contract
import acaciamoor.wire as wire


async def fetch_records(
    controls: collections.abc.Iterable[model.Address],
) -> list[contract.UpstreamRecords]:
    """Return the records of the upstreams at `controls`.

    Raises
    ------
    aiohttp.ClientError
        If an upstream does not answer.
    """
    decoder = msgspec.json.Decoder(contract.UpstreamRecords)
    records = []
    async with aiohttp.ClientSession() as session:
        for control in controls:
            async with session.get(f'http://{control}/runs') as response:
                records.append(decoder.decode(await response.read()))
    return records


def check_runs(
    tally: tallies.ServiceTally,
    records: collections.abc.Iterable[contract.UpstreamRecords],
) -> None:
    """Count wrong deliveries, double runs and false refusals.

    Examples
    --------
    >>> run = contract.RunRecord(1, 5, 1, 0, False)
    >>> seen = contract.UpstreamRecords('desk-1', 1, [run, run])
    >>> tally = tallies.ServiceTally(1)
    >>> check_runs(tally, [seen])
    >>> tally.double_runs
    1
    """
    runs_by_key: collections.Counter[tuple[int, int]] = collections.Counter()
    ordered: set[tuple[int, int]] = set()
    for record in records:
        if record.service != tally.service:
            continue
        tally.wrong_service += record.wrong_service
        for run in record.runs:
            key = (run.flow, run.request)
            runs_by_key[key] += 1
            if not run.idempotent:
                ordered.add(key)
    tally.double_runs += sum(runs_by_key[key] > 1 for key in ordered)
    tally.false_not_run += sum(
        outcome is wire.Outcome.NOT_RUN and runs_by_key[key] > 0
        for key, outcome in tally.outcomes_by_key.items()
    )

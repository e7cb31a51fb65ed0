"""Compares the outcomes reported to callers with the upstreams' records."""

import collections
import collections.abc

import aiohttp
import msgspec

from acaciamoor import model
from acaciamoor.standins.caller import counters as service_counters
import acaciamoor.standins.contract as contract
import acaciamoor.wire as wire


async def fetch_records(
    controls: collections.abc.Iterable[model.Address],
) -> list[contract.UpstreamRecords]:
    """Fetch the records of the upstreams at the HTTP addresses `controls`.

    Raises
    ------
    aiohttp.ClientError
        If an upstream cannot be reached.
    """
    decoder = msgspec.json.Decoder(contract.UpstreamRecords)
    records = []
    async with aiohttp.ClientSession() as session:
        for control in controls:
            async with session.get(f'http://{control}/runs') as response:
                records.append(decoder.decode(await response.read()))
    return records


def count_run_violations(
    counters: service_counters.ServiceCounters,
    records: collections.abc.Iterable[contract.UpstreamRecords],
) -> None:
    """Add violations found in the upstreams' records to `counters`.

    These are datagrams delivered to an upstream of another service, requests
    that ran twice without being idempotent, and requests that ran although
    the caller was told that they did not.

    Examples
    --------
    >>> run = contract.RunRecord(1, 5, 1, 0, False)
    >>> seen = contract.UpstreamRecords('desk-1', 1, [run, run])
    >>> counters = service_counters.ServiceCounters(1)
    >>> count_run_violations(counters, [seen])
    >>> counters.double_runs
    1
    """
    runs_by_key: collections.Counter[tuple[int, int]] = collections.Counter()
    non_idempotent_keys: set[tuple[int, int]] = set()
    for record in records:
        if record.service != counters.service:
            continue
        counters.wrong_service += record.wrong_service
        for run in record.runs:
            key = (run.flow, run.request)
            runs_by_key[key] += 1
            if not run.idempotent:
                non_idempotent_keys.add(key)
    counters.double_runs += sum(
        runs_by_key[key] > 1 for key in non_idempotent_keys
    )
    counters.false_not_run += sum(
        outcome is wire.Outcome.NOT_RUN and runs_by_key[key] > 0
        for key, outcome in counters.outcomes_by_key.items()
    )

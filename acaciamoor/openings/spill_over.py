"""New flows that exceed the capacity of a data centre."""

import collections

from acaciamoor.openings import draws
from acaciamoor.openings import service_table


def find_spill_over(
    table: service_table.ServiceTable,
    own_data_centre: str,
    spill_over_load: float,
) -> tuple[float, draws.WeightedPool]:
    """Return the share of flows that go elsewhere, and to where.

    Demand above `spill_over_load` of the capacity of a data centre goes
    to those that are below it. If all are above it together, the common
    load of all data centres takes its place.
    """
    if not table.measured:
        return 0.0, table.remote
    found = table.shares_by_load.get(spill_over_load)
    if found is None:
        found = _find_spill_over(table, own_data_centre, spill_over_load)
        table.shares_by_load[spill_over_load] = found
    return found


def _find_spill_over(
    table: service_table.ServiceTable,
    own_data_centre: str,
    spill_over_load: float,
) -> tuple[float, draws.WeightedPool]:
    rates: collections.Counter[str] = collections.Counter()
    for entry, rate in zip(table.candidates, table.rates, strict=True):
        if not table.is_avoided(entry.upstream_id, table.built_at):
            rates[entry.upstream.data_centre] += rate
    own = rates[own_data_centre]
    if not own or not rates.total():
        return 1.0, table.remote
    demand = table.demands.get(own_data_centre, 0.0)
    level = max(spill_over_load, sum(table.demands.values()) / rates.total())
    if demand <= level * own:
        return 0.0, table.remote
    free_shares = {
        data_centre: max(
            0.0, level - table.demands.get(data_centre, 0.0) / rate
        )
        for data_centre, rate in rates.items()
        if data_centre != own_data_centre
    }
    pool = draws.WeightedPool(
        {
            number: rate
            * free_shares.get(
                table.candidates[number].upstream.data_centre, 0.0
            )
            for number, rate in enumerate(table.rates)
            if table.candidates[number].upstream.data_centre != own_data_centre
        }
    )
    return (1.0 - level * own / demand) if pool else 0.0, pool

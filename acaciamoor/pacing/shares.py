"""Division of the openings at an upstream among the hosts of a site."""

import collections.abc

from acaciamoor import hashing
from acaciamoor import model

HostsByDataCentre = collections.abc.Mapping[
    model.DataCentre, collections.abc.Collection[model.HostId]
]


def find_share(
    upstream_id: model.UpstreamId,
    total: int,
    own_host: model.HostId,
    own_data_centre: model.DataCentre,
    hosts_by_data_centre: HostsByDataCentre,
) -> int:
    """Return how many of `total` openings at an upstream are this host's.

    The openings are divided among the data centres, and the part of each one
    among its hosts. A host knows all hosts of its own data centre, but only a
    few of the others, so the division depends on no more than that. What
    cannot be divided goes to the first ones in rendezvous order, which
    differs between upstreams.

    Examples
    --------
    >>> hosts = {'kgn-a': ('h-1', 'h-2'), 'kgn-b': ('h-3',)}
    >>> [find_share('i-1', 9, host, 'kgn-a', hosts) for host in hosts['kgn-a']]
    [2, 2]
    >>> find_share('i-1', 9, 'h-3', 'kgn-b', hosts)
    5
    """
    key = hashing.hash64(upstream_id)
    part = _find_part(key, total, own_data_centre, hosts_by_data_centre)
    return _find_part(
        key, part, own_host, hosts_by_data_centre[own_data_centre]
    )


def _find_part(
    key: int, total: int, own: str, names: collections.abc.Collection[str]
) -> int:
    part, remainder = divmod(total, len(names))
    if not remainder:
        return part
    own_rank = (hashing.score(key, hashing.hash64(own)), own)
    before = sum(
        (hashing.score(key, hashing.hash64(name)), name) > own_rank
        for name in names
    )
    return part + (before < remainder)

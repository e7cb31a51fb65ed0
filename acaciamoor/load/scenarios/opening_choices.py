"""Ways in which hosts may choose upstreams for new flows, for the model."""

import datetime
import random

from acaciamoor import directory
from acaciamoor import openings
from acaciamoor.load.scenarios import opening_model


class RandomChoice:
    """Naive: any upstream."""

    def __init__(self, hosts: int, upstreams: int, seed: int) -> None:
        del hosts
        self._rng = random.Random(seed)
        self._ids = [
            item.upstream_id
            for item in opening_model.listed_upstreams(upstreams)
        ]

    def choose(self, host: int, now: float) -> str:
        """Return the upstream of a new flow."""
        return self._rng.choice(self._ids)

    def begin(self, host: int, upstream_id: str, now: float) -> None:
        """Note that a host passes a request on."""

    def end(self, host: int, upstream_id: str, now: float) -> None:
        """Note that a host sees the end of a request."""


class OwnLoad:
    """The product: each host counts the requests that pass it.

    Parameters
    ----------
    hosts, upstreams : int
        Sizes.
    seed : int
        Seed of ties.
    one_table : bool
        Whether all hosts count in one table, which no real hosts can.
    """

    def __init__(
        self, hosts: int, upstreams: int, seed: int, one_table: bool = False
    ) -> None:
        self._listed = opening_model.listed_upstreams(upstreams)
        table = self.new_book(0)
        self.books = [
            table if one_table else self.new_book(host)
            for host in range(hosts)
        ]
        self._placers = [
            openings.OpeningPlacer(
                opening_model.DATA_CENTRE,
                book,
                openings.FailureDetector(),
                random.Random(seed + host),
            )
            for host, book in enumerate(self.books)
        ]

    def new_book(self, host: int) -> openings.LoadTracker:
        """Return the table of a host."""
        del host
        return openings.LoadTracker()

    def choose(self, host: int, now: float) -> str:
        """Return the upstream of a new flow."""
        chosen = self._placers[host].choose(
            self._listed,
            directory.RequestKind.IDEMPOTENT,
            (),
            datetime.timedelta(seconds=now),
        )
        return chosen.upstream_id

    def begin(self, host: int, upstream_id: str, now: float) -> None:
        """Note that a host passes a request on."""
        self.books[host].begin_request(
            upstream_id, datetime.timedelta(seconds=now)
        )

    def end(self, host: int, upstream_id: str, now: float) -> None:
        """Note that a host sees the end of a request."""
        self.books[host].end_request(
            upstream_id, datetime.timedelta(seconds=now)
        )


class _SharedBook(openings.LoadTracker):
    def __init__(self, host: int, owner: 'SharedLoad') -> None:
        super().__init__()
        self._host = host
        self._owner = owner

    def estimate(self, upstream_id, now: datetime.timedelta) -> float:
        own = super().estimate(upstream_id, now)
        return own + self._owner.elsewhere(self._host, upstream_id, now)


class SharedLoad(OwnLoad):
    """Baseline: hosts also tell each other their loads a few times a second.

    What a host hears is as old as the exchange, and all hosts hear the same.
    """

    interval = datetime.timedelta(milliseconds=200)

    def __init__(self, hosts: int, upstreams: int, seed: int) -> None:
        self._told_at = datetime.timedelta(0)
        self._told: list[dict[str, float]] = [{} for _ in range(hosts)]
        self._total: dict[str, float] = {}
        super().__init__(hosts, upstreams, seed)

    def new_book(self, host: int) -> openings.LoadTracker:
        """Return the table of a host."""
        return _SharedBook(host, self)

    def elsewhere(
        self, host: int, upstream_id: str, now: datetime.timedelta
    ) -> float:
        """Return the load that the other hosts have told of."""
        if now - self._told_at >= self.interval:
            self._told_at = now
            self._exchange(now)
        own = self._told[host].get(upstream_id, 0.0)
        return self._total.get(upstream_id, 0.0) - own

    def _exchange(self, now: datetime.timedelta) -> None:
        ids = [item.upstream_id for item in self._listed]
        self._told = [
            {
                name: openings.LoadTracker.estimate(book, name, now)
                for name in ids
            }
            for book in self.books
        ]
        self._total = {
            name: sum(told[name] for told in self._told) for name in ids
        }

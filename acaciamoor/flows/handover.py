"""Records that other hosts need, collected a part of the table at a time."""

import collections
import collections.abc
import dataclasses
import typing

import numpy

from acaciamoor.flows import messages
from acaciamoor.flows import owners as owner_tables
from acaciamoor.flows import service as service_flows
from acaciamoor.flows import settings
from acaciamoor.model import identifiers

# Slots of the record table that one step of a scan visits, about 1 ms.
SCAN_SLOTS = 8192
# Fits into one datagram with the overhead of the message.
MAX_FLOWS_PER_MESSAGE = 120

# Chooses rows (positions in the arrays of flows, upstream indexes and
# expiries) and the host that each of them goes to.
Choice = tuple[identifiers.HostId, numpy.ndarray]
Chooser = collections.abc.Callable[
    [numpy.ndarray, numpy.ndarray, numpy.ndarray],
    collections.abc.Iterable[Choice],
]


@dataclasses.dataclass(frozen=True, slots=True)
class Scan:
    """One pass over the records of a service.

    Parameters
    ----------
    service_id : ServiceId
        The service.
    flows : ServiceFlows
        Its records.
    choose : Chooser
        Says which records go where.
    pinned : bool
        Whether the receivers keep the records without owning them.
    done : Callable
        Called when all messages of the scan were returned.
    """

    service_id: identifiers.ServiceId
    flows: service_flows.ServiceFlows
    choose: Chooser
    pinned: bool = False
    done: collections.abc.Callable[[], None] = lambda: None


class RecordSender:
    """Turns scans into messages within a byte budget.

    Parameters
    ----------
    bytes_per_second : int
        Budget, counted as encoded.
    """

    def __init__(self, bytes_per_second: int) -> None:
        self._bytes_per_second = bytes_per_second
        self._credit = 0.0
        self._scans: collections.deque[Scan] = collections.deque()
        self._running: _Running | None = None
        self._waiting: collections.deque[messages.PutRecords] = (
            collections.deque()
        )

    @property
    def busy(self) -> bool:
        """Whether scans or messages wait."""
        return bool(self._scans or self._waiting or self._running)

    def add(self, scan: Scan) -> None:
        """Queue a scan."""
        self._scans.append(scan)

    def spend(self, size: int) -> None:
        """Take `size` bytes of another message from the budget."""
        self._credit -= size

    def cancel_unpinned(self) -> None:
        """Forget the hand-over to owners that may not be owners any more."""
        self._scans = collections.deque(
            scan for scan in self._scans if scan.pinned
        )
        self._waiting = collections.deque(
            message for message in self._waiting if message.pinned
        )
        if self._running is not None and not self._running.scan.pinned:
            self._running = None

    def send(self, elapsed: float) -> list[messages.PutRecords]:
        """Return the messages that the budget allows after `elapsed` s."""
        self._credit = min(
            self._credit + elapsed * self._bytes_per_second,
            float(self._bytes_per_second),
        )
        sent = []
        while self._credit > 0.0 and self._fill():
            message = self._waiting.popleft()
            self._credit -= message.encoded_bytes
            sent.append(message)
        return sent

    def _fill(self) -> bool:
        """Make sure that a message waits; False if nothing is left to do.

        Visits one part of a table at most.
        """
        if self._waiting:
            return True
        if self._running is None:
            if not self._scans:
                return False
            scan = self._scans.popleft()
            self._running = _Running(scan, _run(scan))
        part = next(self._running.parts, None)
        if part is None:
            self._running = None
        else:
            self._waiting.extend(part)
        return bool(self._waiting)


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    scan: Scan
    parts: typing.Iterator[list[messages.PutRecords]]


def _run(scan: Scan) -> typing.Iterator[list[messages.PutRecords]]:
    records = scan.flows.records
    start: int | None = 0
    generation = records.generation
    while start is not None:
        flows, indexes, expiries, start = records.chunk(start, SCAN_SLOTS)
        if records.generation != generation:
            # Records may have moved to a part that was visited already.
            generation, start = records.generation, 0
        yield [
            message
            for host_id, rows in scan.choose(flows, indexes, expiries)
            for message in _messages(scan, host_id, flows, indexes, rows)
        ]
    scan.done()


def _messages(
    scan: Scan,
    host_id: identifiers.HostId,
    flows: numpy.ndarray,
    indexes: numpy.ndarray,
    rows: numpy.ndarray,
) -> typing.Iterator[messages.PutRecords]:
    for index in numpy.unique(indexes[rows]).tolist():
        chosen = flows[rows][indexes[rows] == index].tolist()
        for start in range(0, len(chosen), MAX_FLOWS_PER_MESSAGE):
            yield messages.PutRecords(
                host_id,
                scan.service_id,
                scan.flows.upstream_id(index),
                tuple(chosen[start : start + MAX_FLOWS_PER_MESSAGE]),
                scan.pinned,
            )


def new_owner_chooser(
    host_id: identifiers.HostId,
    before: owner_tables.OwnerTable,
    after: owner_tables.OwnerTable,
    refreshed_since: int,
) -> Chooser:
    """Return the choice of records that new owners lack.

    Of the former owners that are alive, the first in rank sends. A record
    that was refreshed through both owners since the change is left out.

    Parameters
    ----------
    host_id : HostId
        This host.
    before, after : OwnerTable
        Owners at the last completed hand-over and now.
    refreshed_since : int
        Expiry of a record that was refreshed at the change, in seconds.
    """
    sends = _sender_mask(host_id, before, after)
    old_matrix = _host_numbers(before, after)
    new_matrix = after.owner_matrix

    def choose(
        flows: numpy.ndarray, indexes: numpy.ndarray, expiries: numpy.ndarray
    ) -> typing.Iterator[Choice]:
        in_bucket = owner_tables.owner_buckets_of(flows)
        due = sends[in_bucket] & (expiries <= refreshed_since)
        for column in range(new_matrix.shape[1]):
            owner = new_matrix[in_bucket, column]
            lacking = due & ~(old_matrix[in_bucket] == owner[:, None]).any(1)
            for number in numpy.unique(owner[lacking]).tolist():
                rows = numpy.flatnonzero(lacking & (owner == number))
                yield after.hosts[number], rows

    return choose


def _host_numbers(
    table: owner_tables.OwnerTable, after: owner_tables.OwnerTable
) -> numpy.ndarray:
    """Return the owners of `table` as positions in the hosts of `after`."""
    positions = {host: index for index, host in enumerate(after.hosts)}
    numbers = numpy.array(
        [positions.get(host, -1) for host in table.hosts], dtype=numpy.intp
    )
    if not len(numbers):
        return numpy.zeros((owner_tables.OWNER_BUCKETS, 0), dtype=numpy.intp)
    return numbers[table.owner_matrix]


def _sender_mask(
    host_id: identifiers.HostId,
    before: owner_tables.OwnerTable,
    after: owner_tables.OwnerTable,
) -> numpy.ndarray:
    """Return for each bucket whether this host is the one that sends."""
    old = _host_numbers(before, after)
    if host_id not in after.hosts or not old.shape[1]:
        return numpy.zeros(owner_tables.OWNER_BUCKETS, dtype=bool)
    own = after.hosts.index(host_id)
    sends = old[:, 0] == own
    if old.shape[1] > 1:
        sends |= (old[:, 0] < 0) & (old[:, 1] == own)
    return sends


def pin_chooser(
    flows: service_flows.ServiceFlows,
    excess: int,
    peers: collections.abc.Iterable[identifiers.HostId],
    now: int,
) -> Chooser:
    """Return the choice of records that need the `excess` oldest views.

    They go to all peers and are pinned here as well.
    """
    receivers = tuple(peers)

    def choose(
        keys: numpy.ndarray, indexes: numpy.ndarray, expiries: numpy.ndarray
    ) -> typing.Iterator[Choice]:
        open_flows = (expiries >= now) & (
            expiries <= now + settings.PINNED_LIFE
        )
        count = min(excess, len(flows.history) - 1)
        needing = flows.contradicted(count, keys, indexes) & open_flows
        rows = numpy.flatnonzero(needing)
        for row in rows.tolist():
            flows.records.put(
                int(keys[row]), int(indexes[row]), now + settings.PINNED_TTL
            )
        if len(rows):
            for host_id in receivers:
                yield host_id, rows

    return choose


def pinned_chooser(
    joined: collections.abc.Iterable[identifiers.HostId], now: int
) -> Chooser:
    """Return the choice of pinned records, which a new host lacks."""
    receivers = tuple(joined)

    def choose(
        keys: numpy.ndarray, indexes: numpy.ndarray, expiries: numpy.ndarray
    ) -> typing.Iterator[Choice]:
        rows = numpy.flatnonzero(expiries > now + settings.PINNED_LIFE)
        if len(rows):
            for host_id in receivers:
                yield host_id, rows

    return choose

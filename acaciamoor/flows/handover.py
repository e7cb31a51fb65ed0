"""Transfer of records to other hosts within a byte budget.

The record table is scanned incrementally, a bounded number of slots at a time.
"""

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

# Slots of the record table that one scan step reads, which takes about 1 ms.
SCAN_SLOTS = 8192
# Keeps a message with its overhead within one datagram.
MAX_FLOWS_PER_MESSAGE = 120

# A receiving host and the rows to send to it.
Selection = tuple[identifiers.HostId, numpy.ndarray]
# Maps the arrays of flows, upstream indexes and expiries to selections, whose
# rows are positions in these arrays.
RecordSelector = collections.abc.Callable[
    [numpy.ndarray, numpy.ndarray, numpy.ndarray],
    collections.abc.Iterable[Selection],
]


@dataclasses.dataclass(frozen=True, slots=True)
class RecordScan:
    """One pass over the records of a service.

    Parameters
    ----------
    service_id : ServiceId
        The service.
    flows : ServiceFlows
        Flow state of the service, including the scanned records.
    select : RecordSelector
        Selects the records to send and their receivers.
    pinned : bool
        Whether the receivers keep the records without owning them.
    on_complete : Callable
        Called once the messages of the last batch have been taken.
    """

    service_id: identifiers.ServiceId
    flows: service_flows.ServiceFlows
    select: RecordSelector
    pinned: bool = False
    on_complete: collections.abc.Callable[[], None] = lambda: None


class RecordSender:
    """Sends the records that scans select, limited by a token bucket.

    Parameters
    ----------
    bytes_per_second : int
        Rate limit in encoded bytes per second; also the burst size in bytes.
    """

    def __init__(self, bytes_per_second: int) -> None:
        self._bytes_per_second = bytes_per_second
        self._available_bytes = 0.0
        self._scans: collections.deque[RecordScan] = collections.deque()
        self._active_scan: _ActiveScan | None = None
        self._pending_messages: collections.deque[messages.PutRecords] = (
            collections.deque()
        )

    @property
    def has_pending(self) -> bool:
        """Whether scans or messages are pending."""
        return bool(self._scans or self._pending_messages or self._active_scan)

    def queue_scan(self, scan: RecordScan) -> None:
        """Queue a scan of the records of a service."""
        self._scans.append(scan)

    def consume(self, size: int) -> None:
        """Deduct the `size` bytes of another message from the budget."""
        self._available_bytes -= size

    def cancel_unpinned(self) -> None:
        """Cancel the handover to owners that may have been replaced."""
        self._scans = collections.deque(
            scan for scan in self._scans if scan.pinned
        )
        self._pending_messages = collections.deque(
            message for message in self._pending_messages if message.pinned
        )
        if self._active_scan is not None and not self._active_scan.scan.pinned:
            self._active_scan = None

    def take_due_messages(self, elapsed: float) -> list[messages.PutRecords]:
        """Return the messages that the budget allows.

        Parameters
        ----------
        elapsed : float
            Seconds since the last call.
        """
        self._available_bytes = min(
            self._available_bytes + elapsed * self._bytes_per_second,
            float(self._bytes_per_second),
        )
        sent = []
        while self._available_bytes > 0.0 and self._prepare_message():
            message = self._pending_messages.popleft()
            self._available_bytes -= message.encoded_bytes
            sent.append(message)
        return sent

    def _prepare_message(self) -> bool:
        """Return whether a message is pending, scanning for one if needed.

        Scans at most one batch of a table per call.
        """
        if self._pending_messages:
            return True
        if self._active_scan is None:
            if not self._scans:
                return False
            scan = self._scans.popleft()
            self._active_scan = _ActiveScan(scan, _scan_batches(scan))
        batch = next(self._active_scan.batches, None)
        if batch is None:
            self._active_scan = None
        else:
            self._pending_messages.extend(batch)
        return bool(self._pending_messages)


@dataclasses.dataclass(frozen=True, slots=True)
class _ActiveScan:
    scan: RecordScan
    batches: typing.Iterator[list[messages.PutRecords]]


def _scan_batches(
    scan: RecordScan,
) -> typing.Iterator[list[messages.PutRecords]]:
    records = scan.flows.records
    start: int | None = 0
    generation = records.generation
    while start is not None:
        flows, indexes, expiries, start = records.read_chunk(start, SCAN_SLOTS)
        if records.generation != generation:
            # The table was resized; records may have moved to slots that
            # were scanned already.
            generation, start = records.generation, 0
        yield [
            message
            for host_id, rows in scan.select(flows, indexes, expiries)
            for message in _build_messages(scan, host_id, flows, indexes, rows)
        ]
    scan.on_complete()


def _build_messages(
    scan: RecordScan,
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


def new_owner_selector(
    host_id: identifiers.HostId,
    before: owner_tables.OwnerTable,
    after: owner_tables.OwnerTable,
    latest_expiry: int,
) -> RecordSelector:
    """Return a selector of the records that new owners lack.

    The highest-ranked former owner that is still alive sends. A record that
    was refreshed through both owners since the change is skipped.

    Parameters
    ----------
    host_id : HostId
        This host.
    before, after : OwnerTable
        Owners after the last completed handover, and the present owners.
    latest_expiry : int
        Expiry, in seconds of monotonic time, of a record that was refreshed
        at the time of the change. Records that expire later are skipped.
    """
    is_sender = _sender_mask(host_id, before, after)
    old_matrix = _owner_positions(before, after)
    new_matrix = after.owner_matrix

    def select(
        flows: numpy.ndarray, indexes: numpy.ndarray, expiries: numpy.ndarray
    ) -> typing.Iterator[Selection]:
        in_bucket = owner_tables.owner_buckets_of(flows)
        due = is_sender[in_bucket] & (expiries <= latest_expiry)
        for column in range(new_matrix.shape[1]):
            owner = new_matrix[in_bucket, column]
            lacking = due & ~(old_matrix[in_bucket] == owner[:, None]).any(1)
            for position in numpy.unique(owner[lacking]).tolist():
                rows = numpy.flatnonzero(lacking & (owner == position))
                yield after.hosts[position], rows

    return select


def _owner_positions(
    table: owner_tables.OwnerTable, after: owner_tables.OwnerTable
) -> numpy.ndarray:
    """Return the owner matrix of `table` as positions in ``after.hosts``.

    Hosts that are absent from `after` have position -1.
    """
    positions = {host: index for index, host in enumerate(after.hosts)}
    positions_after = numpy.array(
        [positions.get(host, -1) for host in table.hosts], dtype=numpy.intp
    )
    if not len(positions_after):
        return numpy.zeros(
            (owner_tables.OWNER_BUCKET_COUNT, 0), dtype=numpy.intp
        )
    return positions_after[table.owner_matrix]


def _sender_mask(
    host_id: identifiers.HostId,
    before: owner_tables.OwnerTable,
    after: owner_tables.OwnerTable,
) -> numpy.ndarray:
    """Return for each owner bucket whether this host sends its records."""
    old = _owner_positions(before, after)
    if host_id not in after.hosts or not old.shape[1]:
        return numpy.zeros(owner_tables.OWNER_BUCKET_COUNT, dtype=bool)
    own = after.hosts.index(host_id)
    is_sender = old[:, 0] == own
    if old.shape[1] > 1:
        is_sender |= (old[:, 0] < 0) & (old[:, 1] == own)
    return is_sender


def view_pinning_selector(
    flows: service_flows.ServiceFlows,
    excess: int,
    peers: collections.abc.Iterable[identifiers.HostId],
    now: int,
) -> RecordSelector:
    """Return a selector of the records that need the `excess` oldest views.

    The records are sent to all peers and are pinned on this host as well.
    """
    receivers = tuple(peers)

    def select(
        flow_ids: numpy.ndarray,
        indexes: numpy.ndarray,
        expiries: numpy.ndarray,
    ) -> typing.Iterator[Selection]:
        is_unpinned = (expiries >= now) & (
            expiries <= now + settings.PINNED_THRESHOLD_SECONDS
        )
        count = min(excess, len(flows.history) - 1)
        needing = (
            flows.records_needing_oldest(count, flow_ids, indexes)
            & is_unpinned
        )
        rows = numpy.flatnonzero(needing)
        for row in rows.tolist():
            flows.records.put(
                int(flow_ids[row]),
                int(indexes[row]),
                now + settings.PINNED_TTL_SECONDS,
            )
        if len(rows):
            for host_id in receivers:
                yield host_id, rows

    return select


def pinned_record_selector(
    joined: collections.abc.Iterable[identifiers.HostId], now: int
) -> RecordSelector:
    """Return a selector of the pinned records, for hosts that joined."""
    receivers = tuple(joined)

    def select(
        flow_ids: numpy.ndarray,
        indexes: numpy.ndarray,
        expiries: numpy.ndarray,
    ) -> typing.Iterator[Selection]:
        rows = numpy.flatnonzero(
            expiries > now + settings.PINNED_THRESHOLD_SECONDS
        )
        if len(rows):
            for host_id in receivers:
                yield host_id, rows

    return select

"""Compact hash table of flow records."""

import array

import numpy

# Multiplier of Fibonacci hashing; the high bits of the product give the slot.
_HASH_MULTIPLIER = 0x9E3779B97F4A7C15
_UINT64_MASK = (1 << 64) - 1
_INITIAL_BITS = 6
# Load factor at which the table doubles; linear probes stay short below it.
_MAX_LOAD = 0.6
# Slots of the old table that every insertion migrates after a resize. With
# two or more, the migration completes before the next growth.
_MIGRATED_SLOTS = 16
_EMPTY = 0
# Load factor below which the table halves. It is well under half of the load
# factor after a growth, so that the table does not grow again at once.
_MIN_LOAD = 0.1


class _Table:
    """Hash table with linear probing in three arrays, 14 bytes per slot.

    A slot stores the upstream index plus one, so that 0 marks an empty slot
    and every flow identifier is valid.
    """

    __slots__ = ('expiries', 'flows', 'mask', 'occupied', 'shift', 'upstreams')

    def __init__(self, bits: int) -> None:
        slots = 1 << bits
        self.shift = 64 - bits
        self.mask = slots - 1
        self.flows = array.array('Q', bytes(8 * slots))
        self.upstreams = array.array('H', bytes(2 * slots))
        self.expiries = array.array('I', bytes(4 * slots))
        self.occupied = 0

    def find(self, flow: int) -> int:
        """Return the slot of `flow`, or the empty slot that ends the probe.

        The slot is empty if its entry in ``upstreams`` is 0.
        """
        slot = ((flow * _HASH_MULTIPLIER) & _UINT64_MASK) >> self.shift
        flows, upstreams, mask = self.flows, self.upstreams, self.mask
        while upstreams[slot] and flows[slot] != flow:
            slot = (slot + 1) & mask
        return slot

    def set(self, slot: int, flow: int, entry: int, expires: int) -> None:
        """Write a record to the slot that `find` returned."""
        if not self.upstreams[slot]:
            self.occupied += 1
        self.flows[slot] = flow
        self.upstreams[slot] = entry
        self.expiries[slot] = expires

    def clear(self, slot: int) -> None:
        """Empty a slot and shift later records back to close the gap."""
        flows, upstreams, mask = self.flows, self.upstreams, self.mask
        gap = slot
        while True:
            slot = (slot + 1) & mask
            if not upstreams[slot]:
                break
            home = (
                (flows[slot] * _HASH_MULTIPLIER) & _UINT64_MASK
            ) >> self.shift
            if (slot - home) & mask >= (slot - gap) & mask:
                flows[gap] = flows[slot]
                upstreams[gap] = upstreams[slot]
                self.expiries[gap] = self.expiries[slot]
                gap = slot
        upstreams[gap] = _EMPTY
        self.occupied -= 1

    @property
    def nbytes(self) -> int:
        """Memory of the arrays, in bytes."""
        return (
            len(self.flows) * self.flows.itemsize
            + len(self.upstreams) * self.upstreams.itemsize
            + len(self.expiries) * self.expiries.itemsize
        )


class FlowRecords:
    """Open-addressing table from flow to upstream index and expiry.

    The table doubles when it is 60% full. Its slots are migrated to the new
    table incrementally by the following insertions, which bounds the time of
    each insertion.

    Examples
    --------
    >>> records = FlowRecords()
    >>> records.put(flow=9, upstream=3, expires=60)
    >>> records.get(9, now=10), records.get(9, now=61)
    (3, None)
    """

    def __init__(self) -> None:
        self._table = _Table(_INITIAL_BITS)
        self._old_table: _Table | None = None
        self._next_migrated_slot = 0
        self._last_swept_slot = 0
        self._generation = 0

    @property
    def generation(self) -> int:
        """Number of resizes; a scan across a resize may miss records."""
        return self._generation

    def __len__(self) -> int:
        old = self._old_table.occupied if self._old_table is not None else 0
        return self._table.occupied + old

    @property
    def nbytes(self) -> int:
        """Memory of the table, in bytes."""
        old = self._old_table.nbytes if self._old_table is not None else 0
        return self._table.nbytes + old

    def get(self, flow: int, now: int) -> int | None:
        """Return the upstream index of `flow`, or None if it has no record.

        Parameters
        ----------
        flow : int
            Unsigned 64-bit flow identifier.
        now : int
            Monotonic time in seconds; an expired record counts as absent.
        """
        for table in self._tables():
            slot = table.find(flow)
            entry = table.upstreams[slot]
            if entry:
                return entry - 1 if table.expiries[slot] >= now else None
        return None

    def expiry(self, flow: int) -> int | None:
        """Return the expiry of the record of `flow`, or None.

        The expiry is in seconds of monotonic time; the record may be past it.
        """
        for table in self._tables():
            slot = table.find(flow)
            if table.upstreams[slot]:
                return table.expiries[slot]
        return None

    def put(self, flow: int, upstream: int, expires: int) -> None:
        """Store the record of `flow`, replacing any existing one.

        Parameters
        ----------
        flow : int
            Unsigned 64-bit flow identifier.
        upstream : int
            Index of the upstream, at most 65534.
        expires : int
            Last second of monotonic time in which the record is valid.
        """
        if self._old_table is not None:
            self._migrate_slots()
        if self._old_table is not None:
            slot = self._old_table.find(flow)
            if self._old_table.upstreams[slot]:
                self._old_table.clear(slot)
        table = self._table
        table.set(table.find(flow), flow, upstream + 1, expires)
        if self._old_table is None and table.occupied > _MAX_LOAD * (
            table.mask + 1
        ):
            self._resize(65 - table.shift)

    def remove(self, flow: int) -> bool:
        """Delete the record of `flow`; return whether there was one."""
        for table in self._tables():
            slot = table.find(flow)
            if table.upstreams[slot]:
                table.clear(slot)
                return True
        return False

    def sweep(self, now: int, slots: int) -> int:
        """Delete expired records in the next `slots` slots.

        Also continues a migration, or shrinks a sparse table.

        Returns
        -------
        int
            Number of deleted records.
        """
        table = self._table
        size = table.mask + 1
        removed = 0
        for _ in range(min(slots, size)):
            slot = self._last_swept_slot = (
                self._last_swept_slot + 1
            ) & table.mask
            while table.upstreams[slot] and table.expiries[slot] < now:
                table.clear(slot)
                removed += 1
        if self._old_table is not None:
            self._migrate_slots(max(slots, _MIGRATED_SLOTS))
        elif table.occupied < _MIN_LOAD * size and size > 1 << _INITIAL_BITS:
            self._resize(63 - table.shift)
        return removed

    def read_chunk(
        self, start: int, slots: int
    ) -> tuple[numpy.ndarray, numpy.ndarray, numpy.ndarray, int | None]:
        """Copy the records of a range of slots, for vectorised scans.

        Parameters
        ----------
        start : int
            First slot; 0 for a new scan. A migration in progress is completed
            first, so that no record moves to slots that were already read.
        slots : int
            Number of slots.

        Returns
        -------
        tuple
            Flows, upstream indexes and expiries as arrays, and the next
            `start`, or None at the end.
        """
        while self._old_table is not None:
            self._migrate_slots()
        table = self._table
        end = min(start + slots, table.mask + 1)
        entries = numpy.array(table.upstreams[start:end])
        kept = entries > 0
        return (
            numpy.array(table.flows[start:end])[kept],
            entries[kept].astype(numpy.intp) - 1,
            numpy.array(table.expiries[start:end])[kept],
            end if end <= table.mask else None,
        )

    def _tables(self) -> tuple[_Table, ...]:
        if self._old_table is None:
            return (self._table,)
        return (self._table, self._old_table)

    def _resize(self, bits: int) -> None:
        self._old_table, self._next_migrated_slot = self._table, 0
        self._table = _Table(bits)
        self._generation += 1

    def _migrate_slots(self, slots: int = _MIGRATED_SLOTS) -> None:
        old = self._old_table
        for _ in range(slots):
            slot = self._next_migrated_slot
            # Clearing a slot may shift another record into it.
            while old.upstreams[slot]:
                flow = old.flows[slot]
                entry, expires = old.upstreams[slot], old.expiries[slot]
                old.clear(slot)
                self._table.set(self._table.find(flow), flow, entry, expires)
            self._next_migrated_slot += 1
            if self._next_migrated_slot > old.mask:
                self._old_table = None
                return

"""Compact table of the flows that have a record."""

import array

import numpy

# Multiplier of Fibonacci hashing; the high bits of the product choose a slot.
_MULTIPLIER = 0x9E3779B97F4A7C15
_UINT64 = (1 << 64) - 1
_INITIAL_BITS = 6
# Linear probing stays short up to this share of occupied slots.
_MAX_LOAD = 0.6
# Slots of the old table that every insertion moves while the table grows. At
# least two keep the move ahead of the next growth.
_MOVED_SLOTS = 16
_EMPTY = 0
# The table halves below this share, well under half of what a growth leaves.
_MIN_LOAD = 0.1


class _Table:
    """Linear probing over three parallel arrays, 14 bytes a slot.

    Slots hold the upstream index plus one, so that 0 marks an empty slot and
    every flow identifier is usable.
    """

    __slots__ = ('expiries', 'flows', 'mask', 'shift', 'upstreams', 'used')

    def __init__(self, bits: int) -> None:
        slots = 1 << bits
        self.shift = 64 - bits
        self.mask = slots - 1
        self.flows = array.array('Q', bytes(8 * slots))
        self.upstreams = array.array('H', bytes(2 * slots))
        self.expiries = array.array('I', bytes(4 * slots))
        self.used = 0

    def find(self, flow: int) -> int:
        """Return the slot of `flow`, or the empty slot that ends the probe.

        The slot is empty if ``upstreams`` holds 0 there.
        """
        slot = ((flow * _MULTIPLIER) & _UINT64) >> self.shift
        flows, upstreams, mask = self.flows, self.upstreams, self.mask
        while upstreams[slot] and flows[slot] != flow:
            slot = (slot + 1) & mask
        return slot

    def set(self, slot: int, flow: int, stored: int, expires: int) -> None:
        """Fill the slot that `find` returned."""
        if not self.upstreams[slot]:
            self.used += 1
        self.flows[slot] = flow
        self.upstreams[slot] = stored
        self.expiries[slot] = expires

    def clear(self, slot: int) -> None:
        """Empty a slot and close the gap that it leaves in later probes."""
        flows, upstreams, mask = self.flows, self.upstreams, self.mask
        gap = slot
        while True:
            slot = (slot + 1) & mask
            if not upstreams[slot]:
                break
            home = ((flows[slot] * _MULTIPLIER) & _UINT64) >> self.shift
            if (slot - home) & mask >= (slot - gap) & mask:
                flows[gap] = flows[slot]
                upstreams[gap] = upstreams[slot]
                self.expiries[gap] = self.expiries[slot]
                gap = slot
        upstreams[gap] = _EMPTY
        self.used -= 1

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

    The table doubles when it is 60% full. The old slots move a few at a time
    with the following insertions, so that no insertion takes long.

    Examples
    --------
    >>> records = FlowRecords()
    >>> records.put(flow=9, upstream=3, expires=60)
    >>> records.get(9, now=10), records.get(9, now=61)
    (3, None)
    """

    def __init__(self) -> None:
        self._table = _Table(_INITIAL_BITS)
        self._old: _Table | None = None
        self._moved = 0
        self._swept = 0
        self._generation = 0

    @property
    def generation(self) -> int:
        """Number of growths and shrinks; a scan across one is not complete."""
        return self._generation

    def __len__(self) -> int:
        old = self._old.used if self._old is not None else 0
        return self._table.used + old

    @property
    def nbytes(self) -> int:
        """Memory of the table, in bytes."""
        old = self._old.nbytes if self._old is not None else 0
        return self._table.nbytes + old

    def get(self, flow: int, now: int) -> int | None:
        """Return the upstream index of `flow`, or None without a record.

        Parameters
        ----------
        flow : int
            Unsigned 64-bit flow identifier.
        now : int
            Time in seconds; an expired record counts as absent.
        """
        for table in self._tables():
            slot = table.find(flow)
            stored = table.upstreams[slot]
            if stored:
                return stored - 1 if table.expiries[slot] >= now else None
        return None

    def expiry(self, flow: int) -> int | None:
        """Return when the record of `flow` expires, in seconds."""
        for table in self._tables():
            slot = table.find(flow)
            if table.upstreams[slot]:
                return table.expiries[slot]
        return None

    def put(self, flow: int, upstream: int, expires: int) -> None:
        """Store the record of `flow`, replacing an older one.

        Parameters
        ----------
        flow : int
            Unsigned 64-bit flow identifier.
        upstream : int
            Index of the upstream, at most 65534.
        expires : int
            Last second in which the record is valid.
        """
        if self._old is not None:
            self._move()
        if self._old is not None:
            slot = self._old.find(flow)
            if self._old.upstreams[slot]:
                self._old.clear(slot)
        table = self._table
        table.set(table.find(flow), flow, upstream + 1, expires)
        if self._old is None and table.used > _MAX_LOAD * (table.mask + 1):
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

        Returns
        -------
        int
            Number of deleted records.
        """
        table = self._table
        size = table.mask + 1
        removed = 0
        for _ in range(min(slots, size)):
            slot = self._swept = (self._swept + 1) & table.mask
            while table.upstreams[slot] and table.expiries[slot] < now:
                table.clear(slot)
                removed += 1
        if self._old is not None:
            self._move(max(slots, _MOVED_SLOTS))
        elif table.used < _MIN_LOAD * size and size > 1 << _INITIAL_BITS:
            self._resize(63 - table.shift)
        return removed

    def chunk(
        self, start: int, slots: int
    ) -> tuple[numpy.ndarray, numpy.ndarray, numpy.ndarray, int | None]:
        """Return copies of the records in some slots, for vectorised scans.

        Parameters
        ----------
        start : int
            First slot; 0 for a new scan. A scan first finishes a growth that
            is under way, so that no record moves behind it.
        slots : int
            Number of slots.

        Returns
        -------
        tuple
            Flows, upstream indexes and expiries as arrays, and the next
            `start`, or None at the end.
        """
        while self._old is not None:
            self._move()
        table = self._table
        end = min(start + slots, table.mask + 1)
        stored = numpy.array(table.upstreams[start:end])
        kept = stored > 0
        return (
            numpy.array(table.flows[start:end])[kept],
            stored[kept].astype(numpy.intp) - 1,
            numpy.array(table.expiries[start:end])[kept],
            end if end <= table.mask else None,
        )

    def _tables(self) -> tuple[_Table, ...]:
        if self._old is None:
            return (self._table,)
        return (self._table, self._old)

    def _resize(self, bits: int) -> None:
        self._old, self._moved = self._table, 0
        self._table = _Table(bits)
        self._generation += 1

    def _move(self, slots: int = _MOVED_SLOTS) -> None:
        old = self._old
        for _ in range(slots):
            slot = self._moved
            # Closing the gap may bring another record to this slot.
            while old.upstreams[slot]:
                flow = old.flows[slot]
                stored, expires = old.upstreams[slot], old.expiries[slot]
                old.clear(slot)
                self._table.set(self._table.find(flow), flow, stored, expires)
            self._moved += 1
            if self._moved > old.mask:
                self._old = None
                return

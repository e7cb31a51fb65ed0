"""Log lines that neither flood the reader nor wait for it."""

import collections
import datetime
import enum
import logging
import os

from acaciamoor import clock as clocks

# Text that waits for a reader that has stopped reading, in bytes.
BACKLOG_BYTES = 256 << 10


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without ever blocking.

    Lines that the descriptor does not take wait in a bounded buffer. Lines
    beyond it are lost and counted; the count is written once the reader is
    back.

    Parameters
    ----------
    descriptor : int
        Where the lines go; it is made non-blocking.
    backlog_bytes : int
        Size of the buffer.
    """

    def __init__(
        self, descriptor: int, backlog_bytes: int = BACKLOG_BYTES
    ) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._limit = backlog_bytes
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._unreported = 0
        self.lost = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or keep it, or count it as lost."""
        self._append(self.format(record))
        self.flush()

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good, so nothing can be reported.
                self._drop_all()
                return
            self._waiting_bytes -= written
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()
        self._report_lost()

    def _append(self, text: str) -> None:
        line = text.encode(errors='replace') + b'\n'
        if self._waiting_bytes + len(line) > self._limit:
            self.lost += 1
            self._unreported += 1
            return
        self._waiting.append(line)
        self._waiting_bytes += len(line)

    def _drop_all(self) -> None:
        self.lost += len(self._waiting)
        self._waiting.clear()
        self._waiting_bytes = 0

    def _report_lost(self) -> None:
        if not self._unreported:
            return
        count, self._unreported = self._unreported, 0
        record = logging.LogRecord(
            __name__,
            logging.WARNING,
            __file__,
            0,
            '%d log lines were lost because nobody read them',
            (count,),
            None,
        )
        self._append(self.format(record))


class Importance(enum.Enum):
    """How many lines of a kind are written in a second at most.

    Failures have a budget of their own, so that the routine of a busy second
    does not crowd them out. At 350 bytes a line both together stay below
    35 KB/s.
    """

    ROUTINE = 20
    FAILURE = 80


class LineBudget:
    """Limits lines a second and counts those that were left out.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Examples
    --------
    >>> budget = LineBudget(clocks.ManualClock())
    >>> sum(budget.take(Importance.ROUTINE) for _ in range(50))
    20
    >>> budget.take(Importance.FAILURE)
    True
    >>> budget.left_out()
    30
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._second = -1
        self._used: collections.Counter[Importance] = collections.Counter()
        self._left_out = 0

    def take(self, importance: Importance) -> bool:
        """Return whether a line may be written now."""
        second = self._clock.monotonic() // datetime.timedelta(seconds=1)
        if second != self._second:
            self._second = second
            self._used.clear()
        if self._used[importance] >= importance.value:
            self._left_out += 1
            return False
        self._used[importance] += 1
        return True

    def left_out(self) -> int:
        """Return the number of lines left out since the last call."""
        count, self._left_out = self._left_out, 0
        return count

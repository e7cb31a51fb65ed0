"""Log output that never blocks the process and is limited in rate."""

import collections
import datetime
import enum
import logging
import os

from acaciamoor import clock as clocks

DEFAULT_BUFFER_BYTES = 256 << 10


class NonBlockingHandler(logging.Handler):
    """Logging handler that writes to a file descriptor without blocking.

    Lines that cannot be written immediately are kept in a bounded buffer. When
    the buffer is full, further lines are dropped and counted; the count is
    logged once the reader has emptied the buffer.

    Parameters
    ----------
    descriptor : int
        File descriptor for the lines; it is switched to non-blocking mode.
    buffer_bytes : int
        Size of the buffer, in bytes.

    Attributes
    ----------
    lost_lines : int
        Number of lines that were dropped.
    """

    def __init__(
        self, descriptor: int, buffer_bytes: int = DEFAULT_BUFFER_BYTES
    ) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._max_buffered_bytes = buffer_bytes
        self._buffered_lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._unreported_lines = 0
        self.lost_lines = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write `record`, buffer it, or drop it if the buffer is full."""
        self._enqueue(self.format(record))
        self.flush()

    def flush(self) -> None:
        """Write as many buffered lines as possible without blocking."""
        while self._buffered_lines:
            line = self._buffered_lines[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end, so the loss cannot be logged.
                self._discard_buffer()
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffered_lines[0] = line[written:]
                return
            self._buffered_lines.popleft()
        self._report_lost()

    def _enqueue(self, text: str) -> None:
        line = text.encode(errors='replace') + b'\n'
        if self._buffered_bytes + len(line) > self._max_buffered_bytes:
            self.lost_lines += 1
            self._unreported_lines += 1
            return
        self._buffered_lines.append(line)
        self._buffered_bytes += len(line)

    def _discard_buffer(self) -> None:
        self.lost_lines += len(self._buffered_lines)
        self._buffered_lines.clear()
        self._buffered_bytes = 0

    def _report_lost(self) -> None:
        if not self._unreported_lines:
            return
        count, self._unreported_lines = self._unreported_lines, 0
        record = logging.LogRecord(
            __name__,
            logging.WARNING,
            __file__,
            0,
            '%d log lines were lost because the log reader did not keep up',
            (count,),
            None,
        )
        self._enqueue(self.format(record))


class LogCategory(enum.Enum):
    """Category of a log line; its value is the limit in lines per second.

    Failures have a limit of their own, so that routine lines at peak load do
    not suppress them. At 350 bytes per line, both limits together allow at
    most 35 KB/s.
    """

    ROUTINE = 20
    FAILURE = 80


class LogRateLimiter:
    """Limits the log lines per second and counts the suppressed lines.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Examples
    --------
    >>> limiter = LogRateLimiter(clocks.ManualClock())
    >>> sum(limiter.try_acquire(LogCategory.ROUTINE) for _ in range(50))
    20
    >>> limiter.try_acquire(LogCategory.FAILURE)
    True
    >>> limiter.pop_suppressed_count()
    30
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._second = -1
        self._written_by_category: collections.Counter[LogCategory] = (
            collections.Counter()
        )
        self._suppressed_count = 0

    def try_acquire(self, category: LogCategory) -> bool:
        """Return whether a line of `category` may be written now.

        A permitted line counts against the limit of the current second.
        """
        second = self._clock.monotonic() // datetime.timedelta(seconds=1)
        if second != self._second:
            self._second = second
            self._written_by_category.clear()
        if self._written_by_category[category] >= category.value:
            self._suppressed_count += 1
            return False
        self._written_by_category[category] += 1
        return True

    def pop_suppressed_count(self) -> int:
        """Return the number of lines suppressed since the last call."""
        count, self._suppressed_count = self._suppressed_count, 0
        return count

"""Tests of the non-blocking log handler and the log rate limiter."""

import datetime
import logging
import os
import unittest

from acaciamoor import clock
from acaciamoor.telemetry import bounded

SECOND = datetime.timedelta(seconds=1)


class NonBlockingHandlerTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.writer)
        self.handler = bounded.NonBlockingHandler(self.writer, 4096)

    def write(self, text: str) -> None:
        """Log one line."""
        self.handler.handle(logging.makeLogRecord({'msg': text}))

    def read(self) -> bytes:
        """Return everything that can be read from the pipe."""
        os.set_blocking(self.reader, False)
        data = b''
        while True:
            try:
                part = os.read(self.reader, 1 << 16)
            except BlockingIOError:
                return data
            if not part:
                return data
            data += part

    def test_stalled_reader_loses_lines_without_blocking(self):
        """Guards against a data path that blocks on a stalled log reader."""
        self.addCleanup(os.close, self.reader)
        for number in range(5000):
            self.write(f'line {number:04d} ' + 'x' * 90)
        self.assertGreater(self.handler.lost_lines, 0)
        first = self.read()
        self.assertTrue(first.startswith(b'line 0000 '))
        self.handler.flush()
        self.write('after')
        self.handler.flush()
        rest = first + self.read()
        self.assertIn(b'log lines were lost', rest)
        self.assertIn(b'after\n', rest)
        for line in rest.splitlines():
            self.assertRegex(line, rb'^(line \d{4} x{90}|after|\d+ log .*)$')

    def test_closed_pipe_does_not_raise(self):
        """Guards against a process that fails when its log reader exits."""
        os.close(self.reader)
        self.write('one')
        self.write('two')
        self.assertEqual(2, self.handler.lost_lines)


class LogRateLimiterTest(unittest.TestCase):
    def test_routine_lines_do_not_suppress_failures(self):
        """Guards against losing failure lines at peak load."""
        manual = clock.ManualClock()
        limiter = bounded.LogRateLimiter(manual)
        for _ in range(1000):
            limiter.try_acquire(bounded.LogCategory.ROUTINE)
        self.assertTrue(limiter.try_acquire(bounded.LogCategory.FAILURE))
        self.assertEqual(980, limiter.pop_suppressed_count())
        manual.advance(SECOND)
        self.assertTrue(limiter.try_acquire(bounded.LogCategory.ROUTINE))


if __name__ == '__main__':
    unittest.main()

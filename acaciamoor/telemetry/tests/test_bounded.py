"""Log lines that neither flood the reader nor wait for it."""

import datetime
import logging
import os
import unittest

from acaciamoor import clock
from acaciamoor.telemetry import bounded

SECOND = datetime.timedelta(seconds=1)


class HandlerTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.writer)
        self.handler = bounded.BoundedHandler(self.writer, 4096)

    def write(self, text: str) -> None:
        """Log one line."""
        self.handler.handle(logging.makeLogRecord({'msg': text}))

    def read(self) -> bytes:
        """Read what the pipe holds."""
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

    def test_reader_that_stalls_costs_lines_and_no_time(self):
        """Guards against a data path that waits for its log reader."""
        self.addCleanup(os.close, self.reader)
        for number in range(5000):
            self.write(f'line {number:04d} ' + 'x' * 90)
        self.assertGreater(self.handler.lost, 0)
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

    def test_reader_that_is_gone_is_survived(self):
        """Guards against a process that ends with its log reader."""
        os.close(self.reader)
        self.write('one')
        self.write('two')
        self.assertEqual(2, self.handler.lost)


class BudgetTest(unittest.TestCase):
    def test_routine_leaves_room_for_failures(self):
        """Guards against failures that are crowded out at a peak."""
        manual = clock.ManualClock()
        budget = bounded.LineBudget(manual)
        for _ in range(1000):
            budget.take(bounded.Importance.ROUTINE)
        self.assertTrue(budget.take(bounded.Importance.FAILURE))
        self.assertEqual(980, budget.left_out())
        manual.advance(SECOND)
        self.assertTrue(budget.take(bounded.Importance.ROUTINE))


if __name__ == '__main__':
    unittest.main()

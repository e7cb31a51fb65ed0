"""Restarts of background tasks."""

import asyncio
import datetime
import unittest

from acaciamoor import supervision

NO_DELAY = datetime.timedelta(0)
LOGGER = 'acaciamoor.supervision.tasks'


class SuperviseTest(unittest.IsolatedAsyncioTestCase):
    async def test_failed_task_starts_again(self):
        """Guards against an unexpected error that ends a whole process."""
        outcomes = [RecursionError('deep'), ValueError('bad'), None]

        async def run():
            outcome = outcomes.pop(0)
            if outcome is not None:
                raise outcome

        with self.assertLogs(LOGGER, 'ERROR') as logs:
            await supervision.supervise('reader', run, NO_DELAY)
        self.assertEqual(2, len(logs.records))
        self.assertEqual([], outcomes)

    async def test_cancelled_task_does_not_start_again(self):
        """Guards against a task that outlives the end of its process."""
        starts = []

        async def run():
            starts.append(1)
            await asyncio.sleep(3600)

        task = asyncio.create_task(supervision.supervise('reader', run))
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual([1], starts)

    async def test_failure_of_a_spawned_task_is_logged(self):
        """Guards against a task that ends without a trace."""

        async def fail():
            raise ValueError('bad')

        with self.assertLogs(LOGGER, 'ERROR') as logs:
            await asyncio.wait([supervision.spawn(fail())])
            await asyncio.sleep(0)
        self.assertIn('background task failed', logs.output[0])


if __name__ == '__main__':
    unittest.main()

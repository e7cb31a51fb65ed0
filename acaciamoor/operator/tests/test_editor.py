"""Races, lost replies, outages and findings of changes."""

import asyncio
import unittest

from acaciamoor.model import documents
import acaciamoor.operator as operator
from acaciamoor.operator.tests import builders
import acaciamoor.platform as platform
from acaciamoor.platform.tests import builders as platform_builders
from acaciamoor.standins.platform import memory


class RaceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.site = builders.Site()
        created = await self.site.editor().execute(
            builders.creation(ports=(9001, 9002))
        )
        self.version = created.version

    async def _race(self, *changes):
        """Execute changes by operators that take turns at every write."""
        running = []
        for seed, change in enumerate(changes):
            editor, transport = self.site.new_operator(seed)
            transport.before_write = builders.yield_to_others
            running.append(editor.execute(change))
        return await asyncio.gather(*running)

    async def test_one_of_two_operators_wins(self):
        """Guards against two accepted changes of which one is lost."""
        outcomes = await self._race(
            builders.addition(9003, expected_version=self.version),
            builders.drain(9001, expected_version=self.version),
        )
        accepted = [
            item for item in outcomes if isinstance(item, operator.Accepted)
        ]
        beaten = [
            item for item in outcomes if isinstance(item, operator.Conflicted)
        ]
        self.assertEqual((1, 1), (len(accepted), len(beaten)))
        self.assertEqual(accepted[0].version, beaten[0].version)
        self.assertEqual(accepted[0].service, self.site.service())
        self.assertIn(beaten[0].written_by, ('bob', 'cho'))

    async def test_changes_without_a_version_both_take_effect(self):
        """Guards against a repeated change that drops the other one."""
        outcomes = await self._race(
            builders.addition(9003), builders.drain(9001)
        )
        for outcome in outcomes:
            self.assertIsInstance(outcome, operator.Accepted)
        upstreams = self.site.service().upstreams_by_id
        self.assertIn('desk-9003', upstreams)
        self.assertFalse(upstreams['desk-9001'].takes_new_work)

    async def test_policies_do_not_override_each_other_unseen(self):
        """Guards against a policy that silently replaces a newer one."""
        changes = [
            operator.ChangePolicy(name='order-desk', fields={'queue_limit': n})
            for n in (7, 8)
        ]
        outcomes = await self._race(*changes)
        kinds = sorted(type(outcome).__name__ for outcome in outcomes)
        self.assertEqual(['Accepted', 'Conflicted'], kinds)


class FaultTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.site = builders.Site()
        await self.site.editor().execute(builders.creation(ports=(9001, 9002)))

    async def test_lost_reply_is_reported_as_accepted(self):
        """Guards against a failure reported for a change in force."""
        plan = platform_builders.planned(memory.LOST_REPLY)
        editor, _ = self.site.new_operator(2, plan)
        outcome = await editor.execute(builders.drain(9001))
        self.assertIsInstance(outcome, operator.Accepted)
        self.assertEqual(outcome.service, self.site.service())

    async def test_outage_before_a_change_refuses_it(self):
        """Guards against a change of unknown outcome that was never sent."""
        editor, _ = self.site.new_operator(2, lambda call: memory.UNAVAILABLE)
        outcome = await editor.execute(builders.drain(9001))
        self.assertIsInstance(outcome, operator.Refused)
        self.assertEqual('platform', outcome.findings[0].place)

    async def test_outage_during_a_change_leaves_it_unknown(self):
        """Guards against guessing what became of a change."""
        for lost in (memory.LOST_REPLY, memory.LOST_REQUEST):
            with self.subTest(lost=lost):
                outcome = await self._cut_at_service_write(lost)
                self.assertIsInstance(outcome, operator.Unknown)

    async def _cut_at_service_write(self, lost):
        state = {'down': False}

        def plan(call):
            if state['down']:
                return memory.UNAVAILABLE
            state['down'] = call == 'write'
            return lost if state['down'] else memory.APPLIED

        editor, _ = self.site.new_operator(2, plan)
        return await editor.execute(
            operator.ChangePolicy(
                name='order-desk',
                fields={'queue_limit': 3 + lost.applied},
            )
        )


class FindingsTest(unittest.IsolatedAsyncioTestCase):
    async def test_refusal_names_every_problem_and_changes_nothing(self):
        """Guards against a refused change that had an effect."""
        site = builders.Site()
        editor = site.editor()
        await editor.execute(builders.creation())
        before = site.service()
        outcome = await editor.execute(
            operator.ChangePolicy(
                name='order-desk',
                fields={'queue_limit': 0, 'long_share': 2, 'colour': 1},
            )
        )
        root = 'services.order-desk.policy'
        self.assertEqual(
            [f'{root}.colour', f'{root}.long_share', f'{root}.queue_limit'],
            [finding.place for finding in outcome.findings],
        )
        for change in (builders.drain(9001), builders.removal(9001)):
            refused = await editor.execute(change)
            self.assertIsInstance(refused, operator.Refused)
        self.assertEqual(before, site.service())

    async def test_service_numbers_are_never_reused(self):
        """Guards against packets of a deleted service that match a new one."""
        site = builders.Site()
        editor = site.editor()
        first = await editor.execute(builders.creation())
        deleted = await editor.execute(
            operator.DeleteService(name='order-desk')
        )
        self.assertIsNone(site.service())
        site.confirm(deleted.version - 1, 'kgn-b')
        refused = await editor.execute(builders.creation(port=8002))
        # The tombstone must stay until kgn-b has read it.
        self.assertEqual(
            ['services.order-desk'],
            [finding.place for finding in refused.findings],
        )
        site.confirm(deleted.version)
        site.confirm(deleted.version, 'kgn-b')
        plan = platform_builders.planned(memory.LOST_REPLY)
        second = await site.new_operator(2, plan)[0].execute(
            builders.creation()
        )
        self.assertLess(first.service.service_id, second.service.service_id)
        stored = site.table.read(documents.SERVICE_KIND, 'order-desk')
        self.assertEqual(second.version, stored.version)
        with self.assertRaises(platform.NotFound):
            site.table.read(documents.SERVICE_KIND, 'quote-bench')

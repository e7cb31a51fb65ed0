"""Execution of changes under races, lost replies and outages."""

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
        """Execute changes by concurrent operators that interleave writes."""
        running = []
        for seed, change in enumerate(changes):
            editor, transport = self.site.new_operator(seed)
            transport.before_write = builders.yield_to_other_operators
            running.append(editor.execute(change))
        return await asyncio.gather(*running)

    async def test_one_of_two_conflicting_changes_is_accepted(self):
        """Guards against a lost update when both changes are accepted."""
        outcomes = await self._race(
            builders.addition(9003, expected_version=self.version),
            builders.drain(9001, expected_version=self.version),
        )
        accepted = [
            item for item in outcomes if isinstance(item, operator.Accepted)
        ]
        conflicted = [
            item for item in outcomes if isinstance(item, operator.Conflicted)
        ]
        self.assertEqual((1, 1), (len(accepted), len(conflicted)))
        self.assertEqual(accepted[0].version, conflicted[0].version)
        self.assertEqual(accepted[0].service, self.site.service())
        self.assertIn(conflicted[0].written_by, ('bob', 'cho'))

    async def test_changes_without_an_expected_version_both_take_effect(self):
        """Guards against a retried change that overwrites the other one."""
        outcomes = await self._race(
            builders.addition(9003), builders.drain(9001)
        )
        for outcome in outcomes:
            self.assertIsInstance(outcome, operator.Accepted)
        upstreams = self.site.service().upstreams_by_id
        self.assertIn('desk-9003', upstreams)
        self.assertFalse(upstreams['desk-9001'].takes_new_work)

    async def test_concurrent_policy_changes_conflict(self):
        """Guards against a policy that silently overwrites a newer one."""
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

    async def test_change_with_a_lost_reply_is_accepted(self):
        """Guards against a failure that is reported for a stored change."""
        plan = platform_builders.plan_writes(memory.LOST_REPLY)
        editor, _ = self.site.new_operator(2, plan)
        outcome = await editor.execute(builders.drain(9001))
        self.assertIsInstance(outcome, operator.Accepted)
        self.assertEqual(outcome.service, self.site.service())

    async def test_change_is_refused_during_an_outage(self):
        """Guards against an unknown outcome for a change that was not sent."""
        editor, _ = self.site.new_operator(2, lambda call: memory.UNAVAILABLE)
        outcome = await editor.execute(builders.drain(9001))
        self.assertIsInstance(outcome, operator.Refused)
        self.assertEqual('platform', outcome.findings[0].place)

    async def test_outage_during_the_service_write_has_unknown_outcome(self):
        """Guards against reporting an outcome that cannot be known."""
        for lost in (memory.LOST_REPLY, memory.LOST_REQUEST):
            with self.subTest(lost=lost):
                outcome = await self._lose_service_write(lost)
                self.assertIsInstance(outcome, operator.Unknown)

    async def _lose_service_write(self, lost):
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
    async def test_refusal_lists_every_problem_and_has_no_effect(self):
        """Guards against incomplete findings and partly applied changes."""
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

    async def test_service_identifiers_are_never_reused(self):
        """Guards against packets of a deleted service that reach a new one."""
        site = builders.Site()
        editor = site.editor()
        first = await editor.execute(builders.creation())
        deleted = await editor.execute(
            operator.DeleteService(name='order-desk')
        )
        self.assertIsNone(site.service())
        site.confirm(deleted.version - 1, 'kgn-b')
        refused = await editor.execute(builders.creation(port=8002))
        # The tombstone must not be replaced until kgn-b has read it.
        self.assertEqual(
            ['services.order-desk'],
            [finding.place for finding in refused.findings],
        )
        site.confirm(deleted.version)
        site.confirm(deleted.version, 'kgn-b')
        plan = platform_builders.plan_writes(memory.LOST_REPLY)
        second = await site.new_operator(2, plan)[0].execute(
            builders.creation()
        )
        self.assertLess(first.service.service_id, second.service.service_id)
        stored = site.table.read(documents.SERVICE_KIND, 'order-desk')
        self.assertEqual(second.version, stored.version)
        with self.assertRaises(platform.NotFound):
            site.table.read(documents.SERVICE_KIND, 'quote-bench')

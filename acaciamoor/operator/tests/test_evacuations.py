"""Evacuations of data centres under races, lost replies and outages."""

import asyncio
import unittest

from acaciamoor.model import documents
import acaciamoor.operator as operator
from acaciamoor.operator.tests import builders
import acaciamoor.platform as platform
from acaciamoor.platform.tests import builders as platform_builders
from acaciamoor.standins.platform import memory

DATA_CENTRE = 'kgn-a'


class EvacuationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.site = builders.Site()
        self.editor = self.site.evacuation_editor()
        await self.site.editor().execute(builders.creation())

    async def _accept(self, change):
        outcome = await self.editor.execute(change)
        self.assertIsInstance(outcome, operator.Accepted, outcome)
        return outcome

    async def test_repeated_calls_write_once(self):
        """Guards against a repeated call that replaces writer and time."""
        first = await self._accept(builders.evacuation())
        second = await self._accept(builders.evacuation(requested_by='cho'))
        self.assertEqual(first, second)
        stored = self.site.table.read(documents.EVACUATION_KIND, DATA_CENTRE)
        self.assertEqual('ann', stored.value['written_by'])
        taken_back = await self._accept(builders.take_back())
        self.assertGreater(taken_back.version, first.version)
        self.assertEqual(taken_back, await self._accept(builders.take_back()))
        self.assertEqual([], self.site.evacuated())

    async def test_lost_acknowledgements_are_resolved(self):
        """Guards against a failure that is reported for a stored change."""
        for change, evacuated in (
            (builders.evacuation(), [DATA_CENTRE]),
            (builders.take_back(), []),
        ):
            for lost in (memory.LOST_REPLY, memory.LOST_REQUEST):
                self.editor = self.site.evacuation_editor(
                    2, platform_builders.plan_writes(lost)
                )
                await self._accept(change)
                self.assertEqual(evacuated, self.site.evacuated())

    async def test_unresolved_acknowledgement_has_unknown_outcome(self):
        """Guards against reporting an outcome that cannot be known."""
        for change in (builders.evacuation(), builders.take_back()):
            plan = platform_builders.plan_writes(*[memory.LOST_REQUEST] * 9)
            editor = self.site.evacuation_editor(2, plan)
            outcome = await editor.execute(change)
            self.assertIsInstance(outcome, operator.Unknown)
            await self._accept(builders.evacuation())

    async def test_outage_has_no_effect(self):
        """Guards against an unknown outcome of a call that was not sent."""
        editor = self.site.evacuation_editor(
            2, lambda call: memory.UNAVAILABLE
        )
        for change in (builders.evacuation(), builders.take_back()):
            outcome = await editor.execute(change)
            self.assertIsInstance(outcome, operator.Refused)
            self.assertEqual('platform', outcome.findings[0].place)

    async def test_name_without_upstreams_is_accepted_with_a_notice(self):
        """Guards against a mistyped name that nobody notices."""
        outcome = await self._accept(builders.evacuation('kgn-x'))
        self.assertEqual(
            ['evacuations.kgn-x'], [item.place for item in outcome.notices]
        )
        self.assertEqual(['kgn-x'], self.site.evacuated())
        refused = await self.editor.execute(builders.evacuation('kgn x'))
        self.assertIsInstance(refused, operator.Refused)

    async def test_evacuation_of_the_last_data_centre_has_a_notice(self):
        """Guards against a service that ends without anybody noticing."""
        await self.site.editor().execute(
            builders.addition(9002, data_centre='kgn-b')
        )
        self.assertEqual(
            (), (await self._accept(builders.evacuation('kgn-b'))).notices
        )
        outcome = await self._accept(builders.evacuation())
        self.assertEqual(
            ['services.order-desk'], [item.place for item in outcome.notices]
        )
        self.assertEqual([DATA_CENTRE, 'kgn-b'], self.site.evacuated())

    async def test_two_operators_evacuate_at_once(self):
        """Guards against a conflict between operators who want the same."""
        editors = [self.site.evacuation_editor(seed) for seed in (2, 3)]
        outcomes = await asyncio.gather(
            *(
                editor.execute(builders.evacuation(requested_by=name))
                for editor, name in zip(editors, ('ann', 'bob'), strict=True)
            )
        )
        self.assertEqual(outcomes[0], outcomes[1])
        self.assertIsInstance(outcomes[0], operator.Accepted)

    async def test_newer_evacuation_is_not_taken_back(self):
        """Guards against ending an evacuation that the operator never saw."""
        first = await self._accept(builders.evacuation())
        await self._accept(builders.take_back())
        await self._accept(builders.evacuation(requested_by='cho'))
        outcome = await self.editor.execute(
            builders.take_back(expected_version=first.version)
        )
        self.assertIsInstance(outcome, operator.Conflicted)
        self.assertEqual('cho', outcome.written_by)
        self.assertEqual([DATA_CENTRE], self.site.evacuated())

    async def test_entry_of_another_writer_is_listed_and_taken_back(self):
        """Guards against an unreadable entry that hides all evacuations."""
        for name, value in ((DATA_CENTRE, {}), ('kgn-b', {'written_by': 7})):
            self.site.table.write_unconditionally(
                platform.Write(documents.EVACUATION_KIND, name, value, ())
            )
        await self._accept(builders.evacuation())
        for name in (DATA_CENTRE, 'kgn-b'):
            await self._accept(builders.take_back(name))
        self.assertEqual([], self.site.evacuated())

"""Address claims under races, crashes and unconfirmed data centres."""

import asyncio
import unittest

from acaciamoor.model import documents
import acaciamoor.naive.operator as naive_operator
import acaciamoor.operator as operator
from acaciamoor.operator import claims
from acaciamoor.operator.tests import builders
import acaciamoor.platform as platform

ORDER_DESK = 'order-desk'
QUOTE_BENCH = 'quote-bench'


class Crash(BaseException):
    """Simulates the crash of an operator between two of its writes."""


def crash_before(kind: str, phase: str = ''):
    """Return a hook that crashes the operator before a write of `kind`."""

    async def before_write(write: platform.Write) -> None:
        if write.kind == kind and write.value.get('phase', phase) == phase:
            raise Crash

    return before_write


def claimed_names(site: builders.Site) -> list[str]:
    """Return the claim names of active services, once for each service."""
    found = []
    for stored in site.table.listing(documents.SERVICE_KIND).objects:
        document = documents.parse_service(stored.name, stored.value)
        if document.phase is documents.ServicePhase.ACTIVE:
            found.extend(claims.claim_names(document))
    return sorted(found)


class ClaimTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.site = builders.Site()

    def assert_refused(self, outcome, place):
        self.assertIsInstance(outcome, operator.Refused)
        self.assertEqual(
            [place], sorted({item.place for item in outcome.findings})
        )

    async def race(self, wrap_transport=builders.identity):
        site = builders.Site(wrap_transport)
        changes = [
            builders.creation(ORDER_DESK, 8001, (9001,)),
            builders.creation(QUOTE_BENCH, 8001, (9002,)),
        ]
        operators = []
        for seed in (1, 2):
            editor, transport = site.new_operator(seed)
            transport.before_write = builders.yield_to_other_operators
            operators.append(editor)
        outcomes = await asyncio.gather(
            *(
                editor.execute(change)
                for editor, change in zip(operators, changes, strict=True)
            )
        )
        return site, outcomes

    async def test_racing_services_do_not_share_an_address(self):
        """Guards against two services that hold one address after a race."""
        site, outcomes = await self.race()
        accepted = [
            item for item in outcomes if isinstance(item, operator.Accepted)
        ]
        self.assertGreaterEqual(1, len(accepted))
        self.assertEqual(sorted(set(claimed_names(site))), claimed_names(site))

    async def test_unconditional_writes_share_an_address(self):
        """Guards against a race test that unconditional writes would pass."""
        site, _ = await self.race(naive_operator.UnconditionalTransport)
        self.assertNotEqual(
            sorted(set(claimed_names(site))), claimed_names(site)
        )

    async def test_address_in_use_is_refused_and_named_in_the_finding(self):
        """Guards against taking over the address of an active service."""
        editor = self.site.editor()
        await editor.execute(builders.creation(ORDER_DESK, 8001, (9001,)))
        for port, ports, place in (
            (8001, (9002,), '127.0.0.1:8001'),
            (8002, (9001,), '127.0.0.1:9001'),
            (9001, (9002,), '127.0.0.1:9001'),
        ):
            with self.subTest(port=port, ports=ports):
                outcome = await editor.execute(
                    builders.creation(QUOTE_BENCH, port, ports)
                )
                self.assert_refused(outcome, place)
        # The claims of the refused creations have been released.
        outcome = await editor.execute(
            builders.creation(QUOTE_BENCH, 8002, (9002,))
        )
        self.assertIsInstance(outcome, operator.Accepted)

    async def test_reuse_waits_until_the_data_centre_confirms_removal(self):
        """Guards against packets of the old service that reach the new one."""
        editor = self.site.editor()
        await editor.execute(builders.creation(ORDER_DESK, 8001, (9001, 9002)))
        await editor.execute(builders.creation(QUOTE_BENCH, 8002, (9003,)))
        await editor.execute(builders.drain(9001))
        removed = await editor.execute(builders.removal(9001))
        self.site.confirm(removed.version - 1)
        self.site.confirm(removed.version + 100, 'kgn-b')
        reuse = builders.addition(9001, QUOTE_BENCH)
        self.assert_refused(await editor.execute(reuse), '127.0.0.1:9001')
        self.site.confirm(removed.version)
        outcome = await editor.execute(reuse)
        self.assertIsInstance(outcome, operator.Accepted)

    async def test_service_can_reuse_its_own_address_at_once(self):
        """Guards against a reuse check that blocks re-adding an upstream."""
        editor = self.site.editor()
        await editor.execute(builders.creation(ORDER_DESK, 8001, (9001, 9002)))
        await editor.execute(builders.drain(9001))
        await editor.execute(builders.removal(9001))
        outcome = await editor.execute(builders.addition(9001))
        self.assertIsInstance(outcome, operator.Accepted)

    async def test_reuse_waits_for_all_data_centres_of_an_address(
        self,
    ):
        """Guards against a renewed claim that drops earlier data centres."""
        editor = self.site.editor()
        await editor.execute(builders.creation(ORDER_DESK, 8001, (9001, 9002)))
        await editor.execute(builders.creation(QUOTE_BENCH, 8002, (9003,)))
        for change in (
            builders.drain(9001),
            builders.removal(9001),
            builders.addition(9001, data_centre='kgn-b'),
            builders.drain(9001),
            builders.removal(9001),
        ):
            outcome = await editor.execute(change)
            self.assertIsInstance(outcome, operator.Accepted)
        self.site.confirm(outcome.version, 'kgn-b')
        reuse = builders.addition(9001, QUOTE_BENCH)
        self.assert_refused(await editor.execute(reuse), '127.0.0.1:9001')
        self.site.confirm(outcome.version, 'kgn-a')
        outcome = await editor.execute(reuse)
        self.assertIsInstance(outcome, operator.Accepted)

    async def test_failed_change_keeps_a_claim_that_another_relies_on(self):
        """Guards against releasing a claim that a concurrent change uses."""
        editor = self.site.editor()
        await editor.execute(builders.creation(ORDER_DESK, 8001, (9001,)))
        await editor.execute(builders.creation(QUOTE_BENCH, 8002, (9003,)))
        first, first_transport = self.site.new_operator(2)
        second, second_transport = self.site.new_operator(3)
        claimed, failed = asyncio.Event(), asyncio.Event()

        async def pause(write):
            if write.kind == documents.SERVICE_KIND:
                claimed.set()
                await failed.wait()

        async def fail(write):
            if write.kind == documents.SERVICE_KIND:
                raise platform.Unavailable

        first_transport.before_write = pause
        second_transport.before_write = fail
        change = builders.addition(9002)
        task = asyncio.create_task(first.execute(change))
        await claimed.wait()
        refused = await second.execute(change)
        self.assertEqual('platform', refused.findings[0].place)
        failed.set()
        self.assertIsInstance(await task, operator.Accepted)
        reuse = builders.addition(9002, QUOTE_BENCH)
        self.assert_refused(await editor.execute(reuse), '127.0.0.1:9002')

    async def test_change_of_a_stale_version_does_not_overwrite_a_claim(self):
        """Guards against a claim that appears abandoned while it is in use."""
        editor = self.site.editor()
        created = await editor.execute(
            builders.creation(ORDER_DESK, 8001, (9001,))
        )
        stale, stale_transport = self.site.new_operator(2)
        fresh, fresh_transport = self.site.new_operator(3)
        at_claim, at_service = asyncio.Event(), asyncio.Event()
        resume_claim, resume_service = asyncio.Event(), asyncio.Event()

        async def pause_at_claim(write):
            if write.expected_version is None:
                at_claim.set()
                await resume_claim.wait()

        async def pause_at_service(write):
            if write.kind == documents.SERVICE_KIND:
                at_service.set()
                await resume_service.wait()

        stale_transport.before_write = pause_at_claim
        fresh_transport.before_write = pause_at_service
        change = builders.addition(9002, expected_version=created.version)
        old = asyncio.create_task(stale.execute(change))
        await at_claim.wait()
        await editor.execute(
            operator.ChangePolicy(name=ORDER_DESK, fields={'queue_limit': 3})
        )
        new = asyncio.create_task(fresh.execute(builders.addition(9002)))
        await at_service.wait()
        resume_claim.set()
        self.assertIsInstance(await old, operator.Conflicted)
        self.site.confirm(self._collection_version() + 100)
        reuse = builders.creation(QUOTE_BENCH, 9002, (9003,))
        self.assert_refused(await editor.execute(reuse), '127.0.0.1:9002')
        resume_service.set()
        self.assertIsInstance(await new, operator.Accepted)

    async def test_crash_before_retirement_still_blocks_reuse(self):
        """Guards against early reuse when a claim was not retired."""
        editor, transport = self.site.new_operator()
        await editor.execute(builders.creation(ORDER_DESK, 8001, (9001, 9002)))
        await editor.execute(builders.creation(QUOTE_BENCH, 8002, (9003,)))
        drained = await editor.execute(builders.drain(9001))
        self.site.confirm(drained.version)
        transport.before_write = crash_before(documents.CLAIM_KIND)
        with self.assertRaises(Crash):
            await editor.execute(builders.removal(9001))
        transport.before_write = None
        self.assertNotIn('127.0.0.1-9001', claimed_names(self.site))
        reuse = builders.addition(9001, QUOTE_BENCH)
        self.assert_refused(await editor.execute(reuse), '127.0.0.1:9001')
        self.site.confirm(self.site.service().version)
        outcome = await editor.execute(reuse)
        self.assertIsInstance(outcome, operator.Accepted)

    async def test_crash_during_creation_is_cleaned_up(self):
        """Guards against names and addresses that a crash blocks forever."""
        editor, transport = self.site.new_operator()
        transport.before_write = crash_before(
            documents.SERVICE_KIND, documents.ServicePhase.ACTIVE.value
        )
        with self.assertRaises(Crash):
            await editor.execute(builders.creation(ORDER_DESK, 8001, (9001,)))
        transport.before_write = None
        other = builders.creation(QUOTE_BENCH, 8001, (9002,))
        self.assert_refused(await editor.execute(other), '127.0.0.1:8001')
        again = builders.creation(ORDER_DESK, 8002, (9003,))
        self.assertIsInstance(await editor.execute(again), operator.Conflicted)
        self.site.clock.advance(claims.ABANDONED_AFTER)
        refused = await editor.execute(other)
        self.assertIn('must reach', refused.findings[0].message)
        self.site.confirm(self._collection_version())
        outcome = await editor.execute(other)
        self.assertIsInstance(outcome, operator.Accepted)
        outcome = await editor.execute(again)
        self.assertIsInstance(outcome, operator.Accepted)

    def _collection_version(self):
        return self.site.table.listing(documents.SERVICE_KIND).version

    async def test_paused_creation_conflicts_once_claims_are_retired(
        self,
    ):
        """Guards against a paused operator that resumes with lost claims."""
        paused, resumed = asyncio.Event(), asyncio.Event()
        editor, transport = self.site.new_operator(2)

        async def pause(write):
            if write.value.get('phase') == 'active':
                paused.set()
                await resumed.wait()

        transport.before_write = pause
        task = asyncio.create_task(
            editor.execute(builders.creation(ORDER_DESK, 8001, (9001,)))
        )
        await paused.wait()
        self.site.clock.advance(claims.ABANDONED_AFTER)
        other = self.site.editor(3)
        reuse = builders.creation(QUOTE_BENCH, 8001, (9002,))
        await other.execute(reuse)
        self.site.confirm(self._collection_version())
        outcome = await other.execute(reuse)
        self.assertIsInstance(outcome, operator.Accepted)
        resumed.set()
        self.assertIsInstance(await task, operator.Conflicted)
        self.assertEqual(
            sorted(set(claimed_names(self.site))), claimed_names(self.site)
        )

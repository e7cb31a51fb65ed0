"""Which evidence of a host goes into its reports."""

import unittest

from acaciamoor import evidence
from acaciamoor.evidence.tests import builders

load = builders.load


class ReportFilterTest(unittest.TestCase):
    def setUp(self):
        self.filter = evidence.ReportFilter()

    def apply(self, *loads, in_contact=True, now=builders.SECOND):
        """Return the unanswered openings in the report, by upstream."""
        found = self.filter.apply(builders.report(*loads), in_contact, now)
        return {item.upstream_id: item.unanswered for item in found.upstreams}

    def healthy(self):
        return [load(f'desk-{n}', finished=3) for n in range(5)]

    def test_silence_of_one_upstream_is_reported(self):
        """Guards against a filter that hides all failures."""
        found = self.apply(*self.healthy(), load('desk-9', unanswered=1))
        self.assertEqual(1, found['desk-9'])

    def test_host_that_is_cut_from_the_store_is_not_heard(self):
        """Guards against a host that tries upstreams which are gone."""
        found = self.apply(
            *self.healthy(), load('desk-9', unanswered=1), in_contact=False
        )
        self.assertEqual({0}, set(found.values()))

    def test_host_whose_own_link_fails_is_not_heard(self):
        """Guards against one bad link that condemns all upstreams."""
        self.apply(*self.healthy(), now=builders.SECOND)
        for number in range(1, 20):
            found = self.apply(
                load(f'desk-{number % 5}', unanswered=1),
                now=builders.SECOND * (1 + 0.2 * number),
            )
            if number > 3:
                self.assertEqual({0}, set(found.values()), number)

    def test_host_is_heard_again_after_its_link_is_back(self):
        """Guards against a host that stays out for good."""
        self.apply(*(load(f'desk-{n}', unanswered=1) for n in range(5)))
        found = self.apply(
            *self.healthy(),
            load('desk-9', unanswered=1),
            now=3.5 * builders.SECOND,
        )
        self.assertEqual(1, found['desk-9'])

    def test_host_that_heard_nothing_is_not_heard(self):
        """Guards against a host that starts behind a broken link."""
        self.assertEqual({'desk-1': 0}, self.apply(load(unanswered=1)))

    def test_host_counts_once_for_each_upstream(self):
        """Guards against one host that outvotes all others."""
        for hosts in (1, 12):
            lying = builders.report(
                load(unanswered=1 << 31, finished=1), hosts=hosts
            )
            (found,) = evidence.limit_unanswered(lying).upstreams
            self.assertEqual(
                (hosts, hosts), (found.unanswered, found.openings)
            )

    def test_host_counts_once_however_often_it_names_an_upstream(self):
        """Guards against a host that repeats its evidence in one report."""
        lying = builders.report(
            load('desk-2', finished=3), *[load(unanswered=1)] * 50
        )
        found = evidence.limit_unanswered(lying)
        self.assertEqual(1, sum(item.unanswered for item in found.upstreams))
        self.assertEqual(3, found.upstreams[0].finished)

    def test_openings_of_a_host_at_fault_are_no_answers(self):
        """Guards against silence that ends since a host hides its part."""
        self.apply(*self.healthy())
        found = self.filter.apply(
            builders.report(
                load('desk-9', openings=1), load(finished=3, openings=2)
            ),
            False,
            builders.SECOND,
        )
        self.assertEqual([0, 2], [item.openings for item in found.upstreams])

    def test_single_lying_host_does_not_take_away_a_used_upstream(self):
        """Guards against false reports about upstreams that answer."""
        judge = builders.Judge()
        lie = evidence.limit_unanswered(
            builders.report(load(unanswered=1 << 31))
        ).upstreams[0]
        judge.receive(
            load(
                unanswered=lie.unanswered,
                openings=lie.openings + 4,
                finished=7,
            ),
            times=50,
        )
        self.assertFalse(judge.avoided())


if __name__ == '__main__':
    unittest.main()

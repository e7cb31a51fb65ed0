"""Computation and lookup of routing tokens."""

import random
import unittest
from unittest import mock

from acaciamoor import tokens
from acaciamoor.tokens import token as token_module

ADDRESS = (0xC6120001, 443)
OTHER_ADDRESS = (0xC6120001, 8443)


class TokenTest(unittest.TestCase):
    def test_tokens_do_not_depend_on_the_order_of_upstreams(self):
        """Guards against flows that change upstreams between hosts."""
        ids = [f'desk-{number}' for number in range(50)]
        shuffled = list(ids)
        random.Random(3).shuffle(shuffled)
        first = tokens.TokenIndex(ADDRESS, ids)
        second = tokens.TokenIndex(ADDRESS, shuffled)
        for upstream_id in ids:
            token = first.token_of(upstream_id)
            self.assertEqual(token, second.token_of(upstream_id))
            self.assertEqual(upstream_id, second.find(token))

    def test_collision_is_resolved_regardless_of_order(self):
        """Guards against splitting the flows of one token."""
        with mock.patch.object(
            token_module, 'compute_token', lambda upstream_id, address: 7
        ):
            first = tokens.TokenIndex(ADDRESS, ['desk-2', 'desk-1'])
            second = tokens.TokenIndex(ADDRESS, ['desk-1', 'desk-2'])
        for index in (first, second):
            self.assertEqual('desk-1', index.find(7))
            self.assertIsNone(index.token_of('desk-2'))

    def test_token_of_another_address_is_unknown(self):
        """Guards against callers that reuse the token of another address."""
        index = tokens.TokenIndex(ADDRESS, ['desk-1'])
        foreign = tokens.compute_token('desk-1', OTHER_ADDRESS)
        self.assertIsNone(index.find(foreign))

    def test_random_tokens_are_unknown(self):
        """Guards against callers that guess tokens."""
        index = tokens.TokenIndex(
            ADDRESS, [f'desk-{number}' for number in range(100)]
        )
        rng = random.Random(5)
        found = [index.find(rng.getrandbits(32)) for _ in range(20_000)]
        self.assertEqual({None}, set(found))

    def test_no_upstream_has_the_value_for_no_token(self):
        """Guards against flows whose packets seem to carry no token."""
        with mock.patch.object(
            token_module.xxhash, 'xxh32_intdigest', lambda data: 0
        ):
            token = tokens.compute_token('desk-1', ADDRESS)
        self.assertNotEqual(tokens.NO_TOKEN, token)


if __name__ == '__main__':
    unittest.main()

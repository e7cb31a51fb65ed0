"""Routing tokens that every host computes alike."""

import random
import unittest
from unittest import mock

from acaciamoor import tokens
from acaciamoor.tokens import token as token_module

ADDRESS = (0xC6120001, 443)
OTHER_ADDRESS = (0xC6120001, 8443)


class TokenTest(unittest.TestCase):
    def test_hosts_agree_whatever_order_they_learned_in(self):
        """Guards against a flow that changes its upstream with its host."""
        ids = [f'desk-{number}' for number in range(50)]
        shuffled = list(ids)
        random.Random(3).shuffle(shuffled)
        first = tokens.TokenIndex(ADDRESS, ids)
        second = tokens.TokenIndex(ADDRESS, shuffled)
        for upstream_id in ids:
            token = first.token_of(upstream_id)
            self.assertEqual(token, second.token_of(upstream_id))
            self.assertEqual(upstream_id, second.find(token))

    def test_collision_is_resolved_alike(self):
        """Guards against two upstreams that share the flows of one token."""
        with mock.patch.object(
            token_module, 'flow_token', lambda upstream_id, address: 7
        ):
            first = tokens.TokenIndex(ADDRESS, ['desk-2', 'desk-1'])
            second = tokens.TokenIndex(ADDRESS, ['desk-1', 'desk-2'])
        for index in (first, second):
            self.assertEqual('desk-1', index.find(7))
            self.assertIsNone(index.token_of('desk-2'))

    def test_token_of_another_address_names_nothing(self):
        """Guards against a caller that copies a token it saw elsewhere."""
        index = tokens.TokenIndex(ADDRESS, ['desk-1'])
        stolen = tokens.flow_token('desk-1', OTHER_ADDRESS)
        self.assertIsNone(index.find(stolen))

    def test_invented_tokens_name_nothing(self):
        """Guards against a caller that writes any number."""
        index = tokens.TokenIndex(
            ADDRESS, [f'desk-{number}' for number in range(100)]
        )
        rng = random.Random(5)
        found = [index.find(rng.getrandbits(32)) for _ in range(20_000)]
        self.assertEqual({None}, set(found))

    def test_no_upstream_has_the_token_of_none(self):
        """Guards against opening packets that look like placed ones."""
        with mock.patch.object(
            token_module.xxhash, 'xxh32_intdigest', lambda data: 0
        ):
            token = tokens.flow_token('desk-1', ADDRESS)
        self.assertNotEqual(tokens.NO_TOKEN, token)


if __name__ == '__main__':
    unittest.main()

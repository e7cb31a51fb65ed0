"""Encoded sizes of messages, which the byte budget relies on."""

import unittest

from acaciamoor import flows
from acaciamoor import views
from acaciamoor import wire
import acaciamoor.balancer.core.compact as compact

NAME = 'n' * 32
# Key identifier and authentication code around every message.
AUTHENTICATION_BYTES = 32


class EncodedBytesTest(unittest.TestCase):
    def test_counted_size_is_an_upper_bound(self):
        """Guards against a codec change that exceeds the byte budget."""
        flow = 2**64 - 1
        version = views.ViewVersion(2**40, 2**40, 2**40)
        need = flows.ViewNeed(2**32 - 1, version)
        for message in (
            flows.PutRecords(NAME, 2**32 - 1, NAME, (flow,) * 120, True),
            flows.PutRecords(NAME, 1, NAME, (flow,)),
            flows.ViewNeeds(()),
            flows.ViewNeeds((need,) * 40),
        ):
            document = wire.Document(
                type(message).__name__, compact.pack(message)
            )
            data = wire.encode_peer_message(wire.PeerMessage(NAME, document))
            self.assertLessEqual(
                len(data) + AUTHENTICATION_BYTES, message.encoded_bytes
            )

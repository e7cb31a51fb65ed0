"""Builders of packets and forwarder cores for tests."""

import datetime
import random

from acaciamoor import forwarder
from acaciamoor import model
from acaciamoor.directory.tests import builders as directory_builders

ADDRESS = directory_builders.ADDRESS
CALLER = (0x64400007, 40001)
MS = datetime.timedelta(milliseconds=1)


def packet(
    *,
    opens: bool = False,
    ends: bool = False,
    from_upstream: bool = False,
    token: int = 0,
    sequence: int = 100,
    acknowledged: int = 0,
    length: int = 0,
    caller=CALLER,
    address=ADDRESS,
) -> forwarder.Packet:
    """Return a packet from a caller."""
    return forwarder.Packet(
        (*caller, *address),
        opens,
        ends,
        from_upstream,
        token,
        sequence,
        acknowledged,
        length,
    )


def core(directory, seed: int = 1) -> forwarder.ForwarderCore:
    """Return a core that uses `directory`, in the data centre kgn-a."""
    return forwarder.ForwarderCore(
        forwarder.CoreSettings(model.DataCentre('kgn-a')),
        directory,
        random.Random(seed),
    )

"""Limits of the flow router."""

import dataclasses

# Seconds that a record lives after its last refresh.
RECORD_TTL = 60
# Seconds after which a packet goes through both owners again. Packets of an
# open flow are at most 15 s apart, so its records are refreshed at least
# every 20 s and survive two lost keepalives.
REFRESH_INTERVAL = 5
# Seconds that a record stays after CLOSE, for packets that overtook it.
CLOSE_LINGER = 3
# Seconds that a pinned record lives. No packet refreshes it, and owners do
# not announce the end of its flow.
PINNED_TTL = 24 * 3600
# A record that expires later than this many seconds from now is pinned. Far
# above the life of other records, because scans take several ticks in which
# those are refreshed.
PINNED_LIFE = 3600
# Seconds after a change of members in which the third host of a chain is
# asked; by then every open flow was refreshed through its new owners.
HANDOVER_WINDOW = 60


@dataclasses.dataclass(frozen=True, slots=True)
class RouterSettings:
    """Settings of a `FlowRouter`.

    Parameters
    ----------
    control_bytes_per_second : int
        Byte budget of the messages that `FlowRouter.tick` returns, counted
        as encoded. Half of the 4 KB/s that a balancer may use; probes and
        configuration use the rest.
    """

    control_bytes_per_second: int = 2048

"""Settings and time limits of the flow router."""

import dataclasses

# Lifetime of a record after its last refresh.
RECORD_TTL_SECONDS = 60
# Time after a refresh until the next packet is forwarded through both owners
# again. Packets of an open flow are at most 15 s apart, so its records are
# refreshed at least every 20 s and survive two lost keepalives.
REFRESH_INTERVAL_SECONDS = 5
# Lifetime of a record after CLOSE, for packets that the CLOSE overtook.
CLOSE_LINGER_SECONDS = 3
# Lifetime of a pinned record. Packets of the flow do not refresh it until its
# last hour, and owners do not announce the end of the flow.
PINNED_TTL_SECONDS = 24 * 3600
# Records with more than this lifetime left are pinned. Far above the lifetime
# of other records, which may be refreshed during the several ticks of a scan.
PINNED_THRESHOLD_SECONDS = 3600
# Time after a membership change during which the third host of a chain is
# queried too; by its end every open flow is refreshed through its new owners.
HANDOVER_WINDOW_SECONDS = 60


@dataclasses.dataclass(frozen=True, slots=True)
class RouterSettings:
    """Settings of a `FlowRouter`.

    Parameters
    ----------
    control_bytes_per_second : int
        Budget for the messages that `FlowRouter.tick` returns, in encoded
        bytes per second. The default is half of the 4 KB/s that a balancer
        may use for control traffic; probes and configuration use the rest.
    """

    control_bytes_per_second: int = 2048

"""Limits of the flow router."""

import dataclasses


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

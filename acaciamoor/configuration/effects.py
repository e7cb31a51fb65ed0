"""Effects that the control plane requests from its caller."""

import dataclasses

from acaciamoor import model


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a control message to a peer.

    Parameters
    ----------
    host_id : HostId
        Receiving host.
    message : object
        Message of `acaciamoor.membership` or `acaciamoor.configuration`.
    """

    host_id: model.HostId
    message: object

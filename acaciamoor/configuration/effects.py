"""Effects of the control plane."""

import dataclasses

from acaciamoor import model


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a control message to a peer.

    Parameters
    ----------
    host_id : HostId
        Receiver.
    message : object
        A message of `acaciamoor.membership` or `acaciamoor.configuration`.
    """

    host_id: model.HostId
    message: object

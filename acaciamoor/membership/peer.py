"""Interface to the configuration of the host."""

import datetime
import typing

from acaciamoor import configuration
from acaciamoor.model import identifiers


class ConfigurationPeer(typing.Protocol):
    """What membership needs of the configuration: `ConfigurationStore`."""

    @property
    def fresh(self) -> bool:
        """Whether the configuration was confirmed recently."""

    @property
    def is_complete(self) -> bool:
        """Whether the host may announce itself as a member."""

    def digest(self) -> configuration.ConfigurationDigest:
        """Return the summary that probes carry."""

    def on_digest(
        self,
        sender: identifiers.HostId,
        digest: configuration.ConfigurationDigest,
        heard_at: datetime.timedelta | None,
    ) -> list[configuration.Send]:
        """Handle the summary of a peer."""

    def on_pause(self) -> None:
        """Forget confirmations after a pause of the process."""

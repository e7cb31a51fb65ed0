"""Interface to the configuration of this host."""

import datetime
import typing

from acaciamoor import configuration
from acaciamoor.model import identifiers


class LocalConfiguration(typing.Protocol):
    """Part of `ConfigurationStore` that membership uses."""

    @property
    def fresh(self) -> bool:
        """Whether the configuration was recently confirmed as the newest."""

    @property
    def is_complete(self) -> bool:
        """Whether the host may announce itself as a member."""

    def digest(self) -> configuration.ConfigurationDigest:
        """Return the digest that probes carry."""

    def on_digest(
        self,
        sender: identifiers.HostId,
        digest: configuration.ConfigurationDigest,
        created_after: datetime.timedelta | None,
    ) -> list[configuration.Send]:
        """Handle the digest of a peer."""

    def on_pause(self) -> None:
        """Discard confirmations after a pause of the process."""

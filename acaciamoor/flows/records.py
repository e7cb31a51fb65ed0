"""Compact table of flows that differ from the default."""


class FlowRecords:
    """Open-addressing table from flow to upstream index and expiry."""

    def get(self, flow: int, now: int) -> int | None:
        """Return the upstream index of `flow`, or None without a record."""
        raise NotImplementedError

    def put(self, flow: int, upstream: int, expires: int) -> None:
        """Store the record of `flow`, replacing an older one."""
        raise NotImplementedError

    def remove(self, flow: int) -> bool:
        """Delete the record of `flow`; return whether there was one."""
        raise NotImplementedError

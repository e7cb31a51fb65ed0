"""Baseline: platform transport with unconditional writes.

Every write overwrites the stored object, and a lost response is reported as a
failure without effect. A client that does read-modify-write without
concurrency control behaves like this.
"""

import collections.abc

import msgspec

import acaciamoor.platform as platform


class UnconditionalTransport:
    """Transport whose writes succeed at any version of the object.

    Parameters
    ----------
    transport : Transport
        Transport that sends the requests.
    """

    def __init__(self, transport: platform.Transport) -> None:
        self._transport = transport

    async def read(self, kind: str, name: str) -> platform.StoredObject:
        """Return an object."""
        return await self._transport.read(kind, name)

    async def read_all(
        self, kind: str, selector: platform.FieldSelector | None = None
    ) -> platform.Listing:
        """Return all objects of a kind."""
        return await self._transport.read_all(kind, selector)

    async def write(self, write: platform.Write) -> platform.StoredObject:
        """Write an object, expecting whichever version is stored."""
        while True:
            version = await self._current_version(write)
            current = msgspec.structs.replace(write, expected_version=version)
            try:
                return await self._transport.write(current)
            except (platform.Conflict, platform.NotFound):
                continue
            except platform.OutcomeUnknown as error:
                raise platform.Unavailable(str(error)) from error

    async def remove(
        self, kind: str, name: str, expected_version: int
    ) -> None:
        """Delete an object at `expected_version`."""
        await self._transport.remove(kind, name, expected_version)

    def stream(
        self, kind: str, after_version: int
    ) -> collections.abc.AsyncIterator[platform.WatchEvent]:
        """Yield changes until the connection closes."""
        return self._transport.stream(kind, after_version)

    async def _current_version(self, write: platform.Write) -> int | None:
        try:
            stored = await self._transport.read(write.kind, write.name)
        except platform.NotFound:
            return None
        return stored.version

"""Object store that handles lost responses and resumes watches."""

import collections
import collections.abc
import random
import uuid

import msgspec

from acaciamoor.platform import backoff as backoffs
from acaciamoor.platform import errors
from acaciamoor.platform import objects
from acaciamoor.platform import resolution
from acaciamoor.platform import watching

# Attempts to resolve a lost response before the outcome is reported as
# unknown. With the default backoff they take about one second if every request
# fails immediately.
MAX_ATTEMPTS = 5
# Known objects without their values, which may have 1 MB each.
_MAX_KNOWN_OBJECTS = 1024


class PlatformStore:
    """`ObjectStore` on top of a `Transport`.

    A write whose response was lost is retried with the same expected version
    and the same change identifier, so that it takes effect at most once. The
    changes stored with an object show whether an attempt took effect, even if
    other writes followed. This fails if an object is deleted and created
    again under the same name; therefore a deleted service is kept as a
    tombstone.

    Parameters
    ----------
    transport : Transport
        Sends the requests.
    random_source : random.Random
        Source of change identifiers and of backoff jitter.
    sleep : Callable
        Waits for the delay between attempts.
    """

    def __init__(
        self,
        transport: objects.Transport,
        random_source: random.Random | None = None,
        sleep: backoffs.Sleep = backoffs.sleep,
    ) -> None:
        self._transport = transport
        self._random = random_source or random.SystemRandom()
        self._sleep = sleep
        # An update needs the version of an object and its latest changes.
        self._known_objects: collections.OrderedDict[
            tuple[str, str], objects.StoredObject
        ] = collections.OrderedDict()

    async def get(self, kind: str, name: str) -> objects.StoredObject:
        """Return an object."""
        return self._remember(await self._transport.read(kind, name))

    async def list(
        self, kind: str, selector: objects.FieldSelector | None = None
    ) -> objects.Listing:
        """Return the objects that match `selector`, or all of a kind."""
        return await self._transport.read_all(kind, selector)

    async def create(
        self, kind: str, name: str, value: objects.Value
    ) -> objects.StoredObject:
        """Create an object that does not exist yet.

        Raises
        ------
        Conflict
            If the object exists.
        """
        return await self._write(kind, name, value, None)

    async def update(
        self,
        kind: str,
        name: str,
        value: objects.Value,
        expected_version: int,
    ) -> objects.StoredObject:
        """Replace an object at `expected_version`.

        Raises
        ------
        Conflict
            If the object has a different version.
        """
        base = await self._read_base(kind, name, expected_version)
        return await self._write(kind, name, value, base)

    async def delete(
        self, kind: str, name: str, expected_version: int
    ) -> None:
        """Delete an object at `expected_version`.

        The deletion succeeds if the object does not exist, whoever deleted
        it: after a lost response the deletions cannot be told apart.
        """
        backoff = backoffs.Backoff(self._random)
        may_be_applied = False
        for _ in range(MAX_ATTEMPTS):
            try:
                await self._transport.remove(kind, name, expected_version)
                return
            except errors.NotFound:
                return
            except errors.Conflict:
                stored = await self._get_ignoring_errors(kind, name)
                if may_be_applied and stored is None:
                    raise errors.OutcomeUnknown(name) from None
                raise errors.Conflict(name, stored) from None
            except errors.OutcomeUnknown:
                may_be_applied = True
            except (errors.RateLimited, errors.Unavailable):
                if not may_be_applied:
                    raise
            await self._sleep(backoff.next_delay())
        raise errors.OutcomeUnknown(name)

    def watch(
        self, kind: str, after_version: int
    ) -> collections.abc.AsyncIterator[objects.WatchEvent]:
        """Yield events after `after_version` indefinitely.

        With version 0, the watch starts with all objects that exist.
        """
        watch = watching.ResumingWatch(
            self._transport,
            kind,
            after_version,
            backoffs.Backoff(self._random),
            self._sleep,
        )
        return watch.events()

    async def _write(
        self,
        kind: str,
        name: str,
        value: objects.Value,
        base: objects.StoredObject | None,
    ) -> objects.StoredObject:
        change_id = uuid.UUID(int=self._random.getrandbits(128), version=4)
        write = objects.Write(
            kind,
            name,
            value,
            resolution.prepend_change(base, change_id.hex),
            None if base is None else base.version,
        )
        try:
            return self._remember(await self._transport.write(write))
        except errors.Conflict:
            return self._remember(await self._resolve_conflict(write))
        except errors.OutcomeUnknown:
            return self._remember(
                await self._resolve_lost_response(write, base)
            )

    async def _resolve_conflict(
        self, write: objects.Write
    ) -> objects.StoredObject:
        stored = await self._get_ignoring_errors(write.kind, write.name)
        # The HTTP client or a proxy may retry an update by itself; the second
        # copy then conflicts with the first one.
        if stored is not None and resolution.includes_write(stored, write):
            return resolution.object_as_written(write, stored)
        if stored is None and write.expected_version is not None:
            raise errors.OutcomeUnknown(
                f'{write.name}: cannot read the object after a conflict'
            )
        raise errors.Conflict(write.name, stored)

    async def _resolve_lost_response(
        self, write: objects.Write, base: objects.StoredObject | None
    ) -> objects.StoredObject:
        backoff = backoffs.Backoff(self._random)
        for _ in range(MAX_ATTEMPTS):
            await self._sleep(backoff.next_delay())
            try:
                found = await self._read_if_exists(write.kind, write.name)
            except (errors.RateLimited, errors.Unavailable):
                continue
            outcome = resolution.determine_outcome(write, base, found)
            if outcome is not resolution.WriteOutcome.NOT_APPLIED_YET:
                return resolution.result_of(outcome, write, found)
            # An unchanged object is no proof, because the first request may
            # still be in flight. Retrying the conditional write settles the
            # outcome: only one of the requests can take effect.
            try:
                return await self._transport.write(write)
            except (
                errors.Conflict,
                errors.OutcomeUnknown,
                errors.RateLimited,
                errors.Unavailable,
            ):
                continue
        raise errors.OutcomeUnknown(
            f'{write.name}: the response was lost and the outcome of the '
            'write could not be resolved'
        )

    async def _read_base(
        self, kind: str, name: str, expected_version: int
    ) -> objects.StoredObject:
        """Return an object at `expected_version`, perhaps without its value.

        Only its version and its changes are of use.
        """
        base = self._known_objects.get((kind, name))
        if base is None or base.version != expected_version:
            base = await self.get(kind, name)
        if base.version < expected_version:
            raise errors.Unavailable(
                f'{name}: the platform returned version {base.version}, '
                f'which is older than {expected_version}'
            )
        if base.version != expected_version:
            raise errors.Conflict(name, base)
        return base

    async def _read_if_exists(
        self, kind: str, name: str
    ) -> objects.StoredObject | None:
        try:
            return await self._transport.read(kind, name)
        except errors.NotFound:
            return None

    async def _get_ignoring_errors(
        self, kind: str, name: str
    ) -> objects.StoredObject | None:
        try:
            return await self.get(kind, name)
        except errors.StoreError:
            return None

    def _remember(self, stored: objects.StoredObject) -> objects.StoredObject:
        key = (stored.kind, stored.name)
        self._known_objects[key] = msgspec.structs.replace(stored, value={})
        self._known_objects.move_to_end(key)
        if len(self._known_objects) > _MAX_KNOWN_OBJECTS:
            self._known_objects.popitem(last=False)
        return stored

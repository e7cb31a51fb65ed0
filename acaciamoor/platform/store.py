"""Object store that resolves lost replies and resumes watches."""

import collections
import collections.abc
import random
import uuid

from acaciamoor.platform import backoff as backoffs
from acaciamoor.platform import errors
from acaciamoor.platform import objects
from acaciamoor.platform import resolution
from acaciamoor.platform import watching

# Attempts to write and to read back before an outcome stays unknown. With the
# default backoff they take about one second when every call fails at once.
ATTEMPTS = 5
_CACHED_OBJECTS = 1024


class PlatformStore:
    """`ObjectStore` on top of single calls.

    A write whose reply was lost is repeated under the same condition and with
    the same change identifier, so that it takes effect at most once. The
    changes that are stored with an object tell whether an attempt took
    effect, even if other writes followed. Objects whose creation must be
    resolvable are not deleted by name and created again; services end as
    tombstones for this reason.

    Parameters
    ----------
    transport : Transport
        Makes the calls.
    random_source : random.Random
        Source of change identifiers and of jitter.
    sleep : Callable
        Waits between attempts.
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
        self._cache: collections.OrderedDict[
            tuple[str, str], objects.StoredObject
        ] = collections.OrderedDict()

    async def get(self, kind: str, name: str) -> objects.StoredObject:
        """Return an object."""
        return self._remember(await self._transport.read(kind, name))

    async def list(
        self, kind: str, selector: objects.FieldSelector | None = None
    ) -> objects.Listing:
        """Return the selected objects and the collection's version."""
        return await self._transport.read_all(kind, selector)

    async def create(
        self, kind: str, name: str, value: objects.Value
    ) -> objects.StoredObject:
        """Store an object that does not exist yet.

        Raises
        ------
        Conflict
            If it exists.
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
            If the object has another version.
        """
        base = await self._read_base(kind, name, expected_version)
        return await self._write(kind, name, value, base)

    async def delete(
        self, kind: str, name: str, expected_version: int
    ) -> None:
        """Delete an object at `expected_version`.

        The call succeeds if the object is gone, whoever deleted it: after a
        lost reply nobody can tell.
        """
        backoff = backoffs.Backoff(self._random)
        ambiguous = False
        for _ in range(ATTEMPTS):
            try:
                await self._transport.remove(kind, name, expected_version)
                return
            except errors.NotFound:
                return
            except errors.Conflict:
                winner = await self._try_read(kind, name)
                if ambiguous and winner is None:
                    raise errors.OutcomeUnknown(name) from None
                raise errors.Conflict(name, winner) from None
            except errors.OutcomeUnknown:
                ambiguous = True
            except (errors.RateLimited, errors.Unavailable):
                if not ambiguous:
                    raise
            await self._sleep(backoff.next_wait())
        raise errors.OutcomeUnknown(name)

    def watch(
        self, kind: str, after_version: int
    ) -> collections.abc.AsyncIterator[objects.WatchEvent]:
        """Yield changes after `after_version` for ever.

        After 0 the watch starts with all objects that exist.
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
            resolution.changes_after(base, change_id.hex),
            None if base is None else base.version,
        )
        try:
            return self._remember(await self._transport.write(write))
        except errors.Conflict:
            return self._remember(await self._after_conflict(write))
        except errors.OutcomeUnknown:
            return self._remember(await self._resolve(write, base))

    async def _after_conflict(
        self, write: objects.Write
    ) -> objects.StoredObject:
        winner = await self._try_read(write.kind, write.name)
        # The HTTP client or a proxy may repeat an update on its own; then it
        # conflicts with its own first copy.
        if winner is not None and resolution.contains(winner, write):
            return resolution.as_applied(write, winner)
        if winner is None and write.expected_version is not None:
            raise errors.OutcomeUnknown(
                f'{write.name}: the object cannot be read after a conflict'
            )
        raise errors.Conflict(write.name, winner)

    async def _resolve(
        self, write: objects.Write, base: objects.StoredObject | None
    ) -> objects.StoredObject:
        backoff = backoffs.Backoff(self._random)
        for _ in range(ATTEMPTS):
            await self._sleep(backoff.next_wait())
            try:
                found = await self._read_or_none(write.kind, write.name)
            except (errors.RateLimited, errors.Unavailable):
                continue
            verdict = resolution.judge(write, base, found)
            if verdict is not resolution.Verdict.NOT_YET:
                return resolution.conclude(verdict, write, found)
            # The first copy may still be under way, so an unchanged object
            # proves nothing. Repeating the conditional write does: only one
            # of the copies can take effect.
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
            f'{write.name}: the reply was lost and reading back failed'
        )

    async def _read_base(
        self, kind: str, name: str, expected_version: int
    ) -> objects.StoredObject:
        base = self._cache.get((kind, name))
        if base is None or base.version != expected_version:
            base = await self.get(kind, name)
        if base.version < expected_version:
            raise errors.Unavailable(
                f'{name}: the platform answers with version {base.version}, '
                f'older than {expected_version}'
            )
        if base.version != expected_version:
            raise errors.Conflict(name, base)
        return base

    async def _read_or_none(
        self, kind: str, name: str
    ) -> objects.StoredObject | None:
        try:
            return await self._transport.read(kind, name)
        except errors.NotFound:
            return None

    async def _try_read(
        self, kind: str, name: str
    ) -> objects.StoredObject | None:
        try:
            return await self.get(kind, name)
        except errors.StoreError:
            return None

    def _remember(self, stored: objects.StoredObject) -> objects.StoredObject:
        key = (stored.kind, stored.name)
        self._cache[key] = stored
        self._cache.move_to_end(key)
        if len(self._cache) > _CACHED_OBJECTS:
            self._cache.popitem(last=False)
        return stored

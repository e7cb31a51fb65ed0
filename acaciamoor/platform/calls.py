"""Transport for platforms with pages and waiting calls."""

import collections.abc
import datetime

import msgspec

from acaciamoor import model
from acaciamoor.platform import channel as channels
from acaciamoor.platform import dialect as dialects
from acaciamoor.platform import errors
from acaciamoor.platform import objects
from acaciamoor.platform import statuses

# Idle connections that are kept: one for each watch and one for the rest.
_IDLE_CHANNELS = 3


class CallSettings(msgspec.Struct, frozen=True):
    """Limits for calls.

    Parameters
    ----------
    call : datetime.timedelta
        Time for an answer, beyond the time that the call asks to wait.
    wait : datetime.timedelta
        Time for which a call waits for changes.
    channel : ChannelSettings
        How dead connections are noticed.
    """

    call: datetime.timedelta = datetime.timedelta(seconds=2)
    wait: datetime.timedelta = datetime.timedelta(seconds=2)
    channel: channels.ChannelSettings = msgspec.field(
        default_factory=channels.ChannelSettings
    )


class CallTransport:
    """`Transport` that waits for changes with one call after another.

    Parameters
    ----------
    address : Address
        Where the platform listens.
    dialect : Dialect
        How the platform spells calls.
    settings : CallSettings
        Limits for calls.

    Notes
    -----
    A write is sent on a connection of its own, since a kept connection that
    the platform closes while idle makes the outcome of a write unknown.
    """

    def __init__(
        self,
        address: model.Address,
        dialect: dialects.Dialect,
        settings: CallSettings | None = None,
    ) -> None:
        self._address = address
        self._dialect = dialect
        self._settings = settings or CallSettings()
        self._idle: list[channels.Channel] = []
        self._host_header = f'Host: {address}\r\n'

    def close(self) -> None:
        """Close all idle connections."""
        for channel in self._idle:
            channel.close()
        self._idle.clear()

    async def read(self, kind: str, name: str) -> objects.StoredObject:
        """Return an object."""
        body = await self._read(self._dialect.read(kind, name))
        return _understood(self._dialect.decode_stored, kind, body)

    async def read_all(
        self,
        kind: str,
        selector: objects.FieldSelector | None = None,
        stale: bool = False,
    ) -> objects.Listing:
        """Return the selected objects of a kind; all without a selector.

        The version is that of the first page: changes behind it are not lost
        to a watch that starts there.
        """
        found: list[objects.StoredObject] = []
        version = None
        after = ''
        while version is None or after:
            call = self._dialect.read_page(kind, after, stale)
            body = await self._read(call)
            page = _understood(self._dialect.decode_page, kind, body)
            version = page.version if version is None else version
            found.extend(page.objects)
            after = page.continue_after
        return objects.Listing(
            version,
            tuple(
                stored
                for stored in found
                if selector is None or selector.selects(stored.value)
            ),
        )

    async def write(self, write: objects.Write) -> objects.StoredObject:
        """Store a value under the condition of `write`."""
        body = await self._write(self._dialect.write(write))
        try:
            return self._dialect.decode_stored(write.kind, body)
        except ValueError as error:
            raise errors.OutcomeUnknown(f'malformed answer: {error}') from (
                error
            )

    async def remove(
        self, kind: str, name: str, expected_version: int
    ) -> None:
        """Remove an object at `expected_version`."""
        await self._write(self._dialect.remove(kind, name, expected_version))

    async def stream(
        self, kind: str, after_version: int
    ) -> collections.abc.AsyncIterator[objects.WatchEvent]:
        """Wait once for changes and yield them, then a bookmark."""
        settings = self._settings
        call = self._dialect.wait(kind, after_version, settings.wait)
        body = await self._read(call, settings.wait)
        changes = _understood(self._dialect.decode_changes, kind, body)
        for event in changes.events:
            yield event
        yield objects.WatchEvent(
            objects.EventType.BOOKMARK, max(changes.version, after_version)
        )

    async def _read(
        self,
        call: dialects.Call,
        wait: datetime.timedelta = datetime.timedelta(0),
    ) -> bytes:
        channel = self._idle.pop() if self._idle else await self._connect()
        answer = await self._ask(
            channel, call, wait + self._settings.call, errors.Unavailable
        )
        if len(self._idle) < _IDLE_CHANNELS:
            self._idle.append(channel)
        else:
            channel.close()
        return _body(answer, call, errors.Unavailable)

    async def _write(self, call: dialects.Call) -> bytes:
        channel = await self._connect()
        try:
            answer = await self._ask(
                channel, call, self._settings.call, errors.OutcomeUnknown
            )
        finally:
            channel.close()
        # Status 503 and 429 say that nothing was done.
        if answer.status == 503:
            raise errors.Unavailable(call.name)
        return _body(answer, call, errors.OutcomeUnknown)

    async def _connect(self) -> channels.Channel:
        channel = channels.Channel(self._address, self._settings.channel)
        try:
            await channel.connect()
        except TimeoutError as error:
            channel.close()
            raise errors.TimedOut('no connection in time') from error
        except OSError as error:
            channel.close()
            raise errors.Unavailable(f'connect: {error!r}') from error
        return channel

    async def _ask(
        self,
        channel: channels.Channel,
        call: dialects.Call,
        limit: datetime.timedelta,
        failure: type[errors.StoreError],
    ) -> channels.Answer:
        try:
            return await channel.call(self._encode(call), limit)
        except TimeoutError as error:
            channel.close()
            if failure is errors.Unavailable:
                failure = errors.TimedOut
            raise failure(f'{call.name}: no answer in {limit}') from error
        except OSError as error:
            channel.close()
            raise failure(f'{call.name}: {error!r}') from error
        except BaseException:
            channel.close()
            raise

    def _encode(self, call: dialects.Call) -> bytes:
        lines = f'{call.method} {call.target} HTTP/1.1\r\n{self._host_header}'
        if call.body or call.method != 'GET':
            lines += (
                'Content-Type: application/json\r\n'
                f'Content-Length: {len(call.body)}\r\n'
            )
        return lines.encode() + b'\r\n' + call.body


def _body(
    answer: channels.Answer,
    call: dialects.Call,
    failure: type[errors.StoreError],
) -> bytes:
    if answer.succeeded:
        return answer.body
    text = answer.body[:200].decode(errors='replace')
    raise statuses.error_for(
        answer.status, call.name, text, answer.retry_after, failure
    )


def _understood(
    decode: collections.abc.Callable, kind: str, body: bytes
) -> object:
    try:
        return decode(kind, body)
    except ValueError as error:
        raise errors.Unavailable(f'malformed answer: {error}') from error

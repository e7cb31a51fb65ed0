"""The platform's metadata store, as the users' page describes it."""

import asyncio
import collections
import json
import time
import urllib.parse

_MAX_PAGE_ITEMS = 500
_MAX_PAGE_BYTES = 1 << 20
_HISTORY_S = 20.0
_ANSWER_S = 0.004


class Store:
    """HTTP/1.1 server with objects by kind and name.

    Values are kept as the bytes that their writer sent: what another writer
    left need not be JSON.
    """

    def __init__(self, record) -> None:
        self._record = record
        self.revision = 100
        self._objects = collections.defaultdict(dict)
        self._events = []
        self._changed = asyncio.Condition()
        self._server = None
        self.address = ''

    async def start(self, ip: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.address = f'{ip}:{port}'

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def get(self, kind: str, name: str) -> bytes | None:
        """Return the value of an object; None if there is none."""
        found = self._objects[kind].get(name)
        return None if found is None else found[2]

    async def put(self, kind: str, name: str, value: bytes) -> float:
        """Create or replace an object; return the time of the ack."""
        self.revision += 1
        old = self._objects[kind].get(name)
        made = self.revision if old is None else old[1]
        item = (self.revision, made, value)
        self._objects[kind][name] = item
        await self._publish(kind, name, item, deleted=False)
        return time.monotonic()

    async def remove(self, kind: str, name: str) -> float:
        """Remove an object; return the time of the ack."""
        self.revision += 1
        item = self._objects[kind].pop(name)
        await self._publish(kind, name, item, deleted=True)
        return time.monotonic()

    async def _publish(self, kind, name, item, deleted) -> None:
        now = time.monotonic()
        self._events.append((now, self.revision, kind, name, item, deleted))
        while self._events[0][0] < now - _HISTORY_S:
            del self._events[0]
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                method, target = head.split(' ', 2)[:2]
                length = 0
                for line in head.lower().splitlines():
                    if line.startswith('content-length:'):
                        length = int(line.partition(':')[2])
                body = await reader.readexactly(length)
                await asyncio.sleep(_ANSWER_S)
                status, answer = await self._handle(method, target, body)
                writer.write(
                    f'HTTP/1.1 {status} -\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(answer)}\r\n\r\n'.encode()
                    + answer
                )
                await writer.drain()
        except (EOFError, OSError, asyncio.CancelledError):
            writer.close()

    async def _handle(self, method, target, body) -> tuple[int, bytes]:
        url = urllib.parse.urlsplit(target)
        parts = [urllib.parse.unquote(item) for item in url.path.split('/')]
        query = dict(urllib.parse.parse_qsl(url.query))
        kind, name = parts[2], '/'.join(parts[3:])
        if method == 'GET' and name:
            found = self._objects[kind].get(name)
            if found is None:
                return 404, b'{}'
            return 200, _encode(name, found)
        if method == 'GET' and 'Watch' in query:
            return await self._watch(kind, query)
        if method == 'GET':
            return 200, self._list(kind, query.get('after', ''))
        document = json.loads(body) if body else {}
        meta = document.get('meta', {})
        name = name or meta['Name']
        found = self._objects[kind].get(name)
        expected = int(meta.get('Revision') or query.get('Revision') or 0)
        if method == 'POST' and found is not None:
            return 409, _encode(name, found)
        if method != 'POST' and found is None:
            return 404, b'{}'
        if method != 'POST' and expected and expected != found[0]:
            return 409, _encode(name, found)
        if method == 'DELETE':
            await self.remove(kind, name)
            return 200, b'{}'
        value = json.dumps(document.get('spec')).encode()
        if found is None or found[2] != value:
            await self.put(kind, name, value)
        return 200, _encode(name, self._objects[kind][name])

    def _list(self, kind: str, after: str) -> bytes:
        names = sorted(item for item in self._objects[kind] if item > after)
        items, size = [], 0
        for name in names:
            item = _encode(name, self._objects[kind][name])
            if items and (
                len(items) == _MAX_PAGE_ITEMS
                or size + len(item) > _MAX_PAGE_BYTES
            ):
                break
            items.append(item)
            size += len(item)
        more = 'true' if len(items) < len(names) else 'false'
        return (
            b'{"items":['
            + b','.join(items)
            + f'],"HasMore":{more},"AsOf":{self.revision}}}'.encode()
        )

    async def _watch(self, kind, query) -> tuple[int, bytes]:
        after = int(query['Watch'])
        oldest = self._events[0][1] if self._events else self.revision
        if after < oldest - 1:
            return 410, b'{}'

        def find() -> list:
            return [
                event
                for event in self._events
                if event[1] > after and event[2] == kind
            ]

        async with self._changed:
            try:
                async with asyncio.timeout(int(query['WaitMs']) / 1000):
                    await self._changed.wait_for(find)
            except TimeoutError:
                pass
            events = b','.join(
                b'{"Deleted":'
                + (b'true' if deleted else b'false')
                + b',"Object":'
                + _encode(name, item)
                + b'}'
                for _, _, _, name, item, deleted in find()
            )
            return 200, (
                b'{"events":['
                + events
                + f'],"AsOf":{self.revision}}}'.encode()
            )


def _encode(name: str, item: tuple[int, int, bytes]) -> bytes:
    revision, made, value = item
    meta = {
        'Name': name,
        'Revision': revision,
        'CreateRev': made,
        'Finalizers': [],
        'Deleting': False,
    }
    return (
        b'{"meta":'
        + json.dumps(meta).encode()
        + b',"spec":'
        + value
        + b',"status":null}'
    )

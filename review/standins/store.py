"""The platform's store, and the paths of zones to it."""

import asyncio
import json
import time
import urllib.parse

PAGE_OBJECTS = 500
HISTORY_S = 20.0
MAX_WAIT_MS = 30_000
# Status report intervals of silence after which an entry is removed.
SILENT_INTERVALS = 3


class Store:
    """HTTP/1.1 server with the calls of the platform's store.

    Parameters
    ----------
    ip : str
        Address to listen on; the port is chosen.
    heartbeat_s : float
        Interval between two reports of a backend.
    record : callable
        Receives a line for each change.
    """

    def __init__(self, ip: str, heartbeat_s: float, record) -> None:
        self._ip = ip
        self._heartbeat_s = heartbeat_s
        self._record = record
        self.revision = 100
        self.objects: dict[str, dict[str, dict]] = {}
        self._events: list[tuple[float, int, str, dict]] = []
        self._discarded = 0
        self._changed = asyncio.Condition()
        self._reported_at: dict[str, float] = {}
        # Monotonic times of the acknowledged changes, by backend.
        self.gone_at: dict[str, float] = {}
        self.draining_at: dict[str, float] = {}
        self._raw_specs: dict[str, bytes] = {}
        self._server = None
        self._expiry = None

    async def start(self) -> tuple[str, int]:
        """Start listening and return the address."""
        self._server = await asyncio.start_server(self._serve, self._ip, 0)
        self._expiry = asyncio.create_task(self._expire())
        return self._server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        """Stop listening."""
        self._expiry.cancel()
        self._server.close()

    async def put(self, kind: str, name: str, spec: object) -> None:
        """Create or replace an object."""
        self.revision += 1
        old = self.objects.setdefault(kind, {}).get(name)
        created = old['meta']['CreateRev'] if old else self.revision
        self.objects[kind][name] = {
            'meta': {
                'Name': name,
                'Revision': self.revision,
                'CreateRev': created,
                'Finalizers': [],
                'Deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        await self._publish(kind, name, False)

    async def put_raw(self, kind: str, name: str, raw: bytes) -> None:
        """Store a value of another writer, byte by byte as it came."""
        self._raw_specs[name] = raw
        await self.put(kind, name, _raw_marker(name))
        self._record(f'store: another writer has written {name}: {raw!r}')

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        await self._publish(kind, name, True)
        del self.objects[kind][name]

    async def report(self, name: str, spec: dict) -> None:
        """Take the report of a backend."""
        now = time.monotonic()
        self._reported_at[name] = now
        old = self.objects.get('servers', {}).get(name)
        if old is not None and _without_sequence(old['spec']) == (
            _without_sequence(spec)
        ):
            return
        await self.put('servers', name, spec)
        self.gone_at.pop(name, None)
        if spec['State'] == 'draining':
            self.draining_at[name] = time.monotonic()
        self._record(f'store: entry {name} is {spec["State"]}')

    async def leave(self, name: str) -> None:
        """Remove the entry of a backend that has left."""
        self._reported_at.pop(name, None)
        if name in self.objects.get('servers', {}):
            await self.remove('servers', name)
            self.gone_at[name] = time.monotonic()
            self._record(f'store: entry {name} is removed')

    async def _expire(self) -> None:
        limit = SILENT_INTERVALS * self._heartbeat_s
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for name, at in list(self._reported_at.items()):
                if now - at > limit:
                    await self.leave(name)

    async def _publish(self, kind: str, name: str, deleted: bool) -> None:
        item = json.loads(json.dumps(self.objects[kind][name]))
        event = {'Object': item, 'Deleted': deleted}
        now = time.monotonic()
        self._events.append((now, self.revision, kind, event))
        while self._events[0][0] < now - HISTORY_S:
            self._discarded = self._events.pop(0)[1]
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                await self._handle_call(reader, writer)
        except (EOFError, OSError, asyncio.CancelledError):
            writer.close()

    async def _handle_call(self, reader, writer) -> None:
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        method, target = head.split(' ', 2)[:2]
        length = 0
        for line in head.lower().splitlines():
            if line.startswith('content-length:'):
                length = int(line.partition(':')[2])
        body = await reader.readexactly(length)
        url = urllib.parse.urlsplit(target)
        parts = [urllib.parse.unquote(p) for p in url.path.split('/')[2:]]
        query = dict(urllib.parse.parse_qsl(url.query))
        await asyncio.sleep(0.004)
        if method == 'GET' and 'Watch' in query:
            status, response = await self._watch(parts[0], query)
        elif method == 'GET' and len(parts) == 1:
            status, response = 200, self._list(parts[0], query)
        elif method == 'GET':
            found = self.objects.get(parts[0], {}).get(parts[1])
            status, response = (200, found) if found else (404, {})
        else:
            status, response = await self._write(method, parts, query, body)
        data = self.encode(response)
        writer.write(
            (
                f'HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n'
                f'Content-Length: {len(data)}\r\n\r\n'
            ).encode()
            + data
        )
        await writer.drain()

    def encode(self, response: dict) -> bytes:
        """Return the body of a response, with raw values as they came."""
        body = json.dumps(response).encode()
        for name, raw in self._raw_specs.items():
            body = body.replace(json.dumps(_raw_marker(name)).encode(), raw)
        return body

    def _list(self, kind: str, query: dict) -> dict:
        names = sorted(self.objects.get(kind, {}))
        after = query.get('after', '')
        names = [name for name in names if name > after]
        page = names[:PAGE_OBJECTS]
        return {
            'items': [self.objects[kind][name] for name in page],
            'HasMore': len(names) > len(page),
            'AsOf': self.revision,
        }

    async def _watch(self, kind: str, query: dict) -> tuple[int, dict]:
        after = int(query['Watch'])

        def find_events() -> list[dict]:
            return [
                event
                for _, revision, event_kind, event in self._events
                if event_kind == kind and revision > after
            ]

        if after < self._discarded:
            return 410, {}
        wait_s = min(int(query.get('WaitMs', 0)), MAX_WAIT_MS) / 1000
        async with self._changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(find_events)
            except TimeoutError:
                pass
            return 200, {'events': find_events(), 'AsOf': self.revision}

    async def _write(
        self, method: str, parts: list, query: dict, body: bytes
    ) -> tuple[int, dict]:
        kind = parts[0]
        document = json.loads(body) if body else {'meta': {}}
        name = parts[1] if len(parts) > 1 else document['meta']['Name']
        found = self.objects.get(kind, {}).get(name)
        if method == 'POST':
            if found is not None:
                return 409, found
        elif found is None:
            return 404, {}
        else:
            expected = query.get('Revision', document['meta'].get('Revision'))
            if expected and int(expected) != found['meta']['Revision']:
                return 409, found
        if method == 'DELETE':
            await self.remove(kind, name)
            return 200, found
        await self.put(kind, name, document['spec'])
        return 200, self.objects[kind][name]


def _raw_marker(name: str) -> str:
    return f'raw value of {name}'


def _without_sequence(spec: dict) -> dict:
    return {key: spec[key] for key in spec if key != 'Sequence'}


class StorePath:
    """Path between a machine and the store, which can be cut.

    Bytes that a cut holds up arrive after it, as on a real connection.

    Parameters
    ----------
    ip : str
        Address of the store as the machine sees it.
    store : tuple
        Address of the store.
    """

    def __init__(self, ip: str, store: tuple[str, int]) -> None:
        self._ip = ip
        self._store = store
        self._open = asyncio.Event()
        self._open.set()
        self._tasks: set[asyncio.Task] = set()
        self._server = None
        self.address = ('', 0)
        # Number of connections so far.
        self.connections = 0

    @property
    def is_cut(self) -> bool:
        """Whether the path is cut."""
        return not self._open.is_set()

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, self._ip, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def cut(self) -> None:
        """Stop forwarding, without notice to either end."""
        self._open.clear()

    def restore(self) -> None:
        """Forward again, first what was held up."""
        self._open.set()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        task = asyncio.current_task()
        self._tasks.add(task)
        writers = [writer]
        try:
            await self._open.wait()
            store_reader, store_writer = await asyncio.open_connection(
                *self._store
            )
            writers.append(store_writer)
            copies = [
                asyncio.create_task(self._copy(reader, store_writer)),
                asyncio.create_task(self._copy(store_reader, writer)),
            ]
            try:
                await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for copy in copies:
                    copy.cancel()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            for item in writers:
                item.close()

    async def _copy(self, reader, writer) -> None:
        try:
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass

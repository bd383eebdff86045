"""A stand-in for the platform's metadata store."""

import asyncio
import base64
import contextlib
import json
from urllib.parse import parse_qs, urlsplit


class Store:
    """Items with one revision counter, served as PROTOCOL.md says."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.events = []
        self.changed = asyncio.Event()
        self._servers = {}
        self._connections = {}

    async def start(self, address):
        """Listen on an address."""

        async def serve(reader, writer):
            self._connections.setdefault(address, []).append(writer)
            await self._serve(reader, writer)

        self._servers[address] = await asyncio.start_server(serve, *address)

    def stop(self, address):
        """Close an address and its connections."""
        self._servers.pop(address).close()
        for writer in self._connections.pop(address, []):
            writer.close()

    def put(self, key, document):
        """Write a document, or delete the item with None."""
        self.revision += 1
        event = {"key": key, "revision": self.revision, "deleted": True}
        if document is None:
            self.items.pop(key, None)
        else:
            created = self.items.get(key, {}).get("created", self.revision)
            value = base64.b64encode(json.dumps(document).encode()).decode()
            event = {"key": key, "value": value, "revision": self.revision}
            event |= {"created": created, "lease": 0}
            self.items[key] = event
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def get(self, key):
        """Return a document, None if there is none."""
        item = self.items.get(key)
        return item and json.loads(base64.b64decode(item["value"]))

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                url = urlsplit(head.split(b" ")[1].decode())
                query = {name: one[0] for name, one in parse_qs(url.query).items()}
                status, body = await self._answer(url.path, query)
                data = json.dumps(body).encode()
                text = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                text += f"Content-Length: {len(data)}\r\n\r\n"
                writer.write(text.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, query):
        prefix = query.get("prefix", "")
        if path == "/api/kv-range":
            keys = sorted(key for key in self.items if key.startswith(prefix))
            keys = [key for key in keys if key > query.get("after", "")]
            page = [self.items[key] for key in keys[:500]]
            more = len(keys) > len(page)
            return 200, {"items": page, "has-more": more, "as-of": self.revision}
        if path != "/api/kv-watch":
            return 404, {}
        after = int(query["after"])
        end = asyncio.get_running_loop().time() + int(query["wait-ms"]) / 1_000
        while True:
            found = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - asyncio.get_running_loop().time()
            if found or left <= 0:
                return 200, {"events": found, "as-of": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

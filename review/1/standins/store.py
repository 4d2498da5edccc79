"""Stand-in for the platform's metadata store: ``kv-range`` and ``kv-watch``."""

from __future__ import annotations

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from .http import encode_response, read_message


class Store:
    """A store that the harness writes to and the instances read.

    :ivar address: ``ip:port`` once it is started.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.address = ""
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def put(self, key: str, value: object) -> None:
        """Write an item as JSON."""
        self.revision += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        created = self.items.get(key, {}).get("createdRev", self.revision)
        item = {"key": key, "value": data, "revision": self.revision}
        self.items[key] = item | {"createdRev": created, "lease": 0}
        self._publish(self.items[key])

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        del self.items[key]
        self._publish({"key": key, "revision": self.revision, "removed": True})

    def _publish(self, event: dict) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                url = urlsplit(message.start[1])
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                if url.path == "/api/kv-range":
                    answer = self._list(query)
                else:
                    answer = await self._watch(query)
                body = json.dumps(answer).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(encode_response(200, headers, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _list(self, query: dict[str, str]) -> dict:
        prefix, after = query.get("pathPrefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key] for key in keys[:500]]
        return {"items": items, "truncated": len(keys) > 500, "asOf": self.revision}

    async def _watch(self, query: dict[str, str]) -> dict:
        prefix, after = query.get("pathPrefix", ""), int(query["after"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query["waitMs"]) / 1_000
        while True:
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = until - loop.time()
            if events or left <= 0:
                return {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

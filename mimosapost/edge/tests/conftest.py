"""Shared helpers of the edge tests."""

import asyncio
import time
from dataclasses import replace

import pytest

from mimosapost.edge.backend_client import BackendClient
from mimosapost.model.effects import EmitSend
from mimosapost.model.queries import SubRequest


def read_clock_us():
    return time.monotonic_ns() // 1_000


class Events(list):
    """List of received events on whose length a test can wait."""

    def __init__(self):
        super().__init__()
        self._changed = asyncio.Event()

    def handle(self, event):
        self.append(event)
        self._changed.set()

    async def wait_for(self, count):
        # The timeout only ends a test that would hang; no test depends on its length.
        async with asyncio.timeout(30):
            while len(self) < count:
                self._changed.clear()
                await self._changed.wait()
        return self


def create_send(send_id, server, **changes):
    fields = {
        "request_id": f"r{send_id}",
        "service": "desk",
        "leaf": "a",
        "map_version": 1,
        "index_version": 7,
        "deadline_ms": 1000,
        "body": {"kind": "search", "term": "tutu"},
        "repeatable": True,
    }
    request = replace(
        SubRequest(**fields), **{k: changes.pop(k) for k in list(changes) if k in fields}
    )
    effect = EmitSend(send_id, server, request, read_clock_us() + 10_000_000, 4, 2**20, "")
    return replace(effect, **changes)


@pytest.fixture
async def events():
    return Events()


@pytest.fixture
async def client(events):
    async with BackendClient(events.handle, read_clock_us) as backend_client:
        yield backend_client

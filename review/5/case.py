"""A raised limit for headers is not in force on connections that are already open (DENIED).

The operator raises ``maxHeaderBytes``. More than ``configApplyMs`` after the acknowledgement,
callers send requests within the new limit on connections that they opened before. The instance
answers 400, which callers don't repeat.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "1"))

from standins.harness import Caller, Fleet, is_troubled, run_case  # noqa: E402
from standins.server import Server  # noqa: E402

ZONES = ("poa-a", "flo-a")
SERVICE = "billing"
PATH = "/invoice/2f"
DEADLINE_MS = 1_500
CONNECTIONS = 20
OLD_HEADER_BYTES = 8_192
# The figure of acervo-sul's configuration.
NEW_HEADER_BYTES = 16_384
# A cookie with which the whole head is within the new limit.
COOKIE = {"Cookie": "basket=" + "c" * 12_000}


def create_config(version: int, header_bytes: int) -> dict:
    """Return a configuration with one route."""
    route = {
        "name": "r-invoice",
        "host": "shop.example",
        "pathPrefix": "/invoice/",
        "routeKind": "idempotent",
        "timeoutMs": 1_500,
        "goalMs": 338,
        "priority": 2,
        "maxAttempts": 2,
        "service": SERVICE,
        "allowedRegions": [],
    }
    limits = {
        "maxHeaderBytes": header_bytes,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    services = [{"name": SERVICE, "maxConns": 110}]
    return {"version": version, "routes": [route], "services": services, "limits": limits}


async def main() -> list[str]:
    """Run the case."""
    async with Fleet(CASE, ZONES) as fleet:
        record, store = fleet.record, fleet.store
        first_bytes = OLD_HEADER_BYTES if is_troubled() else NEW_HEADER_BYTES
        store.put("op/config", create_config(1, first_bytes))
        for number in range(3):
            server = Server(
                store, record, f"i-{number}", SERVICE, "poa-a", lambda _message: 0.06
            )
            await server.start()
        await fleet.start()
        callers = [
            Caller(record, instance.caller_address)
            for instance in fleet.instances
            for _ in range(CONNECTIONS)
        ]
        for _ in range(3):
            for caller in callers:
                await caller.ask(PATH, DEADLINE_MS)
        store.put("op/config", create_config(2, NEW_HEADER_BYTES))
        record("config_acknowledged", version=2)
        total = 4 * len(callers)
        for _ in range(2):
            await asyncio.sleep(fleet.bounds["configApplyMs"] / 1_000)
            for caller in callers:
                if caller.is_open:
                    await caller.ask(PATH, DEADLINE_MS)
        replies = [await caller.ask(PATH, DEADLINE_MS, headers=COOKIE) for caller in callers]
        statuses = [reply.status for reply in replies]
        denied = sum(status in (400, 413, 431) for status in statuses)
        print(f"statuses of {len(statuses)} requests: {sorted(set(statuses))}, {denied} denied")
        most = 5 + (total + 2 * len(callers)) / 500
        return [f"DENIED: {denied} requests, more than {most:.1f}"] if denied > most else []


run_case(main)

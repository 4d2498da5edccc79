"""A late second copy of a rejection makes a request run twice (TWICE).

Servers that are full reject requests with 503 and ``X-Not-Executed``; these answers name no
request. A faulty server sends one of them a second time, late, where the answer to the next
request on the connection is expected. The instance takes it as the answer to that request,
which the server runs, and sends the request to another server.
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parents[1]))

from review.standins.harness import Caller, Fleet, is_troubled, run_case  # noqa: E402
from review.standins.server import Server  # noqa: E402

ZONES = ("poa-a", "flo-a")
SERVICE = "billing"
SERVER_ZONES = ("poa-a", "poa-a", "flo-a", "flo-a", "cwb-a")
PATH = "/booking/2f"
DEADLINE_MS = 1_500
LENGTH_SECONDS = 70
# A garbling that sends answers a second time, late, as in the list of troubles of acervo-sul:
# this share of the servers, this share of their answers, for this time. It comes again.
FAULTY_SERVERS = 3
EXTRA_SHARE = 0.03
FAULT_SECONDS = 5.0
PAUSE_SECONDS = 2.0
# Callers send in small bursts, which fill the servers now and then.
BURST = 14
BURSTS_PER_SECOND = 3.0


def create_config() -> dict:
    """Return a configuration with one route whose requests may run once."""
    route = {
        "name": "r-booking",
        "host": "shop.example",
        "pathPrefix": "/booking/",
        "routeKind": "non_idempotent",
        "timeoutMs": 1_500,
        "goalMs": 338,
        "priority": 2,
        "maxAttempts": 2,
        "service": SERVICE,
        "allowedRegions": [],
    }
    limits = {
        "maxHeaderBytes": 8192,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 2000,
        "idleTimeoutMs": 20000,
    }
    services = [{"name": SERVICE, "maxConns": 110}]
    return {"version": 1, "routes": [route], "services": services, "limits": limits}


async def main() -> list[str]:
    """Run the case."""
    async with Fleet(CASE, ZONES) as fleet:
        fleet.store.put("op/config", create_config())
        loop = asyncio.get_running_loop()
        started = loop.time()

        def repeats_shed() -> bool:
            phase = (loop.time() - started) % (FAULT_SECONDS + PAUSE_SECONDS)
            return is_troubled() and phase < FAULT_SECONDS and random.random() < EXTRA_SHARE

        for number, zone in enumerate(SERVER_ZONES):
            server = Server(
                fleet.store,
                fleet.record,
                f"i-{number}",
                SERVICE,
                zone,
                lambda _message: min(0.36, random.lognormvariate(0, 0.5) * 0.06),
                slots=3,
                queue=2,
            )
            if number < FAULTY_SERVERS:
                server.repeats_shed = repeats_shed
            await server.start()
        await fleet.start()
        until = loop.time() + LENGTH_SECONDS
        tasks: set[asyncio.Task] = set()

        async def ask(address: str) -> None:
            caller = Caller(fleet.record, address)
            await caller.ask(PATH, DEADLINE_MS, method="POST", body=b"booking")
            caller.close()

        while loop.time() < until:
            for _ in range(BURST):
                for instance in fleet.instances:
                    task = asyncio.create_task(ask(instance.caller_address))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(BURSTS_PER_SECOND))
        await asyncio.gather(*tasks)
        return find_breaches(fleet)


def find_breaches(fleet: Fleet) -> list[str]:
    """Return the requests that ran more than once, though their route allows one run."""
    record = fleet.record
    runs = Counter(fields["id"] for _, fields in record.list_events("server_run"))
    extras = {fields["before"] for _, fields in record.list_events("server_sent_extra")}
    refused = {
        fields["id"]
        for _, fields in record.list_events("caller_got")
        if fields["status"] == 503
    }
    print(
        f"{len(runs)} requests ran, {len(record.list_events('server_shed'))} answers were "
        f"rejections, {len(extras)} of them came twice; "
        f"{len(refused & runs.keys())} requests ran and were answered 503"
    )
    return [f"TWICE: {name} ran {count} times" for name, count in runs.items() if count > 1]


run_case(main)

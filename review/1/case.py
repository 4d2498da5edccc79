"""A late second copy of a rejection makes a request run twice (TWICE).

A server rejects some requests with 503 and ``X-Not-Executed``. It is the only one that the
route may use, so the instance sends the request to it again, on the same connection. The server
sends the rejection a second time there, where the answer to the next request is expected, and
runs the request. The instance takes the copy, which names the same request, as the answer: the
request counts as not run. It is sent once more and runs twice, or it is answered 503.
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "1"))

from standins.harness import Caller, Fleet, is_troubled, run_case  # noqa: E402
from standins.server import Server  # noqa: E402

ZONES = ("poa-a", "poa-a", "flo-a", "cwb-a")
SERVICE = "courier"
SERVER_ZONES = ("poa-a", "flo-a", "cwb-a")
# The route is bound to the region of flo-a, so that one of the three servers may serve it.
REGIONS = ["catarina"]
FAULTY_SERVER = 1
PATH = "/booking/2f"
DEADLINE_MS = 1_500
REQUESTS_PER_SECOND = 60
LENGTH_SECONDS = 88
# A ``srv_grey shed``: share of the requests that the server rejects, and its time.
SHED_SHARE = 0.2
SHED_SECONDS = 6.5
# A ``garble extra late``: share of the answers that it sends a second time, late, and its time.
EXTRA_SHARE = 0.04
EXTRA_SECONDS = 5.0
# Both begin together and come again after this time.
PERIOD_SECONDS = 8.0


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
        "allowedRegions": REGIONS,
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

        def happens(seconds: float, share: float) -> bool:
            phase = (loop.time() - started) % PERIOD_SECONDS
            return is_troubled() and phase < seconds and random.random() < share

        for number, zone in enumerate(SERVER_ZONES):
            server = Server(
                fleet.store,
                fleet.record,
                f"i-{number}",
                SERVICE,
                zone,
                lambda _message: min(0.36, random.lognormvariate(0, 0.5) * 0.02),
            )
            if number == FAULTY_SERVER:
                server.sheds = lambda: happens(SHED_SECONDS, SHED_SHARE)
                server.repeats_shed = lambda: happens(EXTRA_SECONDS, EXTRA_SHARE)
            await server.start()
        await fleet.start()
        until = loop.time() + LENGTH_SECONDS
        tasks: set[asyncio.Task] = set()

        async def ask(address: str) -> None:
            caller = Caller(fleet.record, address)
            await caller.ask(PATH, DEADLINE_MS, method="POST", body=b"booking")
            caller.close()

        while loop.time() < until:
            task = asyncio.create_task(ask(random.choice(fleet.instances).caller_address))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(REQUESTS_PER_SECOND))
        await asyncio.gather(*tasks)
        return find_breaches(fleet)


def find_breaches(fleet: Fleet) -> list[str]:
    """Return the requests that ran more than once, though their route allows one run."""
    record = fleet.record
    runs = Counter(fields["id"] for _, fields in record.list_events("server_run"))
    refused = {
        fields["id"]
        for _, fields in record.list_events("caller_got")
        if fields["status"] == 503
    }
    extras = len(record.list_events("server_sent_extra"))
    print(
        f"{len(runs)} requests ran, {len(record.list_events('server_shed'))} answers were "
        f"rejections, {extras} of them came twice; {len(refused & runs.keys())} requests ran "
        f"and were answered 503 (REFUSED)"
    )
    return [f"TWICE: {name} ran {count} times" for name, count in runs.items() if count > 1]


run_case(main)

"""Case 11: a request that has run is answered with the status that promises that it has not.

One of seven leafs fails part of the bookings that it runs, with its own status 503. Its answers
do not have the header ``X-Not-Executed``. Consumers repeat a booking after a 503, as they may.
"""

from __future__ import annotations

import asyncio
import sys
from contextlib import AsyncExitStack
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins_3 as standins

_INSTANCES = 4
_LEAFS = 7
# The grey leaf fails two of five requests.
_FAILURES = (True, False, True, False, False)
_TROUBLE_SECONDS = 6.0
_CONSUMERS = 16
_INTERVAL_SECONDS = 0.05
_WORK_SECONDS = 0.05
_DEADLINE_MS = 4_000
_PROMISES = (408, 421, 429, 503)


async def play(
    stack: AsyncExitStack, record: standins.Record, directory: Path, has_trouble: bool
) -> bool:
    """Send bookings while one leaf is grey, and return whether REFUSED held."""

    async def fail_in_part(leaf: standins.Leaf, request: standins.Message) -> bytes:
        is_failed = _FAILURES[(len(leaf.runs) - runs_before) % len(_FAILURES)]
        leaf.run(request)
        request_id = leaf.runs[-1]
        headers = leaf.create_headers(request)
        await asyncio.sleep(_WORK_SECONDS)
        if is_failed:
            record.write(f"leaf {leaf.server_id} answers 503 to {request_id}, which has run")
            return standins.encode_answer(503, headers)
        return standins.encode_answer(200, headers, b"booked")

    store = standins.Store()
    await store.start(stack)
    leafs = []
    for number in range(_LEAFS):
        zone, _ = standins.PLACES[number % len(standins.PLACES)]
        leaf = standins.Leaf(f"i-{number}", "desk", zone, record, _WORK_SECONDS)
        await leaf.start(stack)
        store.put(f"servers/{leaf.server_id}", leaf.create_entry())
        leafs.append(leaf)
    route = standins.create_route("book", service="desk", routeKind="non_idempotent")
    store.put("op/config", standins.create_config(7, [route], ["desk"]))
    instances = standins.create_instances(_INSTANCES, store, directory)
    for instance in instances:
        await instance.start(stack)
    for instance in instances:
        await instance.wait_ready()
    runs_before = len(leafs[0].runs)
    if has_trouble:
        leafs[0].respond = fail_in_part
    refused: list[str] = []
    bookings = [
        asyncio.create_task(
            _book(stack, record, instances[number % _INSTANCES], number, refused)
        )
        for number in range(_CONSUMERS)
    ]
    await asyncio.gather(*bookings)
    ran = {request_id for leaf in leafs for request_id in leaf.runs}
    broken = [request_id for request_id in refused if request_id in ran]
    record.write(f"refused {len(refused)}, refused although they have run: {broken}")
    return not broken


async def _book(
    stack: AsyncExitStack,
    record: standins.Record,
    instance: standins.Instance,
    number: int,
    refused: list[str],
) -> None:
    """Send bookings on a kept connection, and repeat one that was refused."""
    consumer = standins.Consumer(f"c{number}", record)
    await consumer.connect(instance)
    stack.callback(consumer.close)
    await asyncio.sleep(_INTERVAL_SECONDS * number / _CONSUMERS)
    for booking in range(int(_TROUBLE_SECONDS / (_INTERVAL_SECONDS + _WORK_SECONDS))):
        path = f"/book/{number}/{booking}"
        request_id, answer = await consumer.send(path, _DEADLINE_MS, "POST", b"tutu")
        if answer is not None and answer.status in _PROMISES:
            refused.append(request_id)
            await consumer.send(path, _DEADLINE_MS, "POST", b"tutu")
        await asyncio.sleep(_INTERVAL_SECONDS)


if __name__ == "__main__":
    sys.exit(standins.run_case(play))

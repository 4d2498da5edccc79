"""A machine that the store turns away goes on sending to a leaf that says that it leaves."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
    BROKEN,
    HELD,
    Consumer,
    Leaf,
    Machine,
    Record,
    Store,
    StoreFront,
    choose_hosts,
    create_config,
    create_route,
    run_case,
    wait_ready,
)

_ZONES = {"rocklea": "brisbane", "wilsonton": "darling-downs", "portsmith": "far-north"}
_SERVICE = "members-portal"
_LEAFS_PER_ZONE = 2
_WORK_SECONDS = 0.24
_DEADLINE_MS = 4_000
_DRAIN_SECONDS = 3.0
# Time for which the store turns one of three machines away.
_AWAY_SECONDS = 9.0
# The leaf serves for drainMs after the store has accepted its report, and a little longer.
_LEAF_LIFE_SECONDS = _DRAIN_SECONDS + 2.5
_CONSUMERS = 12
_PAUSE_SECONDS = 0.1


async def _case(record: Record, directory: Path, has_trouble: bool) -> int:
    store = Store(record)
    await store.start()
    leafs = []
    for zone in _ZONES:
        for number in range(_LEAFS_PER_ZONE):
            leaf = Leaf(record, f"i-{zone}-{number}", _SERVICE, zone)
            leaf.work_seconds = lambda _request: _WORK_SECONDS
            await leaf.start()
            await store.put(f"servers/{leaf.leaf_id}", leaf.create_entry())
            leafs.append(leaf)
    routes = [
        create_route("pay", "/pay/", service=_SERVICE, routeKind="non_idempotent"),
    ]
    await store.put("op/config", create_config(7, routes, [_SERVICE]))
    hosts = choose_hosts(len(_ZONES))
    machines, fronts = [], []
    for host, (zone, region) in zip(hosts, _ZONES.items(), strict=True):
        front = StoreFront(record, store)
        await front.start()
        fronts.append(front)
        machines.append(
            Machine(
                record,
                directory,
                f"front-{zone}-1",
                host,
                zone,
                region,
                _ZONES,
                front.address,
                tuple(f"{h}:8106" for h in hosts),
            )
        )
    try:
        for machine in machines:
            await machine.start()
        await wait_ready(machines)
        await asyncio.sleep(4)
        return await _leave(record, store, fronts[0], machines[0], leafs, has_trouble)
    finally:
        for machine in machines:
            await machine.kill()
        for server in (*leafs, *fronts, store):
            await server.stop()


async def _consume(consumer: Consumer, name: str, results: list, until: float) -> None:
    number = 0
    record = consumer.record
    while record.now() < until:
        request_id, sent_at = f"{name}-{number}", record.now()
        status, answer = await consumer.send(
            request_id, f"/pay/{request_id}", _DEADLINE_MS, b"amount=1"
        )
        results.append((request_id, sent_at, record.now(), status, answer))
        number += 1
        await asyncio.sleep(_PAUSE_SECONDS)


async def _leave(record, store, front, machine, leafs, has_trouble) -> int:
    results: list = []
    until = record.now() + 1.0 + _AWAY_SECONDS + 2.0
    tasks = [
        asyncio.create_task(
            _consume(Consumer(record, machine, "shop.example"), f"c{n}", results, until)
        )
        for n in range(_CONSUMERS)
    ]
    await asyncio.sleep(1.0)
    # The leaf that the machine uses most.
    leaving = max(leafs, key=lambda leaf: len(leaf.arrivals))
    away_until = record.now() + _AWAY_SECONDS
    if has_trouble:
        front.change_mode("busy")
        await asyncio.sleep(0.3)
    await store.put(f"servers/{leaving.leaf_id}", leaving.create_entry(state="draining"))
    leaving.is_leaving = True
    await asyncio.sleep(_LEAF_LIFE_SECONDS)
    await leaving.stop()
    await store.remove(f"servers/{leaving.leaf_id}")
    await asyncio.sleep(max(0.0, away_until - record.now()))
    front.change_mode("serve")
    await asyncio.gather(*tasks)
    told = [
        ended
        for _, _, ended, _, answer in results
        if answer is not None
        and "server-leaving" in answer.headers
        and answer.headers.get("x-response-seal", "").startswith(f"{leaving.leaf_id}.")
    ]
    record.add("told", at=f"{min(told):.3f}" if told else "never")
    if not told:
        return HELD
    sent_at = {request_id: sent for request_id, sent, *_ in results}
    late = [
        request_id
        for _, request_id in leaving.arrivals
        if sent_at[request_id] > min(told) + _DRAIN_SECONDS
    ]
    statuses = {request_id: status for request_id, _, _, status, _ in results}
    failed = [name for name in late if statuses[name] != 200]
    record.add("late_at_the_leaf", count=len(late), not_answered_with_success=",".join(failed))
    return BROKEN if late else HELD


if __name__ == "__main__":
    sys.exit(run_case(__file__, _case))

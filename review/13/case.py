"""Case 13: machines act on an old configuration after silent connections to the store.

The machines of a region follow one that reads the store. Open connections to it go silent
while new ones work. Two seconds later the configuration moves a route to another service.
Counted are the requests that come when all machines are in touch again.
"""

from __future__ import annotations

import asyncio
import re
import sys
import time
from contextlib import AsyncExitStack
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins_3 as standins

_INSTANCES = 5
_REGION_PLACE = ("rocklea", "brisbane")
_MEETING_SECONDS = 12.0
_CONTACT_SECONDS = 5.0
_APPLY_SECONDS = 3.0
_CHANGE_AFTER_SECONDS = 2.0
_SENDING_SECONDS = 7.5
_INTERVAL_SECONDS = 0.05
_DEADLINE_MS = 1_000


async def play(
    stack: AsyncExitStack, record: standins.Record, directory: Path, has_trouble: bool
) -> bool:
    """Move a route after the reader was killed, and return whether CONFIG held."""
    store = standins.Store()
    await store.start(stack)
    leafs: dict[str, standins.Leaf] = {}
    for service in ("before", "after"):
        leaf = standins.Leaf(f"i-{service}", service, _REGION_PLACE[0], record)
        await leaf.start(stack)
        store.put(f"servers/{leaf.server_id}", leaf.create_entry())
        leafs[service] = leaf
    services = list(leafs)
    route = standins.create_route("look", service="before")
    store.put("op/config", standins.create_config(7, [route], services))
    instances = standins.create_instances(_INSTANCES, store, directory)
    proxies = {}
    for instance in instances:
        proxy = proxies[instance.name] = standins.Proxy(store.address)
        await proxy.start(stack)
        instance.zone, instance.region = _REGION_PLACE
        instance.store_address = proxy.address
        await instance.start(stack)
    for instance in instances:
        await instance.wait_ready()
    await asyncio.sleep(_MEETING_SECONDS)
    reader = _find_reader(instances, directory)
    record.write(f"{reader} reads the store for the others")
    in_touch = time.monotonic()
    if has_trouble:
        for name, proxy in proxies.items():
            record.write(f"{name}: {proxy.silence()} open connections to the store go silent")
        in_touch += _CONTACT_SECONDS
    await asyncio.sleep(_CHANGE_AFTER_SECONDS)
    route = standins.create_route("look", service="after")
    store.put("op/config", standins.create_config(9, [route], services))
    due = time.monotonic() + _APPLY_SECONDS
    record.write("version 9 moves the route from the service before to the service after")
    sent: dict[str, float] = {}
    tasks = [_send(stack, record, instance, sent) for instance in instances]
    await asyncio.gather(*tasks)
    late = [
        request_id
        for request_id in leafs["before"].runs
        if sent[request_id] > max(due, in_touch)
    ]
    record.write(f"sent by machines in touch, too late for the old service: {late}")
    return not late


def _find_reader(instances: list[standins.Instance], directory: Path) -> str:
    """Return the name of the instance that reads the store, as the others say in their logs."""
    names = []
    for instance in instances:
        log = (directory / f"{instance.name}.log").read_text(encoding="utf-8")
        names += re.findall(r'event="feed_reader_chosen" .*? reader="([^"]+)"', log)
    return names[-1]


async def _send(
    stack: AsyncExitStack,
    record: standins.Record,
    instance: standins.Instance,
    sent: dict[str, float],
) -> None:
    """Send requests on a kept connection and note when each was sent."""
    consumer = standins.Consumer(f"to-{instance.name}", record)
    await consumer.connect(instance)
    stack.callback(consumer.close)
    end = time.monotonic() + _SENDING_SECONDS
    while time.monotonic() < end:
        began = time.monotonic()
        request_id, _ = await consumer.send("/look/1", _DEADLINE_MS)
        sent[request_id] = began
        await asyncio.sleep(_INTERVAL_SECONDS)


if __name__ == "__main__":
    sys.exit(standins.run_case(play))

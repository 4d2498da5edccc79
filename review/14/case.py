"""Case 14: a process does not start with an empty key of a matter that is not open.

The settings file of two of seven machines gets a key that the pages do not explain, without a
value. The platform says so with SIGHUP, and later stops and starts these machines in turn.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from contextlib import AsyncExitStack
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins_3 as standins

_INSTANCES = 7
_CHANGED = 2
_EMPTY_KEY = "bounds.quotaWindowS"
_GRACE_SECONDS = 6.0
_GAP_SECONDS = 1.3
_RESTART_SECONDS = 0.5
_STARTS = 3
_START_SECONDS = 3.0
_DEADLINE_MS = 4_000


async def play(
    stack: AsyncExitStack, record: standins.Record, directory: Path, has_trouble: bool
) -> bool:
    """Change the settings, restart the machines, and return whether all of them start."""
    store = standins.Store()
    await store.start(stack)
    for number, (zone, _) in enumerate(standins.PLACES):
        leaf = standins.Leaf(f"i-{number}", "portal", zone, record)
        await leaf.start(stack)
        store.put(f"servers/{leaf.server_id}", leaf.create_entry())
    route = standins.create_route("ledger", service="portal")
    store.put("op/config", standins.create_config(7, [route], ["portal"]))
    instances = standins.create_instances(_INSTANCES, store, directory)
    for instance in instances:
        await instance.start(stack)
    for instance in instances:
        await instance.wait_ready()
    for instance in instances[:_CHANGED]:
        if has_trouble:
            instance.more_settings = f"{_EMPTY_KEY}=\n"
            instance.write_settings()
            record.write(f"{instance.name}: the settings now have the line {_EMPTY_KEY}=")
        instance.send(signal.SIGHUP)
    await asyncio.sleep(1)
    ends = 0
    for instance in instances[:_CHANGED]:
        record.write(f"{instance.name}: SIGTERM")
        instance.send(signal.SIGTERM)
        async with asyncio.timeout(_GRACE_SECONDS):
            await instance.handle.wait()
        ends += await _start_again(stack, record, instance)
        await asyncio.sleep(_GAP_SECONDS)
    answered = 0
    for instance in instances:
        answered += await _is_served(stack, record, instance)
    record.write(f"processes that ended by themselves: {ends}; machines that serve: {answered}")
    return not ends and answered == _INSTANCES


async def _start_again(
    stack: AsyncExitStack, record: standins.Record, instance: standins.Instance
) -> int:
    """Start an instance as the platform does, and return how often it ended by itself."""
    for ends in range(_STARTS):
        await asyncio.sleep(_RESTART_SECONDS)
        await instance.start(stack)
        try:
            async with asyncio.timeout(_START_SECONDS):
                status = await instance.handle.wait()
        except TimeoutError:
            record.write(f"{instance.name}: runs")
            return ends
        record.write(f"{instance.name}: ended by itself with status {status}")
    return _STARTS


async def _is_served(
    stack: AsyncExitStack, record: standins.Record, instance: standins.Instance
) -> bool:
    consumer = standins.Consumer(f"to-{instance.name}", record)
    try:
        await consumer.connect(instance)
    except OSError as error:
        record.write(f"{instance.name}: no connection: {error.strerror}")
        return False
    stack.callback(consumer.close)
    _, answer = await consumer.send("/ledger/1", _DEADLINE_MS)
    return answer is not None and answer.status == 200


if __name__ == "__main__":
    sys.exit(standins.run_case(play))

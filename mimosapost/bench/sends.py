"""Processor time of a send, compared with a bare aiohttp POST in the same run.

Start the server in one process and measure in another, so that neither takes the other's
interpreter lock::

    python -m mimosapost.bench.sends serve --port 9100 &
    python -m mimosapost.bench.sends measure --address 127.0.0.1:9100

Only the processor time of the client's thread counts. The bare side is the cheapest use of
aiohttp: a body encoded by msgspec, a prebuilt URL, no task for each POST. Rounds of both sides
alternate; quote the ratio.
"""

from __future__ import annotations

import asyncio
import statistics
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import aiohttp
import defopt
import msgspec
from aiohttp import web
from yarl import URL

from mimosapost.edge.backends import BackendClient
from mimosapost.model.effects import EmitSend
from mimosapost.model.events import Event, SendAnswered
from mimosapost.model.queries import SubRequest

__all__ = ["SendCost", "measure_sends"]

_ITEMS = [{"key": f"item-{number}", "score": number * 37 % 101} for number in range(5)]
_BODY = {"kind": "search", "term": "tutu", "size": 38, "colours": ["white", "rose"]}


@dataclass(frozen=True, slots=True)
class SendCost:
    """Medians over the rounds, in microseconds of processor time a send.

    :param ratio: median of the ratios of adjacent rounds.
    """

    bare_us: float
    client_us: float
    ratio: float


async def _answer(request: web.BaseRequest) -> web.Response:
    message = msgspec.json.decode(await request.read())
    answer = {
        name: message[name] for name in ("request_id", "leaf", "map_version", "index_version")
    }
    answer |= {"boot_id": "b1", "load": 0.2, "items": _ITEMS}
    return web.Response(body=msgspec.json.encode(answer), content_type="application/json")


async def _serve(port: int) -> None:
    runner = web.ServerRunner(web.Server(_answer, access_log=None))
    await runner.setup()
    try:
        await web.TCPSite(runner, "127.0.0.1", port, backlog=1024).start()
        await asyncio.sleep(3_600)
    finally:
        await runner.cleanup()


def _create_request(number: int) -> SubRequest:
    return SubRequest(f"r{number}", "desk", "a", 1, 7, 1_000, _BODY, True, "", 10)


async def _post_bare(session: aiohttp.ClientSession, url: URL, number: int) -> None:
    body = msgspec.json.encode(_create_request(number))
    async with session.post(url, data=body) as response:
        msgspec.json.decode(await response.read())


async def _run_bare(address: str, sends: int, width: int) -> float:
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=width)) as session:
        url = URL(f"http://{address}/v1/search")

        async def run_worker(first: int, count: int) -> None:
            for number in range(first, first + count):
                await _post_bare(session, url, number)

        async def run_batches(count: int) -> None:
            workers = [run_worker(number * count, count) for number in range(width)]
            await asyncio.gather(*workers)

        return await _time_batches(run_batches, sends, width)


async def _run_client(address: str, sends: int, width: int) -> float:
    loop = asyncio.get_running_loop()
    done = loop.create_future()
    left = 0

    def handle(event: Event) -> None:
        nonlocal left
        if not isinstance(event, SendAnswered):
            raise RuntimeError(f"the stand-in failed: {event}")
        left -= 1
        if left == 0:
            done.set_result(None)

    def clock_us() -> int:
        return time.monotonic_ns() // 1_000

    async with BackendClient(handle, clock_us) as client:

        async def run_batches(count: int) -> None:
            nonlocal done, left
            for batch in range(count):
                done, left = loop.create_future(), width
                deadline_us = clock_us() + 60_000_000
                for number in range(batch * width, (batch + 1) * width):
                    request = _create_request(number)
                    client.execute(
                        EmitSend(number, address, request, deadline_us, width, 2**20, "")
                    )
                await done

        return await _time_batches(run_batches, sends, width)


async def _time_batches(
    run_batches: Callable[[int], Awaitable[None]], sends: int, width: int
) -> float:
    await run_batches(1)
    batches = max(1, sends // width)
    started_ns = time.thread_time_ns()
    await run_batches(batches)
    return (time.thread_time_ns() - started_ns) / 1_000 / (batches * width)


def measure_sends(
    address: str, sends: int = 2_000, width: int = 20, rounds: int = 9
) -> SendCost:
    """Measure the processor time of a send on both sides.

    :param address: server that :func:`serve` runs.
    :param sends: sends in each round.
    :param width: sends open at a time, each on its own connection.
    :param rounds: rounds of each side.
    :returns: medians and their ratio.
    """
    pairs = []
    for number in range(rounds):
        sides = [_run_bare, _run_client]
        order = sides if number % 2 == 0 else sides[::-1]
        costs = {side: asyncio.run(side(address, sends, width)) for side in order}
        pairs.append((costs[_run_bare], costs[_run_client]))
    return SendCost(
        bare_us=statistics.median(bare for bare, _ in pairs),
        client_us=statistics.median(client for _, client in pairs),
        ratio=statistics.median(client / bare for bare, client in pairs),
    )


def serve(*, port: int = 9100) -> None:
    """Run the answering server for an hour at most.

    :param port: port on the loopback address.
    """
    asyncio.run(_serve(port))


def measure(*, address: str = "127.0.0.1:9100", rounds: int = 9) -> None:
    """Measure and print one line of figures.

    :param address: address of the answering server.
    :param rounds: rounds of each side.
    """
    cost = measure_sends(address, rounds=rounds)
    print(f"bare_us={cost.bare_us:.1f} client_us={cost.client_us:.1f} ratio={cost.ratio:.3f}")


if __name__ == "__main__":
    defopt.run([serve, measure])

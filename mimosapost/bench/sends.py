"""Processor time of a send by ``BackendClient``, compared with a bare aiohttp POST.

Run the stand-in server in one process and the measurement in another, so that they do not
share an interpreter lock::

    python -m mimosapost.bench.sends serve --port 9100 &
    python -m mimosapost.bench.sends measure --address 127.0.0.1:9100

Only the processor time of the client's thread counts. The bare POST is the cheapest use of
aiohttp: msgspec encodes the body, the URL is built once, and no task is created for a POST.
Rounds of both clients alternate, so that a slow phase of the machine affects both. The ratio is
therefore the figure to quote.
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

from mimosapost.edge.backend_client import BackendClient
from mimosapost.model.effects import EmitSend
from mimosapost.model.events import Event, SendAnswered
from mimosapost.model.queries import SubRequest

__all__ = ["SendCost", "measure_sends"]

_ITEMS = [{"key": f"item-{number}", "score": number * 37 % 101} for number in range(5)]
_BODY = {"kind": "search", "term": "tutu", "size": 38, "colours": ["white", "rose"]}


@dataclass(frozen=True, slots=True)
class SendCost:
    """Medians of the processor time of one send over all rounds.

    :param bare_us: processor time of a bare aiohttp POST, in microseconds.
    :param client_us: processor time of a send by ``BackendClient``, in microseconds.
    :param ratio: median of the ratios of ``client_us`` to ``bare_us`` in each pair of rounds.
    """

    bare_us: float
    client_us: float
    ratio: float


async def _answer_sub_request(request: web.BaseRequest) -> web.Response:
    message = msgspec.json.decode(await request.read())
    answer = {
        name: message[name] for name in ("request_id", "leaf", "map_version", "index_version")
    }
    answer |= {"boot_id": "b1", "load": 0.2, "items": _ITEMS}
    return web.Response(body=msgspec.json.encode(answer), content_type="application/json")


async def _serve(port: int) -> None:
    runner = web.ServerRunner(web.Server(_answer_sub_request, access_log=None))
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


async def _time_bare_posts(address: str, sends: int, concurrency: int) -> float:
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=concurrency)
    ) as session:
        url = URL(f"http://{address}/v1/search")

        async def post_sequentially(first: int, count: int) -> None:
            for number in range(first, first + count):
                await _post_bare(session, url, number)

        async def run_batches(count: int) -> None:
            workers = [
                post_sequentially(number * count, count) for number in range(concurrency)
            ]
            await asyncio.gather(*workers)

        return await _time_per_send(run_batches, sends, concurrency)


async def _time_client_sends(address: str, sends: int, concurrency: int) -> float:
    loop = asyncio.get_running_loop()
    batch_done = loop.create_future()
    pending = 0

    def handle(event: Event) -> None:
        nonlocal pending
        if not isinstance(event, SendAnswered):
            raise RuntimeError(f"send was not answered, expected SendAnswered, got {event}")
        pending -= 1
        if pending == 0:
            batch_done.set_result(None)

    def clock_us() -> int:
        return time.monotonic_ns() // 1_000

    async with BackendClient(handle, clock_us) as client:

        async def run_batches(count: int) -> None:
            nonlocal batch_done, pending
            for batch in range(count):
                batch_done, pending = loop.create_future(), concurrency
                deadline_us = clock_us() + 60_000_000
                for number in range(batch * concurrency, (batch + 1) * concurrency):
                    request = _create_request(number)
                    client.execute(
                        EmitSend(number, address, request, deadline_us, concurrency, 2**20, "")
                    )
                await batch_done

        return await _time_per_send(run_batches, sends, concurrency)


async def _time_per_send(
    run_batches: Callable[[int], Awaitable[None]], sends: int, concurrency: int
) -> float:
    await run_batches(1)
    batches = max(1, sends // concurrency)
    started_ns = time.thread_time_ns()
    await run_batches(batches)
    return (time.thread_time_ns() - started_ns) / 1_000 / (batches * concurrency)


def measure_sends(
    address: str, sends: int = 2_000, concurrency: int = 20, rounds: int = 9
) -> SendCost:
    """Measure the processor time of a send with both clients.

    :param address: address of the stand-in server that :func:`serve` runs.
    :param sends: number of sends in each round.
    :param concurrency: number of concurrent sends, each on its own connection.
    :param rounds: number of rounds of each client.
    :returns: medians over the rounds.
    """
    pairs = []
    for number in range(rounds):
        clients = [_time_bare_posts, _time_client_sends]
        order = clients if number % 2 == 0 else clients[::-1]
        costs = {
            time_sends: asyncio.run(time_sends(address, sends, concurrency))
            for time_sends in order
        }
        pairs.append((costs[_time_bare_posts], costs[_time_client_sends]))
    return SendCost(
        bare_us=statistics.median(bare for bare, _ in pairs),
        client_us=statistics.median(client for _, client in pairs),
        ratio=statistics.median(client / bare for bare, client in pairs),
    )


def serve(*, port: int = 9100) -> None:
    """Run the stand-in server and stop it after one hour.

    :param port: port on the loopback address.
    """
    asyncio.run(_serve(port))


def measure(*, address: str = "127.0.0.1:9100", rounds: int = 9) -> None:
    """Measure the processor time of a send and print it on one line.

    :param address: address of the stand-in server.
    :param rounds: number of rounds of each client.
    """
    cost = measure_sends(address, rounds=rounds)
    print(f"bare_us={cost.bare_us:.1f} client_us={cost.client_us:.1f} ratio={cost.ratio:.3f}")


if __name__ == "__main__":
    defopt.run([serve, measure])

"""Sends under mixed faults, checked against the records of the stand-in servers."""

import asyncio
import random

import pytest

from mimosapost.edge.tests.conftest import create_send, read_clock_us
from mimosapost.model.codes import RunState
from mimosapost.model.effects import CancelSend, CloseConnections
from mimosapost.model.events import SendAnswered, SendRejected
from mimosapost.standins.backends import Backends, compute_items
from mimosapost.standins.behaviour import FAULTS, Behaviour

POISON = {"kind": "search", "poison": True}


def create_faulty_behaviour():
    return Behaviour(
        median_ms=4.0,
        spread=0.5,
        straggler_probability=0.05,
        connections=6,
        cold_limit=3,
        warm_answers=5,
        held=[(1, 7)],
        crash_bodies=[POISON],
        restart_ms=20.0,
        faults=dict.fromkeys(FAULTS, 0.02),
        drip_ms=1.0,
    )


@pytest.mark.parametrize("seed", range(4))
async def test_every_send_ends_once_with_a_correct_outcome(client, events, seed):
    """Each send ends with one event, which reports correctly whether the request ran.

    Faults, cancellations and closed connections happen in random order. Under them an event may
    be lost or doubled, a request that ran may be reported as not run, and an answer may be
    assigned to another send.
    """
    rng = random.Random(seed)
    behaviours = {name: create_faulty_behaviour() for name in "abc"}
    requests = {}
    async with Backends(behaviours, seed) as backends:
        for number in range(300):
            server = backends.servers[rng.choice("abc")]
            send = create_send(
                number,
                server.address,
                leaf=rng.choice("xyz"),
                body=POISON if rng.random() < 0.01 else {"kind": "search", "n": number},
                index_version=8 if rng.random() < 0.05 else 7,
                connections=rng.randint(1, 4),
                deadline_us=read_clock_us() + rng.choice([0, 3_000, 20_000, 400_000]),
            )
            requests[number] = send.request
            client.execute(send)
            if rng.random() < 0.15:
                client.execute(CancelSend(rng.randint(0, number), rng.random() < 0.5))
            if rng.random() < 0.02:
                server.silence_connections()
                client.execute(CloseConnections(server.address))
            if rng.random() < 0.5:
                await asyncio.sleep(rng.choice([0, 0.001, 0.004]))
        await events.wait_for(300)
        await asyncio.sleep(0.05)
        ran = {
            record.request_id
            for server in backends.servers.values()
            for record in server.records
            if record.outcome not in ("shed", "rejected")
        }
    assert sorted(event.send_id for event in events) == list(range(300))
    answered = [event for event in events if isinstance(event, SendAnswered)]
    for event in answered:
        request = requests[event.send_id]
        expected = compute_items(
            request.service, request.leaf, request.body, request.index_version
        )
        assert event.answer.items == expected
    not_run = [
        event
        for event in events
        if isinstance(event, SendRejected) or getattr(event, "run", None) is RunState.NOT_RUN
    ]
    assert not [event for event in not_run if requests[event.send_id].request_id in ran]
    # Both outcomes must occur often enough, or the checks above would check nothing.
    assert len(answered) > 50
    assert len(not_run) > 20

"""Seeded fault schedules for the simulated fleet, with one function for each kind of fault."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from mimosapost.core.tests.invariants import InvariantChecker, check_every_query_was_answered
from mimosapost.core.tests.simulated_fleet import DOMAINS, Fleet, create_team
from mimosapost.model import events as ev
from mimosapost.model.codes import Priority

FAULTS: dict[str, Callable[[Fleet], None]] = {}
MERGES = ("concat", "top_k", "sum")
STARTUP_US = 4_000_000


def register_fault(function):
    """Register a fault under the name of its function.

    The function schedules the begin and the end of the fault.
    """
    FAULTS[function.__name__] = function
    return function


def pick_server(fleet):
    """Return a random server, by the fleet's seed."""
    return fleet.servers[fleet.rng.choice(sorted(fleet.servers))]


@register_fault
def stragglers(fleet):
    """Make 1 in 20 answers take 20 times as long."""
    fleet.slow_answer_probability = 0.05


@register_fault
def lost_replica(fleet):
    """Crash a server for 0.7 s."""
    fleet.call_later(fleet.rng.randrange(300_000), fleet.crash, pick_server(fleet))


@register_fault
def repartitioning(fleet):
    """Move the servers to a new snapshot and publish it, at random times within 0.4 s."""
    version = fleet.team.services[0].map_version + 1
    for server in fleet.servers.values():
        fleet.call_later(
            fleet.rng.randrange(400_000), setattr, server, "held_snapshot", (version, version)
        )
    service = replace(fleet.team.services[0], map_version=version, index_version=version)
    team = replace(fleet.team, version=fleet.team.version + 1, services=(service,))
    fleet.call_later(fleet.rng.randrange(400_000), fleet.publish, team)


@register_fault
def new_index(fleet):
    """Move the servers to a new index version, which is published 0.7 s after the start."""
    service = fleet.team.services[0]
    version = service.index_version + 1
    for server in fleet.servers.values():
        held = (service.map_version, version)
        fleet.call_later(fleet.rng.randrange(200_000), setattr, server, "held_snapshot", held)
    team = replace(
        fleet.team,
        version=fleet.team.version + 1,
        services=(replace(service, index_version=version),),
    )
    fleet.call_later(700_000, fleet.publish, team)


@register_fault
def stale_config_service(fleet):
    """Deliver version 1 of the subtree to every instance again."""
    old = create_team(1)
    for seat, instance in fleet.instances_by_seat.items():
        fleet.call_later(
            fleet.rng.randrange(500_000),
            fleet.deliver,
            seat,
            instance,
            ev.ConfigRead,
            "desk",
            1,
            encode_published_tree(old),
        )


def encode_published_tree(tree):
    """Return a subtree as published JSON."""
    from mimosapost.core.tests.simulated_fleet import encode_subtree

    return encode_subtree(tree)


@register_fault
def domain_out_and_back(fleet):
    """Take a domain out of service and return it 0.85 s later."""
    domain = fleet.rng.choice(DOMAINS)
    version = fleet.team.version
    out = replace(fleet.team, version=version + 1, domains_out=(domain,))
    back = replace(fleet.team, version=version + 2, domains_out=())
    fleet.call_later(50_000, fleet.publish, out)
    fleet.call_later(900_000, fleet.publish, back)


@register_fault
def paused_instance(fleet):
    """Pause an instance for 0.8 s; its events are delivered afterwards."""
    seat = fleet.rng.choice(sorted(fleet.instances_by_seat))

    def pause():
        fleet.instances_by_seat[seat].paused_until_us = fleet.now_us + 800_000

    fleet.call_later(fleet.rng.randrange(300_000), pause)


@register_fault
def replaced_instance(fleet):
    """Kill an instance and start a new incarnation of its seat after 0.5 s."""
    seat = fleet.rng.choice(sorted(fleet.instances_by_seat))
    fleet.call_later(200_000, fleet.kill, seat)
    fleet.call_later(700_000, fleet.start_instance, seat)


@register_fault
def partition(fleet):
    """Cut about half of the one-way links between instances for 1.5 s."""
    seats = sorted(fleet.instances_by_seat)
    links = {(a, b) for a in seats for b in seats if a != b and fleet.rng.random() < 0.5}
    fleet.call_later(100_000, fleet.cut_links.update, links)
    fleet.call_later(1_600_000, fleet.cut_links.clear)


@register_fault
def lossy_links(fleet):
    """Drop 33 % of the messages between instances."""
    fleet.message_loss_probability = 0.33


@register_fault
def poison_request(fleet):
    """Submit a request that crashes each server that runs it, four times."""
    nonce = -fleet.rng.randrange(1, 10**6)
    fleet.poison_nonces.add(nonce)
    for round_number in range(4):
        seat = fleet.rng.choice(sorted(fleet.instances_by_seat))
        fleet.call_later(
            100_000 + 350_000 * round_number, lambda s=seat: fleet.submit_query(s, nonce=nonce)
        )


@register_fault
def silent_connections(fleet):
    """Let a server answer nothing for 1 s and run only about half of the new requests."""
    server = pick_server(fleet)
    fleet.call_later(
        100_000, lambda: setattr(server, "silent_until_us", fleet.now_us + 1_000_000)
    )


@register_fault
def doubled_events(fleet):
    """Deliver 20 % of the ends of sends and of the peer messages twice."""
    fleet.duplicate_probability = 0.2


@register_fault
def delayed_messages(fleet):
    """Delay messages between instances by up to 0.3 s, so that they are reordered."""
    fleet.max_peer_delay_us = 300_000


@register_fault
def domain_out(fleet):
    """Take a domain out of service for the rest of the run."""
    team = replace(fleet.team, version=fleet.team.version + 3, domains_out=(DOMAINS[1],))
    fleet.call_later(50_000, fleet.publish, team)


@register_fault
def leaving_server(fleet):
    """Mark a server as leaving for the rest of the run."""
    first, *others = fleet.team.services[0].leafs
    slots = (replace(first.slots[0], leaving=True), *first.slots[1:])
    leafs = (replace(first, slots=slots), *others)
    service = replace(fleet.team.services[0], leafs=leafs)
    team = replace(fleet.team, version=fleet.team.version + 4, services=(service,))
    fleet.call_later(50_000, fleet.publish, team)


@register_fault
def graceful_stop(fleet):
    """Request the graceful stop of an instance twice; no replacement is started."""
    seat = fleet.rng.choice(sorted(fleet.instances_by_seat))
    instance = fleet.instances_by_seat[seat]
    for delay_us in (100_000, 700_000):
        fleet.call_later(delay_us, fleet.deliver, seat, instance, ev.StopRequested)


@register_fault
def removed_service(fleet):
    """Remove the service while queries run, and publish it again 0.6 s later."""
    kept = []

    def publish(remove):
        team = fleet.team
        if remove:
            kept.append(team)
        last = kept[-1]
        services, callers = ((), ()) if remove else (last.services, last.callers)
        version = team.version + 1
        fleet.publish(replace(team, version=version, services=services, callers=callers))

    fleet.call_later(400_000, publish, True)
    fleet.call_later(1_000_000, publish, False)


@register_fault
def resent_suspects(fleet):
    """Crash a server and submit the requests that were in flight there again, eight times.

    Other requests keep the servers busy meanwhile.
    """
    server = pick_server(fleet)

    def send_again(nonces):
        for nonce in nonces:
            fleet.submit_query(fleet.rng.choice(sorted(fleet.instances_by_seat)), nonce=nonce)

    def crash():
        nonces = [
            send.request.body["nonce"]
            for instance in fleet.instances_by_seat.values()
            for send in instance.sends.values()
            if send.server == server.address and send.request.repeatable
        ]
        fleet.crash(server, down_us=200_000)
        for round_number in range(8):
            fleet.call_later(400_000 + 100_000 * round_number, send_again, nonces[:5])

    fleet.call_later(300_000, crash)


@register_fault
def changed_ceiling(fleet):
    """Double the ceiling of instances and restore it.

    Each instance receives each change at a different time.
    """
    first = fleet.fleet_tree
    for number, ceiling in enumerate((2 * first.instance_ceiling, first.instance_ceiling), 2):
        tree = replace(first, version=number, instance_ceiling=ceiling)
        event = (ev.ConfigRead, "fleet", number, encode_published_tree(tree))
        for seat, instance in fleet.instances_by_seat.items():
            delay_us = (number - 2) * 1_400_000 + fleet.rng.randrange(1_400_000)
            fleet.call_later(delay_us, fleet.deliver, seat, instance, *event)


def run_schedule(seed, faults, queries=150, gap_us=12_000, instances=4, merge="concat"):
    """Run queries, with and without tickets, under faults and return the fleet.

    :param seed: seed of the fleet.
    :param faults: names of the faults to start.
    :param queries: number of queries.
    :param gap_us: time between queries in microseconds.
    :param instances: number of instances.
    :param merge: merge of the service.
    :raises AssertionError: with the name of the broken invariant.
    """
    fleet = Fleet(seed, instances, team=create_team(merge=merge), check=InvariantChecker())
    fleet.run(STARTUP_US)
    for name in sorted(faults):
        FAULTS[name](fleet)
    tickets = []
    for number in range(queries):
        seat = fleet.rng.choice(sorted(fleet.instances_by_seat))
        if fleet.rng.random() < 0.3 and tickets:
            nonce, ticket = fleet.rng.choice(tickets)
            fleet.submit_query(seat, nonce=nonce, repeatable=False, ticket=ticket)
        else:
            priority = fleet.rng.choice(list(Priority))
            submitted = fleet.submit_query(seat, priority=priority)
            if submitted.answers and submitted.answers[0].ticket:
                tickets.append((10**7 + number, submitted.answers[0].ticket))
        fleet.run(gap_us)
        for submitted in list(fleet.submitted_queries.values())[-20:]:
            if submitted.answers and submitted.answers[0].ticket and fleet.rng.random() < 0.05:
                tickets.append((10**8 + submitted.query.query_id, submitted.answers[0].ticket))
    fleet.run(3_000_000)
    check_every_query_was_answered(fleet)
    return fleet

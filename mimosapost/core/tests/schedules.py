"""Seeded fault schedules for the fake fleet; one function for each failure of the brief."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from mimosapost.core.tests.fleet import DOMAINS, Fleet, create_team
from mimosapost.core.tests.invariants import Checker, check_every_query_was_answered
from mimosapost.model import events as ev
from mimosapost.model.codes import Priority

FAULTS: dict[str, Callable[[Fleet], None]] = {}
MERGES = ("concat", "top_k", "sum")
START_US = 4_000_000


def fault(function):
    """Register a fault under the name of its function; it starts and ends by itself."""
    FAULTS[function.__name__] = function
    return function


def pick_server(fleet):
    """Return a seeded choice of server."""
    return fleet.servers[fleet.rng.choice(sorted(fleet.servers))]


@fault
def stragglers(fleet):
    """Let 1 in 20 answers take 20 times as long."""
    fleet.straggler = 0.05


@fault
def lost_replica(fleet):
    """Crash a server for 0.7 s."""
    fleet.at(fleet.rng.randrange(300_000), fleet.crash, pick_server(fleet))


@fault
def repartitioning(fleet):
    """Move all servers to a new snapshot one after the other, then publish it."""
    version = fleet.team.services[0].map_version + 1
    for server in fleet.servers.values():
        fleet.at(fleet.rng.randrange(400_000), setattr, server, "held", (version, version))
    service = replace(fleet.team.services[0], map_version=version, index_version=version)
    team = replace(fleet.team, version=fleet.team.version + 1, services=(service,))
    fleet.at(fleet.rng.randrange(400_000), fleet.publish, team)


@fault
def new_index(fleet):
    """Move all servers to a new index version; the configuration follows late."""
    service = fleet.team.services[0]
    version = service.index_version + 1
    for server in fleet.servers.values():
        held = (service.map_version, version)
        fleet.at(fleet.rng.randrange(200_000), setattr, server, "held", held)
    team = replace(
        fleet.team,
        version=fleet.team.version + 1,
        services=(replace(service, index_version=version),),
    )
    fleet.at(700_000, fleet.publish, team)


@fault
def stale_config_service(fleet):
    """Offer an old subtree again to every instance."""
    old = create_team(1)
    for seat, node in fleet.nodes.items():
        fleet.at(
            fleet.rng.randrange(500_000),
            fleet.deliver,
            seat,
            node,
            ev.ConfigRead,
            "desk",
            1,
            fleet_text(old),
        )


def fleet_text(tree):
    """Return the published text of a subtree."""
    from mimosapost.core.tests.fleet import encode

    return encode(tree)


@fault
def domain_out_and_back(fleet):
    """Take a domain out and bring it back."""
    domain = fleet.rng.choice(DOMAINS)
    version = fleet.team.version
    out = replace(fleet.team, version=version + 1, domains_out=(domain,))
    back = replace(fleet.team, version=version + 2, domains_out=())
    fleet.at(50_000, fleet.publish, out)
    fleet.at(900_000, fleet.publish, back)


@fault
def paused_instance(fleet):
    """Pause an instance for 0.8 s; its events wait."""
    seat = fleet.rng.choice(sorted(fleet.nodes))

    def pause():
        fleet.nodes[seat].paused_until_us = fleet.now_us + 800_000

    fleet.at(fleet.rng.randrange(300_000), pause)


@fault
def replaced_instance(fleet):
    """Kill an instance and start a new incarnation of its seat after 0.5 s."""
    seat = fleet.rng.choice(sorted(fleet.nodes))
    fleet.at(200_000, fleet.kill, seat)
    fleet.at(700_000, fleet.start_node, seat)


@fault
def partition(fleet):
    """Cut half of the links between instances, in one direction, for 1.5 s."""
    seats = sorted(fleet.nodes)
    links = {(a, b) for a in seats for b in seats if a != b and fleet.rng.random() < 0.5}
    fleet.at(100_000, fleet.cut.update, links)
    fleet.at(1_600_000, fleet.cut.clear)


@fault
def lossy_links(fleet):
    """Lose a third of the messages between instances."""
    fleet.loss = 0.33


@fault
def poison_request(fleet):
    """Send a request that crashes each server that runs it, again and again."""
    nonce = -fleet.rng.randrange(1, 10**6)
    fleet.poison.add(nonce)
    for round_number in range(4):
        seat = fleet.rng.choice(sorted(fleet.nodes))
        fleet.at(100_000 + 350_000 * round_number, lambda s=seat: fleet.ask(s, nonce=nonce))


@fault
def silent_connections(fleet):
    """Let half of the work of a server go unanswered for 1 s."""
    server = pick_server(fleet)
    fleet.at(100_000, lambda: setattr(server, "silent_until_us", fleet.now_us + 1_000_000))


@fault
def doubled_events(fleet):
    """Deliver a fifth of the ends of sends and of peer messages twice."""
    fleet.doubled = 0.2


@fault
def delayed_messages(fleet):
    """Delay messages between instances by up to 0.3 s, so that they overtake each other."""
    fleet.peer_delay_us = 300_000


@fault
def domain_out(fleet):
    """Take a domain out for good."""
    team = replace(fleet.team, version=fleet.team.version + 3, domains_out=(DOMAINS[1],))
    fleet.at(50_000, fleet.publish, team)


@fault
def leaving_server(fleet):
    """Mark a server as leaving for good."""
    first, *others = fleet.team.services[0].leafs
    slots = (replace(first.slots[0], leaving=True), *first.slots[1:])
    leafs = (replace(first, slots=slots), *others)
    service = replace(fleet.team.services[0], leafs=leafs)
    team = replace(fleet.team, version=fleet.team.version + 4, services=(service,))
    fleet.at(50_000, fleet.publish, team)


@fault
def graceful_stop(fleet):
    """Stop an instance gracefully, asked twice, and start its replacement."""
    seat = fleet.rng.choice(sorted(fleet.nodes))
    node = fleet.nodes[seat]
    for delay_us in (100_000, 700_000):
        fleet.at(delay_us, fleet.deliver, seat, node, ev.StopRequested)


@fault
def removed_service(fleet):
    """Remove the service while queries run, and publish it again."""
    kept = []

    def publish(remove):
        team = fleet.team
        if remove:
            kept.append(team)
        last = kept[-1]
        services, callers = ((), ()) if remove else (last.services, last.callers)
        version = team.version + 1
        fleet.publish(replace(team, version=version, services=services, callers=callers))

    fleet.at(400_000, publish, True)
    fleet.at(1_000_000, publish, False)


@fault
def resent_suspects(fleet):
    """Crash a server and send what was in flight again and again, while others are busy."""
    server = pick_server(fleet)

    def send_again(nonces):
        for nonce in nonces:
            fleet.ask(fleet.rng.choice(sorted(fleet.nodes)), nonce=nonce)

    def crash():
        nonces = [
            send.request.body["nonce"]
            for node in fleet.nodes.values()
            for send in node.sends.values()
            if send.server == server.address and send.request.repeatable
        ]
        fleet.crash(server, down_us=200_000)
        for round_number in range(8):
            fleet.at(400_000 + 100_000 * round_number, send_again, nonces[:5])

    fleet.at(300_000, crash)


@fault
def changed_ceiling(fleet):
    """Raise the ceiling of instances and lower it; each instance hears of it at its time."""
    first = fleet.fleet_tree
    for number, ceiling in enumerate((2 * first.instance_ceiling, first.instance_ceiling), 2):
        tree = replace(first, version=number, instance_ceiling=ceiling)
        event = (ev.ConfigRead, "fleet", number, fleet_text(tree))
        for seat, node in fleet.nodes.items():
            delay_us = (number - 2) * 1_400_000 + fleet.rng.randrange(1_400_000)
            fleet.at(delay_us, fleet.deliver, seat, node, *event)


def run_schedule(seed, faults, queries=150, gap_us=12_000, instances=4, merge="concat"):
    """Run queries of both kinds while faults go on; return the fleet after its end."""
    fleet = Fleet(seed, instances, team=create_team(merge=merge), check=Checker())
    fleet.run(START_US)
    for name in sorted(faults):
        FAULTS[name](fleet)
    tickets = []
    for number in range(queries):
        seat = fleet.rng.choice(sorted(fleet.nodes))
        if fleet.rng.random() < 0.3 and tickets:
            nonce, ticket = fleet.rng.choice(tickets)
            fleet.ask(seat, nonce=nonce, repeatable=False, ticket=ticket)
        else:
            priority = fleet.rng.choice(list(Priority))
            asked = fleet.ask(seat, priority=priority)
            if asked.answers and asked.answers[0].ticket:
                tickets.append((10**7 + number, asked.answers[0].ticket))
        fleet.run(gap_us)
        for asked in list(fleet.asked.values())[-20:]:
            if asked.answers and asked.answers[0].ticket and fleet.rng.random() < 0.05:
                tickets.append((10**8 + asked.query.query_id, asked.answers[0].ticket))
    fleet.run(3_000_000)
    check_every_query_was_answered(fleet)
    return fleet

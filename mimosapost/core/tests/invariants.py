"""Invariants named on the design page, checked after every event of a simulated fleet."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import msgspec

from mimosapost.core.tests.fake_servers import evaluate_naively
from mimosapost.core.tests.simulated_fleet import Fleet
from mimosapost.model.codes import RunState
from mimosapost.suspects.tracker import SuspicionState

INVARIANTS: dict[str, Callable[[InvariantChecker, Fleet], None]] = {}


def register_invariant(function):
    """Register an invariant under the name of its function."""
    INVARIANTS[function.__name__] = function
    return function


class InvariantChecker:
    """Checks all invariants after an event.

    It stores the accepted versions and the leafs that ran each nonce, so that it checks only
    what is new.
    """

    def __init__(self) -> None:
        self.accepted_versions: dict[tuple[int, int, str], tuple[int, int]] = {}
        self.leafs_run_by_nonce: dict[int, set] = {}

    def __call__(self, fleet: Fleet) -> None:
        """Check all invariants.

        :raises AssertionError: with the name of the broken invariant.
        """
        for name, check in INVARIANTS.items():
            try:
                check(self, fleet)
            except AssertionError as error:
                raise AssertionError(f"{name}: {error}") from error
        fleet.emitted_sends.clear()
        fleet.caller_answers.clear()
        fleet.started_runs.clear()


def read_items(answer):
    """Return the items of a merged result."""
    return msgspec.json.decode(answer.result) if answer.result is not None else []


@register_invariant
def cold_server_within_its_limit(checker, fleet):
    """Fail when a server has more requests in flight than its capacity."""
    for server in fleet.servers.values():
        assert server.in_flight <= server.request_capacity, (server.address, server.in_flight)


@register_invariant
def no_send_to_an_ineligible_slot(checker, fleet):
    """Fail on a send to a slot that the sender's own configuration took out of service."""
    for seat, state, effect in fleet.emitted_sends:
        service = state.services.get(effect.request.service)
        slot = service.slots[effect.server]
        assert slot.domain not in service.view.domains_out, (seat, effect.server)
        leaving = slot.leaving or slot.server in service.view.leaving
        assert not leaving, (seat, effect.server, "the slot or its server is leaving")


@register_invariant
def no_send_to_what_left_3s_ago(checker, fleet):
    """Fail on a send to a domain or server that was taken out of service more than 3 s ago."""
    for seat, state, effect in fleet.emitted_sends:
        domain = state.services[effect.request.service].slots[effect.server].domain
        for key in (domain, effect.server):
            since_us = fleet.out_of_service_since_us.get(key)
            assert since_us is None or fleet.now_us - since_us <= 3_000_000, (seat, key)


@register_invariant
def no_send_after_its_deadline(checker, fleet):
    """Fail on a send that starts at or after its query's deadline."""
    for seat, _, effect in fleet.emitted_sends:
        assert fleet.now_us < effect.deadline_us, (seat, effect.send_id)


@register_invariant
def suspects_are_confined(checker, fleet):
    """Fail on a send of a refused request, or of a suspect that is not confined.

    A suspect is not hedged, is not sent to the last live server of a leaf, and runs alone at
    its server.
    """
    for seat, state, effect in fleet.emitted_sends:
        send = state.sends.get(effect.send_id)
        if send is None:
            continue
        suspicion = state.suspects.classify(send.fingerprint, fleet.now_us)
        assert suspicion is not SuspicionState.REFUSED, (seat, send)
        if send.suspect:
            service = state.services[send.service]
            leaf = next(e for e in service.settings.leafs if e.name == send.leaf)
            live = {s.server for s in leaf.slots if not _is_down(state, s.server)}
            assert len(live) > 1, (
                seat,
                send,
                "a suspect was sent to the last live server of its leaf",
            )
            assert not send.hedge, (seat, send)
    for server in fleet.instances_by_seat[fleet.current_seat].state.servers.values():
        sends = [
            fleet.instances_by_seat[fleet.current_seat].state.sends[key] for key in server.sends
        ]
        alone = not any(send.suspect for send in sends) or len(sends) == 1
        assert alone, (server.address, "a suspect runs beside other requests")


def _is_down(state, address):
    return address in state.servers and state.servers[address].down


@register_invariant
def tables_agree(checker, fleet):
    """Fail when a counter or an index of the state differs from the tables it summarizes."""
    state = fleet.instances_by_seat[fleet.current_seat].state
    running = [entry for entry in state.queries.values() if entry.plan is not None]
    leaf_states = [leaf_state for entry in running for leaf_state in entry.leaf_states.values()]
    assert state.open_queries_by_caller == Counter(entry.query.caller for entry in running), (
        "open_queries_by_caller differs from the running queries of each caller"
    )
    for name, service in state.services.items():
        count = sum(entry.query.service == name for entry in running)
        assert service.open_queries == count, (name, service.open_queries, count)
    queued = len(state.queries) - len(running)
    assert sum(len(s.queue) for s in state.services.values()) == queued, (
        "the lengths of the admission queues differ from the number of queued queries"
    )
    assert state.waiting_leafs == sum(leaf_state.waiting for leaf_state in leaf_states), (
        "waiting_leafs differs from the number of waiting leafs"
    )
    entries = sum(len(server.waiting) for server in state.servers.values())
    assert entries == sum(len(set(leaf_state.waiting_servers)) for leaf_state in leaf_states), (
        "the lengths of the servers' queues differ from the waiting leafs"
    )
    for entry in running:
        assert entry.open_leafs == sum(not p.done for p in entry.leaf_states.values()), (
            "open_leafs differs from the leafs that are not done"
        )
    assert not any(
        leaf_state.waiting and (leaf_state.done or leaf_state.open_sends)
        for leaf_state in leaf_states
    ), "a waiting leaf is done or has an open send"
    of_leafs = sorted(
        send_id for leaf_state in leaf_states for send_id in leaf_state.open_sends
    )
    assert of_leafs == sorted(k for k, s in state.sends.items() if not s.wasted), (
        "the open sends of the leafs differ from the sends in use"
    )
    of_servers = {key: s.address for s in state.servers.values() for key in s.sends}
    assert of_servers == {k: s.slot.server for k, s in state.sends.items()}, (
        "the sends of the servers differ from the table of sends"
    )
    tickets = {e.ticket_number: k for k, e in state.queries.items() if e.ticket_number}
    assert state.query_ids_by_ticket == tickets, (
        "query_ids_by_ticket differs from the tickets of the open queries"
    )
    joined = {key: k for k, entry in state.queries.items() for key in entry.joined_queries}
    assert state.joined_to == joined, (
        "joined_to differs from the queries that joined an open query"
    )
    assert state.reply_to.keys() <= state.queries.keys() | joined.keys(), (
        "reply_to names a query that is not open"
    )


@register_invariant
def nothing_outlives_its_deadline(checker, fleet):
    """Fail when a queued, running, joined or forwarded query is open after its deadline."""
    state = fleet.instances_by_seat[fleet.current_seat].state
    queries = [entry.query for entry in state.queries.values()]
    queries += [q for entry in state.queries.values() for q in entry.joined_queries.values()]
    queries += [entry.query for entry in state.forwards.values()]
    for query in queries:
        assert fleet.now_us <= query.deadline_us, query.query_id


@register_invariant
def a_stop_interrupts_nothing(checker, fleet):
    """Fail when a graceful stop ends while a query is open."""
    instance = fleet.instances_by_seat[fleet.current_seat]
    if instance.stopped:
        assert not instance.state.queries, "the instance stopped with open queries"
        assert not instance.state.forwards, "the instance stopped with forwarded queries"


def check_every_query_was_answered(fleet):
    """Fail when a query that reached an instance lacks its one answer.

    Queries of an incarnation that was killed are exempt.
    """
    for (seat, query_id), submitted in fleet.submitted_queries.items():
        instance = fleet.instances_by_seat[seat]
        lives = instance.state is submitted.state and (instance.alive or instance.stopped)
        if submitted.reached_instance and lives:
            assert len(submitted.answers) == 1, (seat, query_id, len(submitted.answers))


@register_invariant
def configuration_never_reverts(checker, fleet):
    """Fail when an incarnation accepts an older version of a subtree than before."""
    seat, state = fleet.current_seat, fleet.instances_by_seat[fleet.current_seat].state
    for entry in state.configs.list_versions():
        key = (seat, state.identity.incarnation, entry.team)
        rank = (entry.version, entry.digest)
        assert rank >= checker.accepted_versions.get(key, (0, 0)), (key, rank)
        checker.accepted_versions[key] = rank


@register_invariant
def non_idempotent_request_runs_once(checker, fleet):
    """Fail when a non-idempotent request runs twice on a leaf."""
    for leaf, nonce in fleet.started_runs:
        checker.leafs_run_by_nonce.setdefault(nonce, set()).add(leaf)
        if not fleet.queries_by_nonce[nonce][0].query.repeatable:
            runs = fleet.run_counts[leaf, nonce]
            assert runs == 1, (leaf, nonce, runs)


@register_invariant
def answers_are_true(checker, fleet):
    """Fail on a second answer, or on one that contradicts what the servers served and ran."""
    for submitted, answer in fleet.caller_answers:
        key = (submitted.seat, submitted.query.query_id)
        assert len(submitted.answers) == 1, ("a query does not have exactly one answer", key)
        # With several attempts of a request, a refusal states only that its own did not run.
        only_attempt = len(fleet.queries_by_nonce[submitted.nonce]) == 1
        if answer.run is RunState.NOT_RUN and only_attempt:
            executed = checker.leafs_run_by_nonce.get(submitted.nonce)
            assert not executed, (
                "an answer says not run, but the request ran on leafs",
                key,
                executed,
            )
        items = read_items(answer)
        if items:
            in_order = [leaf for leaf in fleet.leaf_names if leaf in answer.covered]
            assert list(answer.covered) == in_order, (
                "covered leafs are not in the order of the shard map"
            )
            version = tuple(answer.snapshot)
            expected = evaluate_naively(fleet.merge, answer.covered, submitted.nonce, version)
            assert items == expected, ("differs from the naive evaluation", items, expected)
        if fleet.merge == "sum":
            continue
        owners = {int(item["key"].rpartition("/")[2]) for item in items}
        assert owners <= {submitted.nonce}, ("the result holds items of another query", key)
        if not items and answer.result is None:
            continue
        versions = {tuple(item["v"]) for item in items}
        assert versions <= {tuple(answer.snapshot)}, ("the result mixes snapshots", versions)
        leafs = [item["key"].rpartition("/")[0] for item in items]
        assert sorted(leafs) == sorted(answer.covered), (
            "the leafs of the items differ from the covered leafs",
            leafs,
            answer.covered,
        )
        missing = {m.leaf for m in answer.missing}
        assert not missing & set(answer.covered), (
            "a leaf is reported both as covered and as missing"
        )
        assert len(missing) + len(answer.covered) == len(fleet.leaf_names)

"""Named invariants of the design page, checked after every event of a fake fleet."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import msgspec

from mimosapost.core.tests.fleet import Fleet
from mimosapost.core.tests.servers import evaluate_naively
from mimosapost.model.codes import RunState
from mimosapost.suspects.book import Standing

INVARIANTS: dict[str, Callable[[Checker, Fleet], None]] = {}


def invariant(function):
    """Register an invariant under the name of its function."""
    INVARIANTS[function.__name__] = function
    return function


class Checker:
    """Checks all invariants; keeps what it has seen to check only what is new."""

    def __init__(self) -> None:
        self.versions: dict[tuple[int, int, str], tuple[int, int]] = {}
        self.nodes_run: dict[int, set] = {}

    def __call__(self, fleet: Fleet) -> None:
        """Check everything; raises ``AssertionError`` with the name of the invariant."""
        for name, check in INVARIANTS.items():
            try:
                check(self, fleet)
            except AssertionError as error:
                raise AssertionError(f"{name}: {error}") from error
        fleet.emitted.clear()
        fleet.answered.clear()
        fleet.ran.clear()


def read_items(answer):
    """Return the items of a merged result."""
    return msgspec.json.decode(answer.result) if answer.result is not None else []


@invariant
def cold_server_within_its_limit(checker, fleet):
    """Fail when a server has more work than it can bear."""
    for server in fleet.servers.values():
        assert server.working <= server.bearable, (server.address, server.working)


@invariant
def no_send_to_an_ineligible_slot(checker, fleet):
    """Fail on a send to a domain that the sender's own configuration has taken out."""
    for seat, state, effect in fleet.emitted:
        service = state.services.get(effect.request.service)
        slot = service.slots[effect.server]
        assert slot.domain not in service.view.domains_out, (seat, effect.server)
        leaving = slot.leaving or slot.server in service.view.leaving
        assert not leaving, (seat, effect.server, "leaving")


@invariant
def no_send_to_what_left_3s_ago(checker, fleet):
    """Fail on a send of any instance 3 s after a domain or a server was taken out."""
    for seat, state, effect in fleet.emitted:
        domain = state.services[effect.request.service].slots[effect.server].domain
        for key in (domain, effect.server):
            since_us = fleet.out_since.get(key)
            assert since_us is None or fleet.now_us - since_us <= 3_000_000, (seat, key)


@invariant
def no_send_after_its_deadline(checker, fleet):
    """Fail on a send that starts when its query's time is over."""
    for seat, _, effect in fleet.emitted:
        assert fleet.now_us < effect.deadline_us, (seat, effect.send_id)


@invariant
def suspects_are_confined(checker, fleet):
    """Fail on a send of a refused request, or of a suspect beside others or as a hedge."""
    for seat, state, effect in fleet.emitted:
        send = state.sends.get(effect.send_id)
        if send is None:
            continue
        standing = state.suspects.classify(send.fingerprint, fleet.now_us)
        assert standing is not Standing.REFUSED, (seat, send)
        if send.suspect:
            service = state.services[send.service]
            leaf = next(e for e in service.settings.leafs if e.name == send.leaf)
            live = {s.server for s in leaf.slots if not _is_down(state, s.server)}
            assert len(live) > 1, (seat, send, "last live slot")
            assert not send.hedge, (seat, send)
    for server in fleet.nodes[fleet.current].state.servers.values():
        sends = [fleet.nodes[fleet.current].state.sends[key] for key in server.sends]
        alone = not any(send.suspect for send in sends) or len(sends) == 1
        assert alone, (server.address, "a suspect is not alone")


def _is_down(state, address):
    return address in state.servers and state.servers[address].down


@invariant
def tables_agree(checker, fleet):
    """Fail when a counter or an index of the state differs from the tables."""
    state = fleet.nodes[fleet.current].state
    running = [entry for entry in state.queries.values() if entry.plan is not None]
    parts = [part for entry in running for part in entry.parts.values()]
    assert state.caller_open == Counter(entry.query.caller for entry in running), "callers"
    for name, service in state.services.items():
        count = sum(entry.query.service == name for entry in running)
        assert service.open_queries == count, (name, service.open_queries, count)
    queued = len(state.queries) - len(running)
    assert sum(len(s.queue) for s in state.services.values()) == queued, "admission queues"
    assert state.waiting_leafs == sum(part.waiting for part in parts), "waiting leafs"
    entries = sum(len(server.waiting) for server in state.servers.values())
    assert entries == sum(len(set(part.waiting_at)) for part in parts), "server queues"
    for entry in running:
        assert entry.open_leafs == sum(not p.done for p in entry.parts.values()), "open leafs"
    assert not any(part.waiting and (part.done or part.open_sends) for part in parts), "waits"
    of_parts = sorted(send_id for part in parts for send_id in part.open_sends)
    assert of_parts == sorted(k for k, s in state.sends.items() if not s.wasted), "open sends"
    of_servers = {key: s.address for s in state.servers.values() for key in s.sends}
    assert of_servers == {k: s.slot.server for k, s in state.sends.items()}, "server sends"
    tickets = {e.ticket_number: k for k, e in state.queries.items() if e.ticket_number}
    assert state.tickets_running == tickets, "tickets"
    joined = {key: k for k, entry in state.queries.items() for key in entry.joined}
    assert state.joined_to == joined, "joined queries"
    assert state.reply_to.keys() <= state.queries.keys() | joined.keys(), "replies"


@invariant
def nothing_outlives_its_deadline(checker, fleet):
    """Fail on a query, queued, running, joined or forwarded, that is open too long."""
    state = fleet.nodes[fleet.current].state
    queries = [entry.query for entry in state.queries.values()]
    queries += [q for entry in state.queries.values() for q in entry.joined.values()]
    queries += [entry.query for entry in state.forwards.values()]
    for query in queries:
        assert fleet.now_us <= query.deadline_us, query.query_id


@invariant
def a_stop_interrupts_nothing(checker, fleet):
    """Fail when an instance ends by a graceful stop with a query open."""
    node = fleet.nodes[fleet.current]
    if node.stopped:
        assert not node.state.queries, "open queries"
        assert not node.state.forwards, "forwarded queries"


def check_every_query_was_answered(fleet):
    """Fail on a query without its one answer, unless its instance died."""
    for (seat, query_id), asked in fleet.asked.items():
        node = fleet.nodes[seat]
        lives = node.state is asked.state and (node.alive or node.stopped)
        if asked.taken and lives:
            assert len(asked.answers) == 1, (seat, query_id, len(asked.answers))


@invariant
def configuration_never_reverts(checker, fleet):
    """Fail when an accepted version falls within one incarnation."""
    seat, state = fleet.current, fleet.nodes[fleet.current].state
    for entry in state.configs.versions():
        key = (seat, state.identity.incarnation, entry.team)
        rank = (entry.version, entry.digest)
        assert rank >= checker.versions.get(key, (0, 0)), (key, rank)
        checker.versions[key] = rank


@invariant
def non_idempotent_request_runs_once(checker, fleet):
    """Fail when a request that must not be repeated runs twice on a leaf."""
    for leaf, nonce in fleet.ran:
        checker.nodes_run.setdefault(nonce, set()).add(leaf)
        if not fleet.by_nonce[nonce][0].query.repeatable:
            runs = fleet.runs[leaf, nonce]
            assert runs == 1, (leaf, nonce, runs)


@invariant
def answers_are_true(checker, fleet):
    """Fail on a doubled, mixed, crossed or falsely stated answer."""
    for asked, answer in fleet.answered:
        key = (asked.node, asked.query.query_id)
        assert len(asked.answers) == 1, ("answered twice", key)
        # Another attempt of the same request may have run; that is not this refusal's.
        only_attempt = len(fleet.by_nonce[asked.nonce]) == 1
        if answer.run is RunState.NOT_RUN and only_attempt:
            ran = checker.nodes_run.get(asked.nonce)
            assert not ran, ("marked not run but ran", key, ran)
        items = read_items(answer)
        if items:
            in_order = [leaf for leaf in fleet.leafs if leaf in answer.covered]
            assert list(answer.covered) == in_order, "order of the shard map"
            version = tuple(answer.snapshot)
            expected = evaluate_naively(fleet.merge, answer.covered, asked.nonce, version)
            assert items == expected, ("differs from the naive evaluation", items, expected)
        if fleet.merge == "sum":
            continue
        owners = {int(item["key"].rpartition("/")[2]) for item in items}
        assert owners <= {asked.nonce}, ("answer of another query", key)
        if not items and answer.result is None:
            continue
        versions = {tuple(item["v"]) for item in items}
        assert versions <= {tuple(answer.snapshot)}, ("mixed snapshots", versions)
        leafs = [item["key"].rpartition("/")[0] for item in items]
        assert sorted(leafs) == sorted(answer.covered), ("coverage", leafs, answer.covered)
        missing = {m.leaf for m in answer.missing}
        assert not missing & set(answer.covered), "a leaf is covered and missing"
        assert len(missing) + len(answer.covered) == len(fleet.leafs)

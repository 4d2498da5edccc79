"""Named invariants of the design page, checked after every event of a fake fleet."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from mimosapost.core.tests.fleet import Fleet
from mimosapost.model.codes import RunState

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
        assert len(missing) + len(answer.covered) == len(fleet.team.services[0].leafs)

"""Order of configuration versions, and the choices of the gossip protocol."""

from random import Random

import pytest
from returns.result import Failure, Success

from mimosapost.membership.config_store import (
    Accepted,
    ConfigStore,
    Refused,
    Stale,
    compute_digest,
)
from mimosapost.membership.gossip_choices import (
    MAX_ANNOUNCED_VERSIONS,
    choose_announced,
    choose_newer_versions,
    choose_requests,
    compute_config_read_interval_s,
    should_read_config,
)
from mimosapost.model.peer_messages import TreeVersion
from mimosapost.model.published_settings import FleetTree, TeamTree


class Checker:
    """Check that accepts every text except those that begin with ``bad``."""

    def __init__(self):
        self.calls = 0

    def __call__(self, team, text):
        self.calls += 1
        if text.startswith(b"bad"):
            return Failure(("fault",))
        if team == "fleet":
            return Success(FleetTree(version=1, teams=(), regions={}))
        return Success(TeamTree(team=team, version=1))


def test_accepted_subtree_is_never_replaced_by_an_older_one():
    # Peers may deliver old subtrees late, or another text of the same version.
    store = ConfigStore(Checker())
    low, high = sorted((b"x", b"y"), key=compute_digest)
    assert isinstance(store.offer("desk", 5, low, 0), Accepted)
    assert store.offer("desk", 4, b"older", 1) == Stale(5)
    assert store.offer("desk", 5, low, 1) == Stale(5)
    assert isinstance(store.offer("desk", 5, high, 2), Accepted)
    assert store.offer("desk", 5, low, 3) == Stale(5)
    assert store.get_text("desk") == high
    assert store.list_versions() == (TreeVersion("desk", 5, compute_digest(high)),)


def test_refused_text_is_checked_once():
    # Peers may offer the same invalid subtree again in every gossip round; it must not be
    # parsed and logged each time.
    check = Checker()
    store = ConfigStore(check)
    store.offer("desk", 1, b"good", 0)
    assert store.offer("desk", 2, b"bad", 1) == Refused(("fault",))
    assert store.offer("desk", 2, b"bad", 2) == Refused(("fault",), repeated=True)
    assert check.calls == 2
    assert store.get_text("desk") == b"good"
    assert store.is_refused(TreeVersion("desk", 2, compute_digest(b"bad")))
    assert isinstance(store.offer("desk", 2, b"corrected", 3), Accepted)


def test_one_invalid_team_leaves_others_in_force():
    store = ConfigStore(Checker())
    store.offer("desk", 1, b"bad", 0)
    store.offer("fleet", 1, b"ok", 0)
    assert store.get_team("desk") is None
    assert store.get_fleet().teams == ()
    assert store.get_team("fleet") is None
    assert [row["refused_versions"] for row in store.describe(5)] == [[1], []]


def create_versions(*pairs):
    return tuple(TreeVersion(team, version, 0) for team, version in pairs)


def test_requested_and_announced_versions():
    own = create_versions(("a", 1), ("b", 5), ("c", 2))
    theirs = create_versions(("a", 3), ("b", 4), ("d", 1))
    assert choose_requests(own, theirs) == ("a", "d")
    assert choose_requests(own, theirs, lambda entry: entry.team == "a") == ("d",)
    assert choose_requests(own, theirs, limit=1) == ("a",)
    assert choose_newer_versions(own, theirs) == create_versions(("b", 5), ("c", 2))
    # A list of ``limit`` versions may be incomplete, so the peer may know team c.
    assert choose_newer_versions(own, theirs, limit=3) == create_versions(("b", 5))


def test_announced_versions_are_bounded_and_rotate():
    # Without a limit, messages would grow with the number of teams. Without the rotation, a
    # team might never be announced again after its change.
    own = create_versions(*((f"t{i:03}", 1) for i in range(100)))
    seen = set()
    for number in range(50):
        chosen = choose_announced(own, [f"t{i:03}" for i in range(50)], number)
        assert len(chosen) == MAX_ANNOUNCED_VERSIONS
        assert [entry.team for entry in chosen[:2]] == ["t000", "t001"]
        seen.update(entry.team for entry in chosen)
    assert len(seen) == 100


@pytest.mark.parametrize("ceiling", [1, 4, 8, 9, 40, 690])
def test_reads_of_the_fleet_stay_within_the_limit(ceiling):
    # Each instance decides alone whether to read, so the sum over all instances could exceed
    # the read limit of the configuration service.
    rng = Random(5)
    rounds = 400
    reads = [
        sum(should_read_config(seat, ceiling, rng) for seat in range(ceiling))
        for _ in range(rounds)
    ]
    mean = sum(reads) / rounds / compute_config_read_interval_s(ceiling)
    # The 9 instances of a fleet of 9 read once a second; 20.5 is the limit of 20 reads a second
    # and a margin for the random choice.
    assert 9 <= mean <= 20.5
    if ceiling <= 8:
        assert set(reads) == {ceiling}
    assert not should_read_config(ceiling, ceiling, rng)

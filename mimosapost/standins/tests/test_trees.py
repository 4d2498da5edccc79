"""Tests of the example deployments.

Instances refuse settings that break a rule, and a benchmark says nothing about the deployment
in the design page if the generated one has another size.
"""

from hashlib import sha256
from itertools import chain
from pathlib import Path

import pytest
from returns.result import Success

from mimosapost.settings.local import check_local_settings
from mimosapost.settings.published import check_subtree
from mimosapost.settings.subtree_directory import check_tree
from mimosapost.standins.trees import (
    create_sapatilha,
    create_sunbrook,
    create_token,
    write_deployment,
)

EXAMPLES = Path(__file__).parents[3] / "examples"
CREATORS = {"sapatilha": create_sapatilha, "sunbrook": create_sunbrook}
# Deployment, team, and numbers of services, leafs per service, slots per leaf and connections
# per server, from section 2 of the design page.
SIZES = [
    ("sapatilha", "booking", 20, 2, 2, 25),
    ("sapatilha", "repair", 30, 2, 2, 25),
    ("sapatilha", "billing", 1, 3, 3, 110),
    ("sapatilha", "courier", 1, 3, 3, 110),
    ("sunbrook", "dispatch", 20, 2, 2, 25),
    ("sunbrook", "counter", 30, 2, 2, 25),
    ("sunbrook", "billing", 1, 7, 3, 40),
    ("sunbrook", "sorting", 1, 3, 3, 40),
]


@pytest.mark.parametrize(("name", "team", "services", "leafs", "slots", "connections"), SIZES)
def test_sizes_match_design_page(name, team, services, leafs, slots, connections):
    (tree,) = (tree for tree in CREATORS[name]().teams if tree.team == team)
    assert len(tree.services) == services
    for service in tree.services:
        assert service.connections == connections
        assert [len(leaf.slots) for leaf in service.leafs] == [slots] * leafs


@pytest.mark.parametrize("name", CREATORS)
def test_addresses_are_unique_and_slots_of_a_leaf_in_different_domains(name):
    deployment = CREATORS[name]()
    services = chain.from_iterable(tree.services for tree in deployment.teams)
    leafs = [leaf for service in services for leaf in service.leafs]
    servers = [slot.server for leaf in leafs for slot in leaf.slots]
    assert len(set(servers)) == len(servers)
    for leaf in leafs:
        assert len({slot.domain for slot in leaf.slots}) == len(leaf.slots)
        assert all(slot.domain in deployment.fleet.regions for slot in leaf.slots)


@pytest.mark.parametrize("name", CREATORS)
def test_documents_pass_checks_and_parse_to_the_same_trees(name):
    deployment = CREATORS[name]()
    trees = (deployment.fleet, *deployment.teams)
    for (path, text), tree in zip(deployment.list_documents(), trees, strict=True):
        assert check_subtree(Path(path).stem, text.encode()) == Success(tree)


@pytest.mark.parametrize("name", CREATORS)
def test_files_in_examples_are_current_and_valid(name):
    for path, text in CREATORS[name]().list_documents():
        assert (EXAMPLES / name / path).read_text() == text
    report = check_tree(EXAMPLES / name)
    assert (report.faults, report.warnings) == ((), ())


def test_local_example_is_accepted():
    assert isinstance(check_local_settings((EXAMPLES / "local.json").read_bytes()), Success)


@pytest.mark.parametrize("name", CREATORS)
def test_token_digests_match(name):
    for tree in CREATORS[name]().teams:
        assert tree.callers
        for caller in tree.callers:
            assert caller.token_digest == sha256(create_token(caller.name).encode()).hexdigest()


def test_smaller_deployment_has_same_addresses(tmp_path):
    small, full = create_sapatilha(1), create_sapatilha()
    assert small.teams[0].services == full.teams[0].services[:1]
    write_deployment(small, tmp_path)
    assert check_tree(tmp_path).faults == ()

"""Property tests of the checks with arbitrary and with damaged documents.

A check must return settings or faults for every text instead of raising an exception, and the
same result when it is called again; otherwise instances could disagree about a document.
"""

import json
from dataclasses import fields

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from mimosapost.model.published_settings import (
    FleetTree,
    LeafSettings,
    ServiceSettings,
    SlotSettings,
    TeamTree,
)
from mimosapost.settings.faults import Fault
from mimosapost.settings.local import LocalSettings
from mimosapost.settings.published import check_subtree
from mimosapost.settings.tests.test_published import CHECKS

SETTINGS_CLASSES = (
    TeamTree,
    ServiceSettings,
    LeafSettings,
    SlotSettings,
    FleetTree,
    LocalSettings,
)
KEYS = sorted(
    {field.name for kind in SETTINGS_CLASSES for field in fields(kind)} | {"token_digest"}
)
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=8),
    st.sampled_from(["fleet", "127.0.0.1:1", "http://[", "fd:3", "0" * 64, "\ud800"]),
)
VALUES = st.recursive(
    SCALARS,
    lambda members: st.one_of(
        st.lists(members, max_size=4),
        st.dictionaries(st.sampled_from(KEYS), members, max_size=6),
    ),
    max_leaves=20,
)


def list_locations(value, location=()):
    yield location
    members = value.items() if isinstance(value, dict) else enumerate(value)
    for key, member in members if isinstance(value, (dict, list)) else ():
        if isinstance(member, (dict, list)):
            yield from list_locations(member, (*location, key))
        else:
            yield (*location, key)


def assert_consistent_result(check, text):
    result = check(text)
    assert check(text) == result
    if isinstance(result, Success):
        assert result.unwrap() is not None
        return
    assert isinstance(result, Failure)
    assert result.failure()
    for fault in result.failure():
        assert isinstance(fault, Fault)
        assert str(fault).isprintable()


@pytest.mark.parametrize("kind", CHECKS)
@settings(derandomize=True, max_examples=150, deadline=None, database=None)
@given(text=st.binary(max_size=200) | VALUES.map(lambda value: json.dumps(value).encode()))
def test_any_text_gives_a_result(kind, text):
    assert_consistent_result(CHECKS[kind][0], text)
    assert_consistent_result(lambda content: check_subtree(kind, content), text)


@pytest.mark.parametrize("kind", CHECKS)
@settings(derandomize=True, max_examples=150, deadline=None, database=None)
@given(data=st.data())
def test_valid_document_with_changes_gives_a_result(kind, data):
    document = CHECKS[kind][1]()
    for _ in range(data.draw(st.integers(1, 4))):
        location = data.draw(st.sampled_from(list(list_locations(document))[1:]))
        parent = document
        for key in location[:-1]:
            parent = parent[key]
        parent[location[-1]] = data.draw(VALUES)
    assert_consistent_result(CHECKS[kind][0], json.dumps(document).encode())


@pytest.mark.parametrize("kind", CHECKS)
@settings(derandomize=True, max_examples=150, deadline=None, database=None)
@given(data=st.data())
def test_damaged_text_gives_a_result(kind, data):
    text = bytearray(json.dumps(CHECKS[kind][1]()).encode())
    for _ in range(data.draw(st.integers(1, 3))):
        start = data.draw(st.integers(0, len(text)))
        end = data.draw(st.integers(start, min(len(text), start + 20)))
        text[start:end] = data.draw(st.binary(max_size=10))
    assert_consistent_result(CHECKS[kind][0], bytes(text))

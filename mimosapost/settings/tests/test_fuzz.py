"""Guards against documents that crash a check, and against checks that are not pure."""

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

TYPES = (TeamTree, ServiceSettings, LeafSettings, SlotSettings, FleetTree, LocalSettings)
KEYS = sorted({field.name for kind in TYPES for field in fields(kind)} | {"token_digest"})
LEAVES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=8),
    st.sampled_from(["fleet", "127.0.0.1:1", "http://[", "fd:3", "0" * 64, "\ud800"]),
)
VALUES = st.recursive(
    LEAVES,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4), st.dictionaries(st.sampled_from(KEYS), inner, max_size=6)
    ),
    max_leaves=20,
)


def list_positions(value, location=()):
    yield location
    members = value.items() if isinstance(value, dict) else enumerate(value)
    for key, member in members if isinstance(value, (dict, list)) else ():
        if isinstance(member, (dict, list)):
            yield from list_positions(member, (*location, key))
        else:
            yield (*location, key)


def assert_sound(check, text):
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
    assert_sound(CHECKS[kind][0], text)
    assert_sound(lambda content: check_subtree(kind, content), text)


@pytest.mark.parametrize("kind", CHECKS)
@settings(derandomize=True, max_examples=150, deadline=None, database=None)
@given(data=st.data())
def test_valid_document_with_changes_gives_a_result(kind, data):
    document = CHECKS[kind][1]()
    for _ in range(data.draw(st.integers(1, 4))):
        location = data.draw(st.sampled_from(list(list_positions(document))[1:]))
        target = document
        for key in location[:-1]:
            target = target[key]
        target[location[-1]] = data.draw(VALUES)
    assert_sound(CHECKS[kind][0], json.dumps(document).encode())


@pytest.mark.parametrize("kind", CHECKS)
@settings(derandomize=True, max_examples=150, deadline=None, database=None)
@given(data=st.data())
def test_damaged_text_gives_a_result(kind, data):
    text = bytearray(json.dumps(CHECKS[kind][1]()).encode())
    for _ in range(data.draw(st.integers(1, 3))):
        start = data.draw(st.integers(0, len(text)))
        end = data.draw(st.integers(start, min(len(text), start + 20)))
        text[start:end] = data.draw(st.binary(max_size=10))
    assert_sound(CHECKS[kind][0], bytes(text))

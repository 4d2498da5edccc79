"""Checks the imports between packages against the two paths drawn in docs/design.md.

An import across these layers would let decisions depend on input or output, or general code on
the platform.
"""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

from mimosapost.model.events import Event, PeerLost, PeerMessageArrived, StopRequested
from mimosapost.relay import events, reducer
from mimosapost.relay.registry import TimerKind, find_timer_handler, list_handled_types

assert reducer.reduce, "handlers are registered by importing the reducer"

PACKAGE = Path(__file__).parents[2]
SHARED = {"model", "limits", "suspects", "relay"}


def list_imports(folder: str) -> set[tuple[str, str]]:
    """Return the project modules that a package imports, as pairs of package and module."""
    found = set()
    for path in (PACKAGE / folder).glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith(
                "mimosapost."
            ):
                parts = node.module.split(".")[1:]
                names = [alias.name for alias in node.names] if len(parts) == 1 else [parts[1]]
                found |= {(parts[0], name) for name in names}
    return found


def test_every_event_has_a_handler_in_its_reducer():
    known = Event.__subclasses__()
    own = {event.__name__ for event in known if event.__module__ == events.__name__}
    handled = {event.__name__ for event in list_handled_types()}
    shared = {StopRequested, PeerLost, PeerMessageArrived}
    assert handled == own | {event.__name__ for event in shared}
    modules = {event.__module__ for event in known}
    assert modules == {events.__name__, Event.__module__}


def test_every_timer_has_a_function():
    assert all(find_timer_handler(kind) for kind in TimerKind)


def test_the_relay_decides_without_input_or_output():
    others = {(p, m) for p, m in list_imports("relay") if p not in SHARED}
    assert others == {("core", "timers"), ("membership", "members")}


def test_the_platform_folder_uses_the_relay_and_its_edge_only():
    others = (
        {p for p, _ in list_imports("platform")} - SHARED - {"platform", "edge", "settings"}
    )
    assert others == set()
    modules = {m for p, m in list_imports("platform") if p == "settings"}
    assert modules == {"faults"}


@pytest.mark.parametrize("package", ["core", "model", "limits", "suspects", "edge", "relay"])
def test_nothing_but_commands_imports_the_platform_folder(package):
    assert "platform" not in {p for p, _ in list_imports(package)}


def test_the_platform_folder_is_a_small_part_of_the_code():
    lines = {}
    for path in PACKAGE.rglob("*.py"):
        if "tests" not in path.parts:
            top = path.relative_to(PACKAGE).parts[0]
            count = sum(1 for line in path.read_text().splitlines() if line.strip())
            lines[top] = lines.get(top, 0) + count
    assert lines["platform"] < sum(lines.values()) / 10

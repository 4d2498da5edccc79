"""Guards against modules of a package that need each other, which none can be read alone."""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[2]


def list_needs(package: str) -> dict[str, set[str]]:
    """Return the modules of the same package that each module imports."""
    folder = PACKAGE / package
    modules = {path.stem for path in folder.glob("*.py")}
    needs = {}
    for path in folder.glob("*.py"):
        found = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.ImportFrom):
                continue
            if node.module == f"mimosapost.{package}":
                found |= {alias.name for alias in node.names}
            elif (node.module or "").startswith(f"mimosapost.{package}."):
                found.add(node.module.split(".")[2])
        needs[path.stem] = (found & modules) - {path.stem}
    return needs


@pytest.mark.parametrize(
    "package",
    [
        "core",
        "edge",
        "limits",
        "membership",
        "once",
        "platform",
        "relay",
        "routing",
        "suspects",
    ],
)
def test_the_modules_of_a_package_do_not_import_each_other_in_a_circle(package):
    needs = list_needs(package)
    assert len(needs) > 1
    TopologicalSorter(needs).prepare()

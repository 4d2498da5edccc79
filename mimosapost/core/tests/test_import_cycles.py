"""Import cycles between the modules of a package.

Modules that import each other cannot be read or tested one at a time.
"""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

PACKAGES_ROOT = Path(__file__).parents[2]


def list_imports(package: str) -> dict[str, set[str]]:
    """Return the modules of the same package that each module imports."""
    folder = PACKAGES_ROOT / package
    modules = {path.stem for path in folder.glob("*.py")}
    imports = {}
    for path in folder.glob("*.py"):
        imported = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.ImportFrom):
                continue
            if node.module == f"mimosapost.{package}":
                imported |= {alias.name for alias in node.names}
            elif (node.module or "").startswith(f"mimosapost.{package}."):
                imported.add(node.module.split(".")[2])
        imports[path.stem] = (imported & modules) - {path.stem}
    return imports


@pytest.mark.parametrize(
    "package",
    [
        "core",
        "edge",
        "limits",
        "membership",
        "platform",
        "relay",
        "routing",
        "suspects",
        "tickets",
    ],
)
def test_package_has_no_import_cycle(package):
    """``TopologicalSorter.prepare`` raises ``CycleError`` with the modules of a cycle."""
    imports = list_imports(package)
    assert len(imports) > 1
    TopologicalSorter(imports).prepare()

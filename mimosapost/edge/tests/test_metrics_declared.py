"""Checks that each counter that the program increments is declared.

An undeclared counter is counted under another name, and is missing when an incident is traced.
"""

from __future__ import annotations

import re
from pathlib import Path

import pytest

import mimosapost
from mimosapost.edge.metrics import METRICS

ROOT = Path(mimosapost.__file__).parent
NAME = re.compile(r'"(mimosapost_[a-z_]+_total)"')
NAMES = {
    name: str(path.relative_to(ROOT))
    for path in sorted(ROOT.rglob("*.py"))
    if "tests" not in path.parts
    for name in NAME.findall(path.read_text(encoding="utf-8"))
}


@pytest.mark.parametrize("name", NAMES)
def test_every_counter_in_the_source_is_declared(name):
    assert name in METRICS, f"{NAMES[name]} increments it"

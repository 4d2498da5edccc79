"""Tests for ``tools/known_red.py``, which runs all tests but the known failures.

An entry that matches more than its own test, or a malformed entry that is ignored, would hide
other failures.
"""

import importlib.util
import os
import subprocess
import sys
from pathlib import Path

import pytest

TOOL = Path(__file__).parents[3] / "tools" / "known_red.py"
SPEC = importlib.util.spec_from_file_location("known_red", TOOL)
known_red = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(known_red)

ENTRY = """# comment
test: {}
command: make test, seed 7
seen: the second query
  never ended
issue: 12
"""
MALFORMED = [
    pytest.param("nonsense\n", "unexpected line", id="line without a field"),
    pytest.param("test: a\n", "no command, issue, seen", id="missing fields"),
    pytest.param("test: a\ntest: b\n", "unexpected line", id="repeated test"),
    pytest.param("test: a\n\ncommand: b\n", "no command", id="blank line within an entry"),
    pytest.param(" test: a\n", "unexpected line", id="continuation before a field"),
    pytest.param("test:\ncommand: a\nseen: b\nissue: c\n", "no test", id="empty test"),
]


@pytest.mark.parametrize(("text", "reason"), MALFORMED)
def test_malformed_entries_are_refused(text, reason):
    with pytest.raises(known_red.EntryError, match=reason):
        known_red.read_entries(text)


@pytest.mark.parametrize("test", ["a.py::test_x", "a.py", "a.py::test_gone", "a.py::test_p"])
def test_ids_that_leave_out_other_tests_are_refused(test):
    known = ["a.py::test_x", "a.py::test_xy", "a.py::test_p[1]", "a.py::test_p[2]"]
    with pytest.raises(known_red.EntryError):
        known_red.check_ids([test], known)
    known_red.check_ids(["a.py::test_xy", "a.py::test_p[1]"], known)


@pytest.mark.parametrize(
    ("names", "status", "outcome"),
    [
        pytest.param(["test_red[a b]"], 0, "1 passed, 1 deselected", id="listed test"),
        pytest.param(["test_gone"], 1, "matches 0 tests", id="listed test that does not exist"),
        pytest.param([], 1, "1 failed, 1 passed", id="no listed test"),
    ],
)
@pytest.mark.parametrize("options", ["", "-q"])
def test_exactly_the_listed_tests_are_left_out(names, status, outcome, options, tmp_path):
    (tmp_path / "pytest.ini").write_text(f"[pytest]\naddopts = {options}\n")
    (tmp_path / "test_a.py").write_text(
        "import pytest\n"
        "@pytest.mark.parametrize('x', ['a b'])\n"
        "def test_red(x): assert 0\n"
        "def test_ok(): pass\n"
    )
    entries = [ENTRY.format(f"test_a.py::{name}") for name in names]
    (tmp_path / "KNOWN-RED.txt").write_text("\n".join(entries))
    command = [sys.executable, str(TOOL), "-p", "no:cacheprovider"]
    # Loading plugins takes most of the time of such a short run.
    env = os.environ | {"PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"}
    completed = subprocess.run(command, cwd=tmp_path, env=env, capture_output=True, text=True)
    assert completed.returncode == status
    assert outcome in completed.stdout + completed.stderr
    shown = "seen: the second query never ended; issue: 12" in completed.stdout
    assert shown == (names == ["test_red[a b]"])

"""Tests for the console script: error messages, exit statuses and imports.

Errors must appear as one line instead of a traceback, and a check of settings must not wait for
the import of the server modules.
"""

import json
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from mimosapost.commands.entry import main
from mimosapost.commands.registry import load_commands
from mimosapost.settings.tests.test_published import create_fleet, create_local, create_team

ROOT = Path(__file__).parents[3]
ERRORS = [
    pytest.param([], "too few arguments", id="no command"),
    pytest.param(["nope"], "invalid choice: 'nope'", id="unknown command"),
    pytest.param(["check"], "at least one file", id="check without a path"),
    pytest.param(
        ["check", "--nope", "x"], "unrecognized arguments: --nope", id="unknown option"
    ),
    pytest.param(["check", "gone.json"], "No such file or directory", id="missing file"),
    pytest.param(["check", "a\0b"], "null byte", id="null byte in a path"),
    pytest.param(
        ["check", "line\nbreak.json"], "No such file or directory", id="line break in a path"
    ),
    pytest.param(
        ["reference", "--docs", "gone"],
        "gone is not a directory",
        id="missing directory of the pages",
    ),
]


@pytest.mark.parametrize(("arguments", "reason"), ERRORS)
def test_errors_are_one_line(arguments, reason, capsys, tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    assert main(arguments) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1
    assert reason in lines[0]


def test_version_is_that_of_the_package(capsys):
    """Check that ``--version`` prints the version in ``pyproject.toml``.

    The two differ if the code states a version of its own or the installed metadata is old.
    """
    assert main(["--version"]) == 0
    with (ROOT / "pyproject.toml").open("rb") as stream:
        project = tomllib.load(stream)["project"]
    assert capsys.readouterr().out == f"{project['name']} {project['version']}\n"


def test_unreadable_file_is_one_line(capsys, tmp_path):
    assert main(["check", str(tmp_path), "/dev/null"]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 2
    assert "expected a regular file" in lines[1]


def test_check_imports_no_server_modules():
    script = (
        "import sys; from mimosapost.commands.entry import main; main(['check', '/dev/null']);"
        "sys.exit(any(name in sys.modules for name in ('aiohttp', 'mode', 'capnp')))"
    )
    completed = subprocess.run([sys.executable, "-c", script], cwd=ROOT, capture_output=True)
    assert completed.returncode == 0
    assert set(load_commands("check")) == {"check"}


def test_closed_pipe_gives_no_traceback():
    script = (
        "import sys; from mimosapost.commands.entry import main;"
        "sys.stdin.read(); sys.exit(main(['check', *['README.md'] * 999]))"
    )
    process = subprocess.Popen(
        [sys.executable, "-c", script],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    process.stdout.close()
    process.stdin.close()
    errors = process.stderr.read().decode()
    process.stderr.close()
    assert process.wait() == 1
    assert errors == ""


# Path of the file, document, path of the fault (an empty string if the file is valid).
FILES = [
    pytest.param("a.json", create_team(), "", id="team"),
    pytest.param("a.json", create_team(version=0), "version", id="invalid team"),
    pytest.param("a.json", create_fleet(), "", id="fleet"),
    pytest.param("a.json", create_local(), "", id="local"),
    pytest.param("a.json", create_local(seat=-1), "seat", id="invalid local"),
    pytest.param("fleet.json", create_local(), "regions", id="local settings as fleet.json"),
    pytest.param("teams/booking.json", create_team(), "", id="team under its name"),
    pytest.param("teams/repair.json", create_team(), "team", id="team under another name"),
]


@pytest.mark.parametrize(("name", "document", "path"), FILES)
def test_check_finds_the_kind_of_a_file(name, document, path, tmp_path, capsys):
    file = tmp_path / name
    file.parent.mkdir(exist_ok=True)
    file.write_text(json.dumps(document))
    assert main(["check", str(file)]) == (2 if path else 0)
    assert f"{file}: {path}: found" in capsys.readouterr().out or not path


def test_check_prints_every_fault_of_every_path(tmp_path, capsys):
    tree = tmp_path / "tree"
    (tree / "teams").mkdir(parents=True)
    (tree / "fleet.json").write_text(json.dumps(create_fleet(teams=["gone"])))
    (tree / "teams" / "booking.json").write_text(json.dumps(create_team(version=0, x=1)))
    (tmp_path / "local.json").write_text(json.dumps(create_local(seat="0")))
    assert main(["check", str(tree), str(tmp_path / "local.json")]) == 2
    output = capsys.readouterr().out
    for part in ("booking.json: version:", "booking.json: x:", "local.json: seat:", "3 faults"):
        assert part in output
    assert "warning: " in output


def test_warnings_alone_are_no_failure(tmp_path, capsys):
    (tmp_path / "fleet.json").write_text(json.dumps(create_fleet()))
    assert main(["check", str(tmp_path)]) == 0
    assert "warning: " in capsys.readouterr().out

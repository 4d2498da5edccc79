"""Tests for the choice of a benchmark and for its imports.

A benchmark can run for minutes, so an invalid name or path must be reported before it starts.
"""

import subprocess
import sys
from pathlib import Path

import pytest

from mimosapost.commands import bench
from mimosapost.commands.entry import main

ROOT = Path(__file__).parents[3]


def test_name_selects_the_benchmark(monkeypatch, tmp_path):
    calls = []
    monkeypatch.setattr(bench, "_BENCHMARKS", {})
    bench.benchmark("one")(lambda *arguments: calls.append(arguments) or 0)
    bench.benchmark("two")(lambda *_: pytest.fail("the other benchmark ran"))
    file = tmp_path / "a.json"
    assert main(["bench", "one", "--seed", "5", "--small", "--json", str(file)]) == 0
    assert calls == [(5, True, file, None)]


def test_registered_name_is_refused():
    with pytest.raises(ValueError, match="already registered"):
        bench.benchmark("slopes")(bench.run_slopes)


@pytest.mark.parametrize(
    ("arguments", "reason"),
    [
        pytest.param(
            ["nope"], "unknown benchmark nope; expected one of slopes", id="unknown benchmark"
        ),
        pytest.param(
            ["slopes", "--json", "gone/a.json"],
            "gone is not a directory",
            id="missing directory of the JSON file",
        ),
        pytest.param(
            ["slopes", "--plot", "gone/a.png"],
            "gone is not a directory",
            id="missing directory of the plot",
        ),
    ],
)
def test_errors_are_reported_before_the_benchmark_starts(
    arguments, reason, capsys, monkeypatch, tmp_path
):
    monkeypatch.chdir(tmp_path)
    monkeypatch.setitem(
        bench._BENCHMARKS, "slopes", lambda *_: pytest.fail("the benchmark started")
    )
    assert main(["bench", *arguments]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1
    assert reason in lines[0]


def test_command_imports_neither_servers_nor_matplotlib():
    """Check that the choice of a benchmark imports neither server modules nor matplotlib.

    matplotlib is a development dependency. An import at the top of the module would break the
    command in an installed program.
    """
    script = (
        "import sys; from mimosapost.commands.entry import main; main(['bench', 'nope']);"
        "sys.exit(any(name in sys.modules for name in ('aiohttp', 'capnp', 'matplotlib')))"
    )
    completed = subprocess.run([sys.executable, "-c", script], cwd=ROOT, capture_output=True)
    assert completed.returncode == 0


def test_slopes_run_without_matplotlib():
    """Check that matplotlib is not imported unless a plot is requested.

    It is a development dependency, so the import fails in an installed program.
    """
    script = (
        "import sys; sys.modules['matplotlib'] = None;"
        "from mimosapost.bench.slopes import Scale, run_slopes;"
        "sys.exit(not run_slopes(Scale(1, True), ('subtree bytes',)))"
    )
    completed = subprocess.run([sys.executable, "-c", script], cwd=ROOT, capture_output=True)
    assert completed.returncode == 0, completed.stderr

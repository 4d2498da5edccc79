"""``mimosapost bench``: run a registered benchmark by name."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path

from mimosapost.commands.registry import CommandError, command

__all__ = ["bench", "benchmark"]

BenchmarkFunction = Callable[[int, bool, Path | None, Path | None], int]
_BENCHMARKS: dict[str, BenchmarkFunction] = {}


def benchmark(name: str) -> Callable[[BenchmarkFunction], BenchmarkFunction]:
    """Register a function as a benchmark.

    The function takes the seed, whether to use small sizes, the path of the JSON file and the
    path of the plot (``None`` for no file), and returns an exit status.

    :param name: name of the benchmark on the command line.
    :returns: a decorator that returns its function unchanged.
    :raises ValueError: if the decorator is applied while the name is registered.
    """

    def register(function: BenchmarkFunction) -> BenchmarkFunction:
        if name in _BENCHMARKS:
            raise ValueError(f"benchmark {name!r} is already registered")
        _BENCHMARKS[name] = function
        return function

    return register


@command("bench")
def bench(
    name: str,
    *,
    seed: int = 1,
    small: bool = False,
    json: Path | None = None,
    plot: Path | None = None,
) -> int:
    """Run a benchmark and print a table of the results.

    :param name: name of the benchmark; ``slopes`` measures cost against size.
    :param seed: seed of all random choices.
    :param small: use small sizes, which suffice only to check the form of the result.
    :param json: path of the JSON file to write the results to.
    :param plot: path of the image file to plot the results to; needs matplotlib.
    :returns: exit status of the benchmark, 0 on success.
    """
    function = _BENCHMARKS.get(name)
    if function is None:
        raise CommandError(
            f"unknown benchmark {name}; expected one of {', '.join(_BENCHMARKS)}"
        )
    for path in (json, plot):
        if path is not None and not path.parent.is_dir():
            # Some benchmarks take minutes, so an invalid path is reported before they start.
            raise CommandError(f"{path.parent} is not a directory")
    return function(seed, small, json, plot)


@benchmark("slopes")
def run_slopes(seed: int, small: bool, json: Path | None, plot: Path | None) -> int:
    """Measure cost against size and fit a straight line to each cost."""
    # Imported here, so that other commands do not import the server modules. Only a plot needs
    # matplotlib.
    from mimosapost.bench import slopes

    scale = slopes.Scale(seed, small)
    sys.stdout.write(f"seed={seed} small={small}\n")
    fits = slopes.run_slopes(scale)
    sys.stdout.write(f"{slopes.format_table(fits)}\n")
    if json is not None:
        slopes.write_fits(fits, scale, json)
    if plot is not None:
        slopes.plot_fits(fits, plot)
    return 0

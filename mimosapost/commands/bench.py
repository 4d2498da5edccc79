"""Command that runs measurements; each has a name, given as the first word."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path

from mimosapost.commands.registry import CommandError, command

__all__ = ["bench", "benchmark"]

BenchmarkFunction = Callable[[int, bool, Path | None, Path | None], int]
_BENCHMARKS: dict[str, BenchmarkFunction] = {}


def benchmark(name: str) -> Callable[[BenchmarkFunction], BenchmarkFunction]:
    """Register a function that the command selects by its first word.

    It takes the seed, whether to use small sizes, the file for JSON and the file for a plot,
    and returns an exit status.

    :param name: first word.
    :raises ValueError: if the name is taken.
    """

    def register(function: BenchmarkFunction) -> BenchmarkFunction:
        if name in _BENCHMARKS:
            raise ValueError(f"benchmark {name!r} is registered already")
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
    """Run measurements and print a table.

    :param name: what to run; ``slopes`` measures cost against size.
    :param seed: seed of all random choices.
    :param small: use sizes that check the shape of the result only.
    :param json: file to write the result to.
    :param plot: image file to draw the result in; needs matplotlib.
    :returns: 0.
    """
    function = _BENCHMARKS.get(name)
    if function is None:
        raise CommandError(f"benchmark {name} is not known; one of {', '.join(_BENCHMARKS)}")
    for path in (json, plot):
        if path is not None and not path.parent.is_dir():
            # Some measurements take minutes, so a wrong path is reported before they start.
            raise CommandError(f"{path.parent} is no directory")
    return function(seed, small, json, plot)


@benchmark("slopes")
def run_slopes(seed: int, small: bool, json: Path | None, plot: Path | None) -> int:
    """Measure cost against size and fit straight lines."""
    # Other commands must not import the servers, and only a plot needs matplotlib.
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

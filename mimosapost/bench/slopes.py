"""Linear fits of processor time, memory and bytes against sizes, for ``docs/CAPACITY.md``.

Each measurement gives values at four or more sizes. A straight line is fitted to them by
least squares, so that the values can be extrapolated to deployments larger than any test
machine can hold. The residual shows where a straight line does not describe the values.
"""

from __future__ import annotations

import gc
import math
import platform
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict, dataclass
from importlib import import_module
from pathlib import Path
from typing import Any

import msgspec

__all__ = [
    "Fit",
    "Scale",
    "Series",
    "fit_line",
    "format_table",
    "list_measurements",
    "measurement",
    "plot_fits",
    "run_slopes",
    "time_workloads",
    "trace_bytes",
    "trace_peak_bytes",
    "write_fits",
]

_MEASUREMENT_MODULES = ("reducer_slopes", "state_slopes", "control_slopes", "wire_slopes")


@dataclass(frozen=True, slots=True)
class Scale:
    """Seed, sizes and repetitions of one run of the measurements.

    :param seed: seed of all random choices.
    :param small: whether to use small sizes for a quick test; only the format of such a result
        is meaningful, not its values.
    """

    seed: int
    small: bool = False

    @property
    def rounds(self) -> int:
        """Number of timed runs of a workload, of which the shortest counts."""
        return 2 if self.small else 12

    def choose_sizes(self, full: Sequence[int], small: Sequence[int]) -> Sequence[int]:
        """Return the sizes at which this run measures: ``small`` if the run is small."""
        return small if self.small else full


@dataclass(frozen=True, slots=True)
class Series:
    """Values of one quantity at several sizes.

    :param name: name of the quantity, unique within a run.
    :param unit: unit of the values.
    :param size: plural noun for what the sizes count, e.g. "leafs".
    :param points: pairs of size and value.
    """

    name: str
    unit: str
    size: str
    points: tuple[tuple[float, float], ...]


@dataclass(frozen=True, slots=True)
class Fit:
    """Straight line through a series.

    :param series: the measured values.
    :param slope: change of the value when the size grows by one.
    :param intercept: value at size 0.
    :param residual: root mean square of the differences between values and line, divided by
        the mean of the values.
    """

    series: Series
    slope: float
    intercept: float
    residual: float


Measurement = Callable[[Scale], Iterable[Series]]
_MEASUREMENTS: dict[str, Measurement] = {}


def measurement(name: str) -> Callable[[Measurement], Measurement]:
    """Return a decorator that registers a function measuring one or more series.

    :param name: name of the measurement on the command line.
    :raises ValueError: if a measurement of that name is registered already.
    """

    def register(function: Measurement) -> Measurement:
        if name in _MEASUREMENTS:
            raise ValueError(f"measurement {name!r} is registered already")
        _MEASUREMENTS[name] = function
        return function

    return register


def list_measurements() -> tuple[str, ...]:
    """Return the names of all measurements in the order in which they run."""
    for module in _MEASUREMENT_MODULES:
        import_module(f"mimosapost.bench.{module}")
    return tuple(_MEASUREMENTS)


def fit_line(series: Series) -> Fit:
    """Fit a straight line by least squares.

    :param series: points of at least four different sizes.
    :raises ValueError: if the points have fewer than four different sizes.

    >>> points = ((1, 5.0), (2, 7.0), (3, 9.0), (4, 11.0))
    >>> fit = fit_line(Series("query", "us", "leafs", points))
    >>> fit.slope, fit.intercept, fit.residual
    (2.0, 3.0, 0.0)
    """
    sizes = [size for size, _ in series.points]
    values = [value for _, value in series.points]
    if len(set(sizes)) < 4:
        raise ValueError(f"{series.name} has {len(set(sizes))} different sizes; a fit needs 4")
    slope, intercept = statistics.linear_regression(sizes, values)
    squared_errors = [(value - intercept - slope * size) ** 2 for size, value in series.points]
    mean = statistics.fmean(values)
    residual = statistics.fmean(squared_errors) ** 0.5 / abs(mean) if mean else 0.0
    return Fit(series, slope, intercept, residual)


def run_slopes(scale: Scale, names: Sequence[str] = ()) -> tuple[Fit, ...]:
    """Run measurements one after the other and fit a line to each series.

    :param scale: seed, sizes and repetitions.
    :param names: names of the measurements to run, all by default.
    :raises KeyError: if no measurement is registered under one of the names.
    """
    fits = []
    known = list_measurements()
    for name in names or known:
        gc.collect()
        fits.extend(fit_line(series) for series in _MEASUREMENTS[name](scale))
    return tuple(fits)


def time_workloads(
    workloads: Sequence[tuple[float, Callable[[], Any]]], rounds: int
) -> tuple[tuple[float, float], ...]:
    """Return the shortest processor time of each workload, in microseconds.

    Other processes on the same cores only add time, so the minimum of several rounds is the
    most repeatable figure. Each round runs all sizes, because the slowdown that another process
    causes may last for seconds and would otherwise affect one size alone.

    :param workloads: pairs of size and workload; each workload runs once untimed first.
    :param rounds: number of timed calls of each workload.
    :returns: pairs of size and processor time, the points of a series.
    """
    minimum_us = [math.inf] * len(workloads)
    for _, workload in workloads:
        workload()
    for _ in range(rounds):
        for index, (_, workload) in enumerate(workloads):
            started_ns = time.process_time_ns()
            workload()
            minimum_us[index] = min(
                minimum_us[index], (time.process_time_ns() - started_ns) / 1e3
            )
    return tuple(
        (size, spent_us) for (size, _), spent_us in zip(workloads, minimum_us, strict=True)
    )


def trace_bytes(build: Callable[[], Any]) -> int:
    """Return the bytes that a new object keeps allocated, as ``tracemalloc`` counts them.

    :param build: function that returns the object; memory that it frees before it returns does
        not count.
    """
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        built = build()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
        del built
    finally:
        tracemalloc.stop()
    return after - before


def trace_peak_bytes(workload: Callable[[], Any]) -> int:
    """Return the peak of the bytes that a workload allocates, as ``tracemalloc`` counts them.

    :param workload: function to run; memory allocated before the call does not count, even if
        the function frees it.
    """
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        workload()
        return tracemalloc.get_traced_memory()[1] - before
    finally:
        tracemalloc.stop()


def format_table(fits: Iterable[Fit]) -> str:
    """Return the fits as a table of aligned text, one line for each fit."""
    lines = [
        f"{'series':<30} {'unit':<9} {'per':<22} "
        f"{'slope':>12} {'intercept':>14} {'residual':>9}  sizes"
    ]
    for fit in fits:
        series = fit.series
        sizes = ",".join(f"{size:g}" for size, _ in series.points)
        lines.append(
            f"{series.name:<30} {series.unit:<9} {series.size:<22} {fit.slope:>12.4f} "
            f"{fit.intercept:>14.1f} {fit.residual:>9.4f}  {sizes}"
        )
    return "\n".join(lines)


def write_fits(fits: Iterable[Fit], scale: Scale, path: Path) -> None:
    """Write the fits as JSON.

    :param fits: fits to write, with their points.
    :param scale: seed and sizes of the run, which the file records.
    :param path: file to write; an existing file is replaced.
    """
    document = {
        "seed": scale.seed,
        "small": scale.small,
        "python": platform.python_version(),
        "machine": platform.machine(),
        "fits": [asdict(fit) for fit in fits],
    }
    path.write_bytes(msgspec.json.format(msgspec.json.encode(document), indent=1) + b"\n")


def plot_fits(fits: Sequence[Fit], path: Path) -> None:
    """Plot the measured values and the fitted lines, one diagram for each series.

    :param fits: at least one fit.
    :param path: image file to write; its suffix selects the format.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    columns = 5
    rows = -(-len(fits) // columns)
    figure, axes = pyplot.subplots(
        rows, columns, figsize=(3.2 * columns, 2.5 * rows), squeeze=False
    )
    for axis in axes.flat[len(fits) :]:
        axis.set_visible(False)
    for axis, fit in zip(axes.flat, fits, strict=False):
        series = fit.series
        sizes = [size for size, _ in series.points]
        axis.plot(sizes, [value for _, value in series.points], "o", markersize=4)
        line_sizes = [0.0, max(sizes)]
        axis.plot(
            line_sizes, [fit.intercept + fit.slope * size for size in line_sizes], linewidth=1
        )
        axis.set_title(series.name, fontsize=8)
        axis.set_xlabel(series.size, fontsize=7)
        axis.set_ylabel(series.unit, fontsize=7)
        axis.set_ylim(bottom=min(0.0, fit.intercept))
        axis.tick_params(labelsize=6)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)

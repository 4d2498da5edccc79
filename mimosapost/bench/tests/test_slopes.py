"""Tests of the line fits, of the memory count, and of each measurement at small sizes."""

import math

import msgspec
import pytest

from mimosapost.bench.fixtures import create_team_tree, encode_tree
from mimosapost.bench.slopes import (
    Scale,
    Series,
    fit_line,
    format_table,
    list_measurements,
    plot_fits,
    run_slopes,
    trace_bytes,
    write_fits,
)
from mimosapost.settings.published import check_subtree

# The expected slope, intercept and residual are calculated by hand.
LEAST_SQUARES_CASES = [
    pytest.param([(1, 2.0), (2, 4.0), (3, 6.0), (4, 8.0)], (2.0, 0.0, 0.0), id="exact-line"),
    pytest.param([(0, 5.0), (10, 5.0), (20, 5.0), (30, 5.0)], (0.0, 5.0, 0.0), id="constant"),
    pytest.param(
        [(1, 1.0), (2, 3.0), (3, 3.0), (4, 5.0)],
        (1.2, 0.0, math.sqrt(0.2) / 3),
        id="scattered-points",
    ),
    pytest.param([(1, 0.0), (2, 0.0), (3, 0.0), (4, 0.0)], (0.0, 0.0, 0.0), id="all-zero"),
]


@pytest.mark.parametrize(("points", "expected"), LEAST_SQUARES_CASES)
def test_fit_is_a_least_squares_line(points, expected):
    fit = fit_line(Series("a", "us", "b", tuple(points)))
    assert (fit.slope, fit.intercept, fit.residual) == pytest.approx(expected)


@pytest.mark.parametrize(
    "sizes", [(1, 2, 3), (1, 1, 2, 3)], ids=["three-points", "one-size-twice"]
)
def test_fit_of_three_sizes_is_refused(sizes):
    """With too few sizes, the residual would not reveal values that follow a curve."""
    with pytest.raises(ValueError, match="needs 4"):
        fit_line(Series("a", "us", "b", tuple((size, 1.0) for size in sizes)))


def test_trace_bytes_ignores_memory_freed_by_the_build():
    """Temporary memory in the count would overstate the size of the object that is kept."""

    def build():
        bytes(4_000_000)
        return bytearray(1_000_000)

    assert 1_000_000 <= trace_bytes(build) < 1_100_000


def test_fixture_trees_are_valid_and_have_distinct_servers():
    """With a refused tree or servers shared by leafs, the measurements would be too small."""
    tree = create_team_tree("desk", 3, 250, 3, first_leaf=240)
    assert check_subtree("desk", encode_tree(tree)).unwrap() == tree
    servers = [
        s.server for service in tree.services for leaf in service.leafs for s in leaf.slots
    ]
    assert len(set(servers)) == len(servers) == 3 * 250 * 3


@pytest.mark.parametrize("name", list_measurements())
def test_small_run_of_a_measurement_yields_fits(name):
    """Each measurement must yield enough sizes and positive values; no duration is checked."""
    fits = run_slopes(Scale(seed=1, small=True), (name,))
    assert fits
    for fit in fits:
        assert len(fit.series.points) >= 4
        assert all(value > 0 for _, value in fit.series.points)
        assert math.isfinite(fit.residual)


def test_bytes_and_counts_depend_on_the_seed_alone():
    """An unseeded random choice would change the slopes that ``docs/CAPACITY.md`` uses."""
    names = ("subtree bytes", "gatherers", "control bytes")
    first = run_slopes(Scale(seed=3, small=True), names)
    assert first == run_slopes(Scale(seed=3, small=True), names)


def test_written_result_contains_seed_and_points(tmp_path):
    """Without the seed or the points, nobody could repeat the fit from the result file."""
    fit = fit_line(Series("query", "us", "leafs", ((1, 2.0), (2, 4.0), (3, 6.0), (4, 8.5))))
    write_fits([fit], Scale(7, True), tmp_path / "slopes.json")
    document = msgspec.json.decode((tmp_path / "slopes.json").read_bytes())
    assert (document["seed"], document["small"]) == (7, True)
    points = tuple(tuple(point) for point in document["fits"][0]["series"]["points"])
    assert points == fit.series.points
    assert "query" in format_table([fit])


def test_plot_is_a_png_image(tmp_path):
    """The plot of six fits, which needs a second row of diagrams, must not be an empty file."""
    fit = fit_line(Series("query", "us", "leafs", ((1, 2.0), (2, 4.0), (3, 6.0), (4, 8.5))))
    plot_fits([fit] * 6, tmp_path / "slopes.png")
    assert (tmp_path / "slopes.png").read_bytes().startswith(b"\x89PNG")

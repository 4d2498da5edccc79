"""Report of a scenario: figures of the naive side and of the tier, targets and verdicts.

``python -m mimosapost.bench.report report NAIVE.json TIER.json`` prints the report of one run
as a table or as JSON; ``python -m mimosapost.bench.report summarize FOLDER ...`` prints one row
for each run.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import defopt
import msgspec

from mimosapost.bench.scenarios import Target, find_scenario

__all__ = ["Verdict", "format_table", "judge_targets", "report", "summarize"]

_FIGURE_ROWS = (
    "queries",
    "answered",
    "p50_ms",
    "p99_ms",
    "max_ms",
    "coverage",
    "coverage_after",
    "p99_before_ms",
    "p99_after_ms",
    "p99_after_ratio",
    "extra_sends",
    "cold_ratio",
    "cold_ratio_after",
    "crashes",
    "crashes_after",
    "quiet_requests",
    "connection_errors",
    "lost_elsewhere",
    "codes",
    "missing_reasons",
    "repeated",
    "wrong_count",
)


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a target was met.

    :param value: figure of the tier, for a relative target divided by that of the naive side;
        ``None`` if a side has no such figure, in which case the target is missed.
    :param met: whether the value is within the bound.
    """

    target: Target
    value: float | None
    met: bool


def judge_targets(
    targets: tuple[Target, ...], naive: dict[str, Any], tier: dict[str, Any]
) -> list[Verdict]:
    """Compare the figures of the tier with the targets of a scenario.

    :param naive: figures of the naive side.
    :param tier: figures of the tier.
    """
    verdicts = []
    for target in targets:
        value = tier.get(target.figure)
        if target.relative and value is not None:
            base = naive.get(target.figure)
            value = value / base if base else None
        met = value is not None and (
            value >= target.bound if target.least else value <= target.bound
        )
        verdicts.append(Verdict(target, value, met))
    return verdicts


def format_table(naive: dict[str, Any], tier: dict[str, Any], verdicts: list[Verdict]) -> str:
    """Format both sides and the verdicts as a Markdown table.

    :param naive: result document of the naive side, as ``mimosapost load`` prints it.
    :param tier: result document of the tier.
    :param verdicts: verdicts on the targets of the scenario.
    """
    titles = [
        f"{side['deployment']} {side['scenario']} seed {side['seed']}" for side in (naive, tier)
    ]
    lines = [f"| {titles[1]} | naive | tier |", "| --- | --- | --- |"]
    for row in _FIGURE_ROWS:
        values = [side["figures"].get(row) for side in (naive, tier)]
        if any(value is not None for value in values):
            lines.append(f"| {row} | {_format_cell(values[0])} | {_format_cell(values[1])} |")
    lines += ["", "| target | value | verdict |", "| --- | --- | --- |"]
    for verdict in verdicts:
        target = verdict.target
        sign = ">=" if target.least else "<="
        unit = " x naive" if target.relative else ""
        lines.append(
            f"| {target.figure} {sign} {target.bound:g}{unit} | {_format_cell(verdict.value)} "
            f"| {'met' if verdict.met else 'MISSED'} |"
        )
    return "\n".join(lines)


def _format_cell(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.4g}" if value < 100 else f"{value:.1f}"
    if isinstance(value, dict):
        return ", ".join(f"{key}: {n}" for key, n in value.items()) or "none"
    return "none" if value is None else str(value)


def report(naive: Path, tier: Path, *, as_json: bool = False) -> int:
    """Print the report of one run of a scenario as a table.

    :param naive: file with the result document of the naive side.
    :param tier: file with the result document of the tier.
    :param as_json: print JSON instead.
    :returns: 0 if every target was met, else 1.
    """
    sides, verdicts = _read_sides(naive, tier)
    if as_json:
        document = {"naive": sides[0], "tier": sides[1], "verdicts": verdicts}
        print(msgspec.json.encode(document).decode())
    else:
        print(format_table(*sides, verdicts))
    return 0 if all(verdict.met for verdict in verdicts) else 1


def summarize(folders: list[Path]) -> int:
    """Print a table with one row for each scratch folder of ``tools/bench.sh``.

    :param folders: folders with ``naive.json`` and ``tier.json``.
    :returns: 0 if every target was met, else 1.
    """
    print(
        "| run | p50 ms | p99 ms | coverage | extra sends | cold ratio | codes of the tier "
        "| wrong | targets of the tier |"
    )
    print("|" + " --- |" * 9)
    met = True
    for folder in folders:
        sides, verdicts = _read_sides(folder / "naive.json", folder / "tier.json")
        met = met and all(verdict.met for verdict in verdicts)
        run = "{deployment} {scenario} {seed}".format(**sides[1])
        cells = [
            " / ".join(_format_cell(side["figures"].get(row)) for side in sides)
            for row in ("p50_ms", "p99_ms", "coverage", "extra_sends", "cold_ratio")
        ]
        cells.append(_format_cell(sides[1]["figures"]["codes"]))
        cells.append(" / ".join(_format_cell(side["figures"]["wrong_count"]) for side in sides))
        cells.append("; ".join(_format_verdict(verdict) for verdict in verdicts))
        print(f"| {run} | {' | '.join(cells)} |")
    return 0 if met else 1


def _format_verdict(verdict: Verdict) -> str:
    target = verdict.target
    sign = ">=" if target.least else "<="
    unit = " x naive" if target.relative else ""
    text = "met" if verdict.met else "**MISSED**"
    return (
        f"{target.figure} {_format_cell(verdict.value)} ({sign} {target.bound:g}{unit}) {text}"
    )


def _read_sides(naive: Path, tier: Path) -> tuple[list[dict[str, Any]], list[Verdict]]:
    sides = [msgspec.json.decode(path.read_bytes()) for path in (naive, tier)]
    if any(sides[0][key] != sides[1][key] for key in ("scenario", "deployment", "seed")):
        raise ValueError(f"{naive} and {tier} differ in scenario, deployment or seed")
    scenario = find_scenario(sides[1]["scenario"], sides[1]["deployment"])
    return sides, judge_targets(scenario.targets, sides[0]["figures"], sides[1]["figures"])


if __name__ == "__main__":
    raise SystemExit(defopt.run([report, summarize]))

"""Figures of one side of a scenario, from the load result and the records of the servers."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any

from mimosapost.bench.load import LoadResult
from mimosapost.bench.scenarios import ANSWERED_CODES, Scenario

__all__ = ["compute_figures"]


def compute_figures(
    scenario: Scenario,
    result: LoadResult,
    records: Sequence[dict[str, Any]],
    started_ms: float,
    limits: dict[str, int],
    victim: str = "",
    domain: frozenset[str] = frozenset(),
) -> dict[str, Any]:
    """Compute the figures of one side that targets refer to.

    :param scenario: scenario that was run.
    :param result: result of the load generator.
    :param records: export of each measured backend server (``GET /control/record``).
    :param started_ms: start of the load on the monotonic clock, in milliseconds.
    :param limits: cold limit of each server by its address.
    :param victim: caller address of the instance that the scenario kills.
    :param domain: addresses of the servers in the domain that the scenario takes out.
    :returns: JSON-compatible figures. A cold ratio is the peak number of concurrent requests
        at a server in cold start, from all instances together, divided by its cold limit.
    """
    after_ms = started_ms + 1_000 * (scenario.settled_s or scenario.warmup_s)
    sends = sum(server["requests"] for server in records)
    lost_elsewhere = sum(n for target, n in result.lost.items() if target != victim)
    figures = result.export() | {
        "sends": sends,
        "extra_sends": sends / result.leafs_sent - 1 if result.leafs_sent else 0.0,
        "lost_elsewhere": lost_elsewhere,
        "cold_ratio": _compute_cold_ratio(records, limits, 0.0),
        "cold_ratio_after": _compute_cold_ratio(records, limits, after_ms),
        "crashed_sends": sum(r["outcome"] == "crashed" for r in _list_requests(records)),
        "crashes": sum(int(s["boot_id"].rpartition("-")[2]) - 1 for s in records),
        "crashes_after": sum(
            r["outcome"] == "crashed" and r["started_ms"] >= after_ms
            for r in _list_requests(records)
        ),
    }
    if not result.answered:
        # Without answers the histogram returns 0, which would meet every latency target.
        figures |= dict.fromkeys(("p50_ms", "p90_ms", "p99_ms", "max_ms"))
    figures |= _compare_before_and_after(scenario, result)
    figures["p99_by_second_ms"] = _compute_p99_by_second(result)
    if scenario.quiet_period_s is not None:
        first, last = (started_ms + 1_000 * bound_s for bound_s in scenario.quiet_period_s)
        figures["quiet_requests"] = sum(
            first <= request["started_ms"] < last
            for server in records
            if server["address"] in domain
            for request in server["records"]
        )
    return figures


def _list_requests(records: Sequence[dict[str, Any]]) -> Iterable[dict[str, Any]]:
    return (request for server in records for request in server["records"])


def _compute_cold_ratio(
    records: Sequence[dict[str, Any]], limits: dict[str, int], from_ms: float
) -> float:
    return max(
        (
            request["concurrent"] / limits[server["address"]]
            for server in records
            for request in server["records"]
            if request["cold"] and request["started_ms"] >= from_ms
        ),
        default=0.0,
    )


def _compare_before_and_after(
    scenario: Scenario, result: LoadResult
) -> dict[str, float | None]:
    if scenario.fault_s is None or scenario.settled_s is None:
        return {}
    before = [entry for entry in result.timeline if entry[0] < scenario.fault_s]
    after = [entry for entry in result.timeline if entry[0] >= scenario.settled_s]
    p99_before = _get_quantile(
        [ms for _, ms, code, _ in before if code in ANSWERED_CODES], 0.99
    )
    p99_after = _get_quantile([ms for _, ms, code, _ in after if code in ANSWERED_CODES], 0.99)
    return {
        "p99_before_ms": p99_before,
        "p99_after_ms": p99_after,
        "p99_after_ratio": p99_after / p99_before if p99_before and p99_after else None,
        "coverage_after": sum(entry[3] for entry in after) / len(after) if after else 0.0,
    }


def _compute_p99_by_second(result: LoadResult) -> dict[str, float]:
    """Return the 99th percentile of latency for each second of the run.

    It shows whether a fault has a lasting or a short effect.
    """
    latencies_ms: dict[int, list[float]] = {}
    for due_s, elapsed_ms, code, _ in result.timeline:
        if code in ANSWERED_CODES:
            latencies_ms.setdefault(int(due_s), []).append(elapsed_ms)
    return {
        str(second): round(_get_quantile(values, 0.99), 1)
        for second, values in sorted(latencies_ms.items())
    }


def _get_quantile(values: list[float], quantile: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))] if ordered else 0.0

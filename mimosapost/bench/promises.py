"""Promises of the tier, checked on a run from the caller's and the servers' side."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

from mimosapost.bench.load import LoadResult
from mimosapost.model.codes import ResultCode

__all__ = ["GRACE_S", "Outage", "OnceResult", "Report", "check_once", "create_report"]

#: A failure domain gets no new work, and coverage is whole, from this time after it was
#: taken out (targets of the design page).
GRACE_S = 3.0
_ANSWERED = (ResultCode.COMPLETE, ResultCode.PARTIAL)


@dataclass(frozen=True, slots=True)
class Outage:
    """Time during which a failure domain was out, in seconds of the monotonic clock.

    :param out_s: when its removal was published.
    :param back_s: when its return was published.
    :param servers: addresses of its backend servers.
    """

    domain: str
    out_s: float
    back_s: float
    servers: frozenset[str]


@dataclass(frozen=True, slots=True)
class OnceResult:
    """What became of a request that must not be repeated.

    :param first_code: code of the request without a ticket.
    :param first_run: its run state.
    :param codes: codes of the same request with the ticket, by instance.
    :param runs: executions of each leaf at the backend servers.
    :param leafs: leafs of the service.
    :param same_result: whether all answers with the ticket carry the same result.
    """

    service: str
    first_code: int
    first_run: str
    codes: dict[str, int]
    runs: dict[str, int]
    leafs: tuple[str, ...]
    same_result: bool


@dataclass(slots=True)
class Report:
    """Figures of a run and the promises that it broke.

    :param sends: sub-requests that reached the backend servers.
    :param hedges: hedges that the instances decided on; some are withdrawn unsent.
    :param last_send_s: time from taking the domain out to the last send that reached it
        while it was out, ``None`` without any.
    """

    load: dict[str, Any]
    priorities: dict[str, dict[str, float]]
    sends: int
    extra_share: float
    hedges: int
    retries: int
    refusals: dict[str, int]
    domain: str
    last_send_s: float | None
    sends_after_grace: int
    coverage_out: float
    coverage_after_grace: float
    cold_peak: int
    cold_limit: int
    servers_above_cold_limit: list[str]
    once: dict[str, Any]
    broken: list[str] = field(default_factory=list)


def check_once(once: OnceResult) -> list[str]:
    """Return what a request that must not be repeated did wrong."""
    broken = []
    if (once.first_code, once.first_run) != (ResultCode.TICKET_REQUIRED, "not_run"):
        broken.append(
            f"a request without ticket got code {once.first_code} ({once.first_run}) "
            f"instead of {int(ResultCode.TICKET_REQUIRED)} (not_run)"
        )
    for instance, code in once.codes.items():
        if code != ResultCode.COMPLETE:
            broken.append(f"the request with its ticket got code {code} from {instance}")
    for leaf in once.leafs:
        if once.runs.get(leaf, 0) != 1:
            count = once.runs.get(leaf, 0)
            broken.append(f"a request that must not be repeated ran {count} times on {leaf}")
    if not once.same_result:
        broken.append("one ticket gave different results")
    return broken


def create_report(
    load: LoadResult,
    records: Iterable[Mapping[str, Any]],
    cold_limits: Mapping[str, int],
    outage: Outage,
    counters: Mapping[str, int],
    once: OnceResult,
) -> Report:
    """Compute the figures of a run and check each promise.

    The servers' records and ``load`` use the same monotonic clock, that of one machine.

    :param records: records of the stand-in backend servers.
    :param cold_limits: limit in cold start by server address.
    :param counters: increase of the instances' counters during the run.
    """
    records = list(records)
    started = {
        record["address"]: [
            run["started_ms"] / 1_000
            for run in record["records"]
            if run["started_ms"] / 1_000 >= load.started_s
        ]
        for record in records
    }
    sends = sum(len(times) for times in started.values())
    in_domain = [
        time_s - outage.out_s
        for server in outage.servers
        for time_s in started.get(server, ())
        if outage.out_s <= time_s < outage.back_s
    ]
    cold = [(r["cold_peak"], cold_limits[r["address"]], r["address"]) for r in records]
    # The server closest to its limit, or furthest above it.
    peak, limit, _ = max(cold, key=lambda entry: entry[0] / entry[1], default=(0, 0, ""))
    out_s, back_s = outage.out_s - load.started_s, outage.back_s - load.started_s
    report = Report(
        load=load.export(),
        priorities={
            name: {
                f"p{q}_ms": histogram.get_value_at_percentile(q) / 1_000 for q in (50, 90, 99)
            }
            | {"max_ms": histogram.get_max_value() / 1_000}
            for name, histogram in load.priorities.items()
        },
        sends=sends,
        extra_share=sends / load.leafs_wanted - 1 if load.leafs_wanted else 0.0,
        hedges=counters.get("mimosapost_sends_hedged_total", 0),
        retries=counters.get("mimosapost_sends_retried_total", 0),
        refusals={
            f"{code} {ResultCode(code).name}": count
            for code, count in sorted(load.codes.items())
            if code not in _ANSWERED
        },
        domain=outage.domain,
        last_send_s=max(in_domain, default=None),
        sends_after_grace=sum(after_s > GRACE_S for after_s in in_domain),
        coverage_out=_get_coverage(load.timeline, out_s, back_s),
        coverage_after_grace=_get_coverage(load.timeline, out_s + GRACE_S, float("inf")),
        cold_peak=peak,
        cold_limit=limit,
        servers_above_cold_limit=[address for peak, limit, address in cold if peak > limit],
        once=asdict(once),
    )
    report.broken = _list_broken(report, load) + check_once(once)
    return report


def _get_coverage(
    timeline: Sequence[tuple[float, float, int, float]], from_s: float, to_s: float
) -> float:
    """Return the mean coverage of the queries due in a span; a refused one counts as 0."""
    shares = [share for due_s, _, _, share in timeline if from_s <= due_s < to_s]
    return sum(shares) / len(shares) if shares else 0.0


def _list_broken(report: Report, load: LoadResult) -> list[str]:
    broken = [f"wrong answers: {n} x {what}" for what, n in Counter(load.wrong).items()]
    if not load.answered:
        broken.append("no query was answered")
    if load.connection_errors:
        broken.append(f"connection errors: {load.connection_errors}")
    if report.servers_above_cold_limit:
        names = ", ".join(report.servers_above_cold_limit[:5])
        broken.append(f"servers in cold start above their limit: {names}")
    if report.sends_after_grace:
        broken.append(
            f"{report.sends_after_grace} sends to domain {report.domain} later than "
            f"{GRACE_S:g} s after it was taken out, the last after {report.last_send_s:.2f} s"
        )
    if report.coverage_after_grace < 1.0:
        broken.append(
            f"coverage {100 * report.coverage_after_grace:.3f}% from {GRACE_S:g} s after the "
            f"domain was taken out"
        )
    return broken

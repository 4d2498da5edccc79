"""Check of the tier's promises on a run.

The figures come from the load generator, which acts as the callers, from the counters of the
instances, and from the records of the backend servers.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

from mimosapost.bench.load import LoadResult
from mimosapost.model.codes import ResultCode

__all__ = [
    "DOMAIN_OUT_GRACE_S",
    "Outage",
    "SingleExecutionResult",
    "PromiseReport",
    "check_single_execution",
    "create_report",
]

#: Time in seconds after the removal of a failure domain from which on the domain must receive
#: no new work and coverage must be complete again (targets of the design page).
DOMAIN_OUT_GRACE_S = 3.0
_ANSWERED_CODES = (ResultCode.COMPLETE, ResultCode.PARTIAL)


@dataclass(frozen=True, slots=True)
class Outage:
    """Period in which a failure domain was out of service, on the monotonic clock in seconds.

    :param removed_s: time at which the removal of the domain was published.
    :param returned_s: time at which its return to service was published.
    :param servers: addresses of its backend servers.
    """

    domain: str
    removed_s: float
    returned_s: float
    servers: frozenset[str]


@dataclass(frozen=True, slots=True)
class SingleExecutionResult:
    """Result of sending a request that must not be repeated to several instances.

    :param first_code: result code of the request without a ticket.
    :param first_run: run state of the request without a ticket.
    :param codes: result codes of the same request with its ticket, by instance.
    :param runs: number of executions at the backend servers, by leaf.
    :param leafs: leafs of the service.
    :param same_result: whether all answers to the request with its ticket have the same result.
    """

    service: str
    first_code: int
    first_run: str
    codes: dict[str, int]
    runs: dict[str, int]
    leafs: tuple[str, ...]
    same_result: bool


@dataclass(slots=True)
class PromiseReport:
    """Figures of a run and the promises that the tier broke during it.

    :param load: exported result of the load generator.
    :param priorities: latencies in milliseconds, by priority class.
    :param sends: number of sub-requests that reached the backend servers.
    :param extra_share: sends beyond one for each leaf of each query, relative to these.
    :param hedges: number of hedges that the instances decided on; some are withdrawn before
        they are sent.
    :param refusals: number of queries without a result, by result code.
    :param last_send_s: time in seconds from the removal of the domain to the last send that
        reached it while it was out, ``None`` if there was none.
    :param sends_after_grace: number of sends that reached the domain later than
        ``DOMAIN_OUT_GRACE_S``.
    :param coverage_out: mean coverage while the domain was out.
    :param coverage_after_grace: mean coverage from ``DOMAIN_OUT_GRACE_S`` after the removal on.
    :param cold_peak: peak concurrency in cold start, of the server closest to its limit.
    :param cold_limit: limit of that server.
    :param broken: descriptions of the broken promises.
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


def check_single_execution(execution_result: SingleExecutionResult) -> list[str]:
    """Check that a request with a ticket ran exactly once on each leaf.

    :returns: descriptions of the broken promises.
    """
    broken = []
    if (execution_result.first_code, execution_result.first_run) != (
        ResultCode.TICKET_REQUIRED,
        "not_run",
    ):
        broken.append(
            f"a request without a ticket got code {execution_result.first_code} "
            f"({execution_result.first_run}) "
            f"instead of {int(ResultCode.TICKET_REQUIRED)} (not_run)"
        )
    for instance, code in execution_result.codes.items():
        if code != ResultCode.COMPLETE:
            broken.append(f"the request with its ticket got code {code} from {instance}")
    for leaf in execution_result.leafs:
        if execution_result.runs.get(leaf, 0) != 1:
            count = execution_result.runs.get(leaf, 0)
            broken.append(f"a request that must not be repeated ran {count} times on {leaf}")
    if not execution_result.same_result:
        broken.append("answers to the request with its ticket have different results")
    return broken


def create_report(
    load: LoadResult,
    records: Iterable[Mapping[str, Any]],
    cold_limits: Mapping[str, int],
    outage: Outage,
    counters: Mapping[str, int],
    execution_result: SingleExecutionResult,
) -> PromiseReport:
    """Compute the figures of a run and check each promise.

    The servers' records and ``load`` must use the monotonic clock of the same machine.

    :param load: result of the load generator.
    :param records: records of the stand-in backend servers.
    :param cold_limits: limit in cold start, by server address.
    :param outage: period in which a failure domain was out of service.
    :param counters: increase of the instances' counters during the run.
    :param execution_result: result of the request that must not be repeated.
    """
    records = list(records)
    send_times_s = {
        record["address"]: [
            request["started_ms"] / 1_000
            for request in record["records"]
            if request["started_ms"] / 1_000 >= load.started_s
        ]
        for record in records
    }
    sends = sum(len(times) for times in send_times_s.values())
    outage_send_delays_s = [
        time_s - outage.removed_s
        for server in outage.servers
        for time_s in send_times_s.get(server, ())
        if outage.removed_s <= time_s < outage.returned_s
    ]
    cold_peaks = [
        (record["cold_peak"], cold_limits[record["address"]], record["address"])
        for record in records
    ]
    # Report the server that is closest to its limit or furthest above it.
    peak, limit, _ = max(cold_peaks, key=lambda entry: entry[0] / entry[1], default=(0, 0, ""))
    removed_s, returned_s = (
        outage.removed_s - load.started_s,
        outage.returned_s - load.started_s,
    )
    report = PromiseReport(
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
            if code not in _ANSWERED_CODES
        },
        domain=outage.domain,
        last_send_s=max(outage_send_delays_s, default=None),
        sends_after_grace=sum(delay_s > DOMAIN_OUT_GRACE_S for delay_s in outage_send_delays_s),
        coverage_out=_get_mean_coverage(load.timeline, removed_s, returned_s),
        coverage_after_grace=_get_mean_coverage(
            load.timeline, removed_s + DOMAIN_OUT_GRACE_S, float("inf")
        ),
        cold_peak=peak,
        cold_limit=limit,
        servers_above_cold_limit=[
            address for peak, limit, address in cold_peaks if peak > limit
        ],
        once=asdict(execution_result),
    )
    report.broken = _list_broken_promises(report, load) + check_single_execution(
        execution_result
    )
    return report


def _get_mean_coverage(
    timeline: Sequence[tuple[float, float, int, float]], from_s: float, to_s: float
) -> float:
    """Return the mean coverage of the queries scheduled in a period.

    The coverage of a refused query is 0.
    """
    coverages = [coverage for due_s, _, _, coverage in timeline if from_s <= due_s < to_s]
    return sum(coverages) / len(coverages) if coverages else 0.0


def _list_broken_promises(report: PromiseReport, load: LoadResult) -> list[str]:
    broken = [f"wrong answers: {n} x {what}" for what, n in Counter(load.wrong).items()]
    if not load.answered:
        broken.append("no query was answered")
    if load.connection_errors:
        broken.append(f"connection errors: {load.connection_errors}")
    if report.servers_above_cold_limit:
        addresses = ", ".join(report.servers_above_cold_limit[:5])
        broken.append(f"servers in cold start exceeded their cold limit: {addresses}")
    if report.sends_after_grace:
        broken.append(
            f"{report.sends_after_grace} sends to domain {report.domain} later than "
            f"{DOMAIN_OUT_GRACE_S:g} s after it was taken out, "
            f"the last after {report.last_send_s:.2f} s"
        )
    if report.coverage_after_grace < 1.0:
        broken.append(
            f"coverage {100 * report.coverage_after_grace:.3f}% "
            f"from {DOMAIN_OUT_GRACE_S:g} s after the "
            f"domain was taken out"
        )
    return broken

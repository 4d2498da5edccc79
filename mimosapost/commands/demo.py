"""``mimosapost demo``: check the promises of the tier on a running deployment.

The command sends a request that must not be repeated, with a ticket, and then a query load
during which it takes a failure domain out of service and returns it to service.
"""

from __future__ import annotations

import asyncio
import sys
import time
import uuid
from collections import Counter
from typing import Any

import aiohttp
import msgspec

from mimosapost.bench.load import LoadPlan, LoadResult, QueryKind, run_load
from mimosapost.bench.promises import (
    DOMAIN_OUT_GRACE_S,
    Outage,
    PromiseReport,
    SingleExecutionResult,
    create_report,
)
from mimosapost.bench.running import (
    DeploymentError,
    PublishedTree,
    RunningDeployment,
    list_query_kinds,
)
from mimosapost.commands.registry import CommandError, command
from mimosapost.model.codes import ResultCode

__all__ = ["demo", "format_report"]

_DEFAULT_INSTANCE_HOSTS = tuple(f"127.30.0.{number}" for number in range(1, 5))
# The outage starts and ends at these fractions of the load's duration. In the shortest run
# allowed this leaves at least 1 s of outage to measure after the grace time of 3 s.
_OUTAGE_START_FRACTION, _OUTAGE_END_FRACTION = 0.3, 0.65
_MIN_SECONDS = 12.0


@command("demo")
def demo(
    *,
    instances: list[str] | None = None,
    operators: list[str] | None = None,
    platform: str = "127.0.0.1:8100",
    control: str = "127.0.0.1:8101",
    rate: float = 70.0,
    seconds: float = 20.0,
    seed: int = 1,
    deadline_ms: int = 1_000,
    domain: str = "",
    ready_seconds: float = 20.0,
    json: bool = False,
) -> int:
    """Send a load to a running deployment and check the promises of the tier.

    The platform and the backend servers of the deployment must be the stand-ins of
    ``mimosapost standin``.

    :param instances: caller addresses of the instances, by default ``127.30.0.1:8000`` to
        ``127.30.0.4:8000``.
    :param operators: operator addresses of the instances, by default ``127.30.0.1:8002`` to
        ``127.30.0.4:8002``.
    :param platform: address of the platform stand-in.
    :param control: control address of the stand-in backend servers.
    :param rate: queries per second, above 0.
    :param seconds: duration of the load in seconds, at least 12.
    :param seed: seed of the load.
    :param deadline_ms: deadline of each query in milliseconds.
    :param domain: failure domain to take out; by default the second one of the fleet.
    :param ready_seconds: maximum wait until all instances are ready, in seconds.
    :param json: print only the report, as JSON.
    :returns: 0 if every promise was kept, otherwise 1.
    """
    if seconds < _MIN_SECONDS or not rate > 0:
        raise CommandError(
            f"rate {rate:g}, duration {seconds:g} s: expected a rate above 0 and at least "
            f"{_MIN_SECONDS:g} seconds"
        )
    demo_run = _DemoRun(
        plan=LoadPlan(rate, seconds, seed, ()),
        deadline_ms=deadline_ms,
        domain=domain,
        verbose=not json,
    )
    addresses = (
        instances or [f"{host}:8000" for host in _DEFAULT_INSTANCE_HOSTS],
        operators or [f"{host}:8002" for host in _DEFAULT_INSTANCE_HOSTS],
        platform,
        control,
    )
    try:
        report = asyncio.run(demo_run.run(addresses, ready_seconds))
    except DeploymentError as error:
        raise CommandError(str(error)) from None
    except (aiohttp.ClientError, TimeoutError) as error:
        raise CommandError(f"the deployment does not answer: {error!r}") from None
    if json:
        sys.stdout.write(msgspec.json.format(msgspec.json.encode(report)).decode() + "\n")
    else:
        sys.stdout.write(format_report(report))
    return 1 if report.broken else 0


class _DemoRun:
    """One run of the demonstration against a deployment."""

    def __init__(self, plan: LoadPlan, deadline_ms: int, domain: str, verbose: bool) -> None:
        self._plan = plan
        self._deadline_ms = deadline_ms
        self._domain = domain
        self._verbose = verbose

    async def run(
        self, addresses: tuple[list[str], list[str], str, str], ready_seconds: float
    ) -> PromiseReport:
        """Run all steps.

        :param addresses: caller addresses and operator addresses of the instances, address of
            the platform stand-in, control address of the stand-in backend servers.
        :param ready_seconds: maximum wait until all instances are ready, in seconds.
        :returns: the report.
        """
        async with aiohttp.ClientSession() as session:
            deployment = RunningDeployment(session, *addresses)
            await deployment.wait_until_ready(ready_seconds)
            tree = await deployment.read_tree()
            kinds = list_query_kinds(tree.teams, self._deadline_ms)
            domain = self._choose_domain(tree)
            self._print(
                f"{len(addresses[0])} instances ready; {len(tree.map_cold_limits())} backend "
                f"servers, {len(tree.teams)} teams, domains {', '.join(tree.fleet.regions)}"
            )
            execution_result = await self._send_unrepeatable_request(deployment, kinds)
            counters_before, _ = await deployment.read_counters()
            plan = LoadPlan(self._plan.rate_per_s, self._plan.seconds, self._plan.seed, kinds)
            async with asyncio.TaskGroup() as group:
                outage = group.create_task(self._run_outage(deployment, tree, domain))
                load = group.create_task(
                    run_load(plan, deployment.instances, time.monotonic, self._show_progress)
                )
            result = load.result()
            self._print(f"example answer:\n{_format_json(result.example)}")
            counters, unreachable = await deployment.read_counters()
            report = create_report(
                result,
                await deployment.read_records(),
                tree.map_cold_limits(),
                outage.result(),
                counters - counters_before,
                execution_result,
            )
            # The demonstration stops no instance, so one that does not answer has failed.
            report.broken += [
                f"operator page {address} did not answer" for address in unreachable
            ]
            return report

    def _choose_domain(self, tree: PublishedTree) -> str:
        domains = list(tree.fleet.regions)
        domain = self._domain or domains[min(1, len(domains) - 1)]
        if domain not in domains:
            raise CommandError(
                f"unknown failure domain {domain!r}: expected one of {', '.join(domains)}"
            )
        return domain

    async def _send_unrepeatable_request(
        self, deployment: RunningDeployment, kinds: tuple[QueryKind, ...]
    ) -> SingleExecutionResult:
        """Send a request that must not be repeated, with the same ticket, to two instances."""
        kind = max(kinds, key=lambda kind: len(kind.service.leafs))
        key = f"demo-{uuid.uuid4()}"
        request: dict[str, Any] = {
            "request": {"kind": "search", "term": key},
            "priority": kind.priority,
            "repeatable": False,
            "idempotency_key": key,
        }
        issuer = deployment.instances[0]
        targets = (issuer, deployment.instances[-1])
        first = await deployment.send_query(issuer, kind, request)
        request["ticket"] = first["ticket"]
        answers = await asyncio.gather(
            *(deployment.send_query(target, kind, request) for target in targets)
        )
        runs = Counter(
            execution["leaf"]
            for record in await deployment.read_records()
            for execution in record["records"]
            if execution["idempotency_key"] == key
            and execution["outcome"] not in ("shed", "rejected")
        )
        execution_result = SingleExecutionResult(
            service=kind.service.name,
            first_code=first["code"],
            first_run=first["run"],
            codes={
                f"{number}: {target}": answer["code"]
                for number, (target, answer) in enumerate(zip(targets, answers, strict=True))
            },
            runs=dict(runs),
            leafs=tuple(leaf.name for leaf in kind.service.leafs),
            same_result=all(answer["result"] == answers[0]["result"] for answer in answers),
        )
        codes = ", ".join(_format_code(code) for code in execution_result.codes.values())
        self._print(
            f"request that must not be repeated: without ticket "
            f"{_format_code(execution_result.first_code)}, "
            f"with the same ticket at two instances {codes}; "
            f"executions by leaf "
            + ", ".join(
                f"{leaf} {execution_result.runs.get(leaf, 0)}"
                for leaf in execution_result.leafs
            )
        )
        return execution_result

    async def _run_outage(
        self, deployment: RunningDeployment, tree: PublishedTree, domain: str
    ) -> Outage:
        """Take a domain out of service, then return it with all its servers in cold start."""
        servers = tree.list_servers(domain)
        await asyncio.sleep(_OUTAGE_START_FRACTION * self._plan.seconds)
        outage_start_s = time.monotonic()
        version = await deployment.publish_domains_out(tree, (domain,))
        self._print(
            f"fleet version {version}: domain {domain} out of service, {len(servers)} servers"
        )
        await asyncio.sleep(
            (_OUTAGE_END_FRACTION - _OUTAGE_START_FRACTION) * self._plan.seconds
        )
        await deployment.fall_cold(servers)
        outage_end_s = time.monotonic()
        version = await deployment.publish_domains_out(tree, ())
        self._print(
            f"fleet version {version}: domain {domain} in service again, "
            f"its servers in cold start"
        )
        return Outage(domain, outage_start_s, outage_end_s, servers)

    def _show_progress(self, elapsed_s: float, result: LoadResult) -> None:
        refused = sum(result.codes.values()) - result.answered
        self._print(
            f"{elapsed_s:5.1f} s  {result.queries} queries, {result.answered} answered, "
            f"{refused} refused, coverage {100 * result.coverage:.2f}%, "
            f"p99 {result.get_quantile_ms(0.99):.1f} ms"
        )

    def _print(self, text: str) -> None:
        if self._verbose:
            sys.stdout.write(f"{text}\n")
            sys.stdout.flush()


def _format_code(code: int) -> str:
    return f"{code} {ResultCode(code).name}"


def _format_json(value: Any) -> str:
    return msgspec.json.format(msgspec.json.encode(value)).decode()


def format_report(report: PromiseReport) -> str:
    """Format a report as a table, followed by the broken promises.

    :param report: figures of the run and the promises that were broken.
    :returns: text that ends with a line feed.
    """
    load = report.load
    rows = [
        ("queries", f"{load['queries']}, answered {load['answered']}"),
        ("latency p50 / p90 / p99 / max", _format_latency(load)),
    ]
    rows += [
        (f"  {name}", _format_latency(report.priorities[name]))
        for name in ("urgent", "normal", "background")
        if name in report.priorities
    ]
    rows += [
        ("coverage", f"{100 * load['coverage']:.3f}%"),
        (
            "extra load",
            f"{100 * report.extra_share:+.2f}% ({report.sends} sends for "
            f"{load['leafs_wanted']} leafs, {report.hedges} hedges decided, "
            f"{report.retries} retries)",
        ),
        (
            "refusals",
            ", ".join(f"{count} x {code}" for code, count in report.refusals.items()) or "none",
        ),
        ("wrong or duplicate answers", str(load["wrong_count"])),
        ("connection errors", str(load["connection_errors"])),
        (f"last request to {report.domain}", _format_last_send(report.last_send_s)),
        (
            f"coverage while {report.domain} is out",
            f"{100 * report.coverage_out:.3f}%; "
            f"from {DOMAIN_OUT_GRACE_S:g} s after its removal to the "
            f"end of the run {100 * report.coverage_after_grace:.3f}%",
        ),
        (
            "peak concurrency at a cold server",
            f"{report.cold_peak} of {report.cold_limit}, total of all instances",
        ),
        (
            "executions of the request that must not be repeated",
            ", ".join(f"{leaf} {count}" for leaf, count in sorted(report.once["runs"].items())),
        ),
    ]
    width = max(len(name) for name, _ in rows)
    lines = [f"{name:<{width}}  {value}" for name, value in rows]
    lines += [f"promise broken: {text}" for text in report.broken]
    if not report.broken:
        lines.append("every promise held")
    return "\n".join(lines) + "\n"


def _format_last_send(last_send_s: float | None) -> str:
    if last_send_s is None:
        return "none after it was taken out"
    return f"{last_send_s:.3f} s after it was taken out"


def _format_latency(figures: dict[str, Any]) -> str:
    values = (f"{figures[name]:.1f}" for name in ("p50_ms", "p90_ms", "p99_ms", "max_ms"))
    return " / ".join(values) + " ms"

"""HTTP clients of the configuration service and the instance list, and their reader."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol, TypeVar

import aiohttp
import mode
import msgspec
import structlog
from returns.result import Failure, Result, Success

from mimosapost.membership.gossip_choices import (
    compute_config_read_interval_s,
    should_read_config,
)
from mimosapost.model.events import ConfigRead, Event, InstanceEntry, InstancesListed

__all__ = [
    "ConfigSource",
    "HttpConfigSource",
    "HttpInstanceSource",
    "InstanceSource",
    "PlatformFault",
    "PlatformReader",
    "TreeRead",
]

MAX_VALUE_BYTES = 2**20
# Allows for the version and whitespace around a value of the largest size.
_MAX_BODY_BYTES = MAX_VALUE_BYTES + 4_096
_MAX_VERSION = 2**53
_READ_TIMEOUT_S = 2.0
# 690 instances start 10 watches a second, so watches of 30 s keep 300 waiting, about 10 for
# each of 30 teams. The timeout also frees connections on which the service fell silent.
_WATCH_TIMEOUT_S = 30.0
_MAX_BACKOFF_S = 30.0
# Each open watch holds one connection, so the pool of the session must allow as many.
MAX_OPEN_READS = 64
# Upper limit for the whole fleet, from which each instance derives its own interval.
_MAX_FLEET_LIST_READS_PER_S = 20

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class TreeRead:
    """Subtree as published; ``text`` holds the exact bytes of the value document."""

    version: int
    text: bytes


@dataclass(frozen=True, slots=True)
class PlatformFault:
    """Failure of a read from a service of the platform.

    :param reason: short explanation, which contains no part of the answer.
    :param answered: whether the service works and only this answer is unusable.
    """

    reason: str
    answered: bool = False


class ConfigSource(Protocol):
    """Read access to the configuration service."""

    async def read_tree(self, team: str) -> Result[TreeRead, PlatformFault]:
        """Return the subtree of a team that the service holds now."""

    async def watch_tree(self, team: str, after: int) -> Result[TreeRead | None, PlatformFault]:
        """Wait for a version above ``after``; return ``None`` if the watch times out."""


class InstanceSource(Protocol):
    """Read access to the platform's instance list."""

    async def list_instances(self) -> Result[tuple[InstanceEntry, ...], PlatformFault]:
        """Return the live and leaving instances."""


class _TreeBody(msgspec.Struct):
    version: int
    value: msgspec.Raw


class _InstanceBody(msgspec.Struct):
    name: str
    peer_address: str
    leaving: bool


class _InstancesBody(msgspec.Struct):
    instances: list[_InstanceBody]


class _HttpSource:
    def __init__(self, base_url: str, session: aiohttp.ClientSession) -> None:
        self._base_url = base_url.rstrip("/")
        self._session = session

    async def _get(
        self, path: str, body_type: type[T], timeout_s: float
    ) -> Result[T | None, PlatformFault]:
        limit = aiohttp.ClientTimeout(total=timeout_s)
        try:
            # Redirects are not followed: the target is a server that the settings do not name.
            async with self._session.get(
                self._base_url + path, timeout=limit, allow_redirects=False
            ) as response:
                if response.status in (204, 304):
                    return Success(None)
                if response.status != 200:
                    service_works = response.status < 500 and response.status != 429
                    return Failure(PlatformFault(f"status {response.status}", service_works))
                body = bytearray()
                async for chunk in response.content.iter_any():
                    body += chunk
                    if len(body) > _MAX_BODY_BYTES:
                        return Failure(PlatformFault("answer is larger than 1 MB", True))
            return Success(msgspec.json.decode(bytes(body), type=body_type))
        except TimeoutError:
            return Failure(PlatformFault("no answer in time"))
        except (aiohttp.ClientError, OSError) as error:
            return Failure(PlatformFault(type(error).__name__))
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            reason = f"malformed answer: {type(error).__name__}"
            return Failure(PlatformFault(reason, True))


class HttpConfigSource(_HttpSource):
    """HTTP client of the configuration service.

    :param base_url: URL of the service, without ``/v1``.
    :param session: client session, which the caller closes.
    :param watch_timeout_s: time in seconds after which a watch without a newer version ends.
    :param read_timeout_s: timeout of a plain read in seconds.
    """

    def __init__(
        self,
        base_url: str,
        session: aiohttp.ClientSession,
        watch_timeout_s: float = _WATCH_TIMEOUT_S,
        read_timeout_s: float = _READ_TIMEOUT_S,
    ) -> None:
        super().__init__(base_url, session)
        self._watch_timeout_s = watch_timeout_s
        self._read_timeout_s = read_timeout_s

    async def read_tree(self, team: str) -> Result[TreeRead, PlatformFault]:
        """Return the subtree of a team that the service holds now."""
        result = await self._get(f"/v1/tree/{team}", _TreeBody, self._read_timeout_s)
        return result.bind(_validate_tree)

    async def watch_tree(self, team: str, after: int) -> Result[TreeRead | None, PlatformFault]:
        """Wait for a version above ``after``; return ``None`` if the watch times out."""
        path = f"/v1/watch/{team}?after={after}"
        try:
            async with asyncio.timeout(self._watch_timeout_s):
                result = await self._get(path, _TreeBody, 2 * self._watch_timeout_s)
        except TimeoutError:
            # The timeout does not show whether no newer version exists or the service hangs.
            # The plain read that follows each watch shows it.
            return Success(None)
        if result == Success(None):
            return Success(None)
        return result.bind(_validate_tree)


class HttpInstanceSource(_HttpSource):
    """HTTP client of the instance list.

    :param base_url: URL of the service, without ``/v1``.
    :param session: client session, which the caller closes.
    :param timeout_s: timeout of a read in seconds.
    """

    def __init__(
        self, base_url: str, session: aiohttp.ClientSession, timeout_s: float = _READ_TIMEOUT_S
    ) -> None:
        super().__init__(base_url, session)
        self._timeout_s = timeout_s

    async def list_instances(self) -> Result[tuple[InstanceEntry, ...], PlatformFault]:
        """Return the live and leaving instances."""
        result = await self._get("/v1/instances", _InstancesBody, self._timeout_s)
        return result.bind(_validate_instances)


class PlatformReader(mode.Service):
    """Reads the configuration service and the instance list and turns answers into events.

    At each interval the instance starts at most one configuration read, and only if
    ``should_read_config`` allows it, which limits the reads of the whole fleet. A read is a
    watch on one team. After a watch the next read of that team is a plain one, which shows
    whether the service answers and whether its version went back. Watches of other teams
    remain open meanwhile.

    :param configs: configuration service.
    :param instances: instance list.
    :param handle: handles the events ``ConfigRead`` and ``InstancesListed``.
    :param read_clock_us: monotonic clock in microseconds.
    :param list_teams: returns the names of the subtrees to read, including ``fleet``.
    :param get_accepted_version: returns the accepted version of a team, 0 if there is none.
    :param seat: seat of this instance.
    :param get_ceiling: returns the number of seats of the fleet.
    :param rng: random numbers for the choice of reads, the order of teams and the jitter.
    :param interval_s: factor in seconds for all read intervals; tests shorten it.
    """

    def __init__(
        self,
        configs: ConfigSource,
        instances: InstanceSource,
        handle: Callable[[Event], None],
        read_clock_us: Callable[[], int],
        list_teams: Callable[[], tuple[str, ...]],
        get_accepted_version: Callable[[str], int],
        seat: int,
        get_ceiling: Callable[[], int],
        *,
        rng: Random | None = None,
        interval_s: float = 1.0,
    ) -> None:
        super().__init__()
        self._configs = configs
        self._instances = instances
        self._handle = handle
        self._read_clock_us = read_clock_us
        self._list_teams = list_teams
        self._get_accepted_version = get_accepted_version
        self._seat = seat
        self._get_ceiling = get_ceiling
        self._rng = rng or Random()
        self._interval_s = interval_s
        self._open_reads: set[str] = set()
        self._last_read_versions: dict[str, int] = {}
        self._plain_read_due: set[str] = set()
        self._pending_teams: list[str] = []
        self._config_health = _ServiceHealth("config_service")
        self._list_health = _ServiceHealth("instance_list")

    def describe(self) -> dict[str, object]:
        """Return the state of both services and the open reads for the status page."""
        return {
            "config_service": self._config_health.describe(self._read_clock_us()),
            "instance_list": self._list_health.describe(self._read_clock_us()),
            "open_reads": len(self._open_reads),
        }

    @mode.Service.task
    async def _read_configs(self) -> None:
        while not self.should_stop:
            ceiling = self._get_ceiling()
            open_reads = len(self._open_reads)
            if open_reads < MAX_OPEN_READS and should_read_config(
                self._seat, ceiling, self._rng
            ):
                team = self._choose_team()
                if team is not None:
                    self._open_reads.add(team)
                    self.add_future(self._read_team(team))
            interval_s = self._interval_s * compute_config_read_interval_s(ceiling)
            await self.sleep(self._get_delay_s(self._config_health, interval_s))

    @mode.Service.task
    async def _read_instances(self) -> None:
        while not self.should_stop:
            count_before = self._list_health.fault_count
            result = await self._instances.list_instances()
            if isinstance(result, Success):
                self._list_health.record_success(self._read_clock_us())
                self._handle(InstancesListed(self._read_clock_us(), result.unwrap()))
            else:
                self._list_health.record_fault(result.failure(), count_before)
            interval_s = self._interval_s * max(
                2.0, self._get_ceiling() / _MAX_FLEET_LIST_READS_PER_S
            )
            await self.sleep(self._get_delay_s(self._list_health, interval_s))

    def _choose_team(self) -> str | None:
        # Each pass visits all teams in random order, so that the few watches that a large fleet
        # may open are spread over the teams.
        teams = set(self._list_teams())
        self._pending_teams = [team for team in self._pending_teams if team in teams]
        if not self._pending_teams:
            self._pending_teams = sorted(teams)
            self._rng.shuffle(self._pending_teams)
        for index, team in enumerate(self._pending_teams):
            if team not in self._open_reads:
                return self._pending_teams.pop(index)
        return None

    async def _read_team(self, team: str) -> None:
        accepted_version = self._get_accepted_version(team)
        count_before = self._config_health.fault_count
        # The watch starts after the version read last, even if that version was refused;
        # otherwise each watch would return the refused version at once.
        after = max(accepted_version, self._last_read_versions.get(team, 0))
        try:
            if after and team not in self._plain_read_due:
                result = await self._configs.watch_tree(team, after)
                self._plain_read_due.add(team)
            else:
                result = await self._configs.read_tree(team)
                self._plain_read_due.discard(team)
        finally:
            self._open_reads.discard(team)
        if not isinstance(result, Success):
            self._config_health.record_fault(result.failure(), count_before, team)
            return
        read = result.unwrap()
        if read is None:
            return
        self._last_read_versions[team] = read.version
        self._config_health.record_success(self._read_clock_us(), team)
        self._config_health.record_version(team, read.version, accepted_version)
        self._handle(ConfigRead(self._read_clock_us(), team, read.version, read.text))

    def _get_delay_s(self, health: _ServiceHealth, interval_s: float) -> float:
        delay_s = min(_MAX_BACKOFF_S, interval_s * 2 ** min(health.fault_count, 10))
        # The delay is never shorter than the interval, which limits the reads of the fleet.
        return max(interval_s, delay_s) * (1 + self._rng.random() / 4)


class _ServiceHealth:
    """Counts consecutive faults of one service and logs only changes of its state."""

    def __init__(self, service: str) -> None:
        self.fault_count = 0
        self._service = service
        self._log = structlog.get_logger().bind(service=service)
        self._last_answered_us: int | None = None
        self._last_reason = ""
        self._reverted_versions: dict[str, int] = {}
        self._unusable: dict[str, str] = {}

    def record_fault(self, fault: PlatformFault, count_before: int, team: str = "") -> None:
        # Reads that were open at the same time fail together and count as one fault, because
        # each passes the count from its start. An answer that is unusable for one team must not
        # delay the reads of other teams, so it does not count.
        if fault.answered:
            if self._unusable.get(team) != fault.reason:
                self._log.warning("platform_answer_unusable", team=team, reason=fault.reason)
            self._unusable[team] = fault.reason
            return
        self.fault_count = max(self.fault_count, count_before + 1)
        if fault.reason != self._last_reason:
            self._log.warning("platform_fault", reason=fault.reason)
        self._last_reason = fault.reason

    def record_success(self, now_us: int, team: str = "") -> None:
        self._unusable.pop(team, None)
        if self.fault_count:
            self._log.info("platform_restored", faults=self.fault_count)
        self.fault_count = 0
        self._last_reason = ""
        self._last_answered_us = now_us

    def record_version(self, team: str, version: int, accepted_version: int) -> None:
        if version >= accepted_version:
            self._reverted_versions.pop(team, None)
        elif self._reverted_versions.get(team) != version:
            self._reverted_versions[team] = version
            self._log.warning(
                "config_went_back", team=team, version=version, held=accepted_version
            )

    def describe(self, now_us: int) -> dict[str, object]:
        last_answered_us = self._last_answered_us
        return {
            "faults_in_a_row": self.fault_count,
            "last_fault": self._last_reason,
            "answered_ago_us": None if last_answered_us is None else now_us - last_answered_us,
            "unusable": dict(sorted(self._unusable.items())),
            "behind": dict(sorted(self._reverted_versions.items())),
        }


def _validate_tree(body: _TreeBody | None) -> Result[TreeRead, PlatformFault]:
    if body is None:
        return Failure(PlatformFault("answer has no subtree (status 204 or 304)", True))
    if not 1 <= body.version <= _MAX_VERSION:
        return Failure(PlatformFault("version of the subtree is outside 1 to 2**53", True))
    text = bytes(body.value)
    if len(text) > MAX_VALUE_BYTES:
        return Failure(PlatformFault("value is larger than 1 MB", True))
    return Success(TreeRead(body.version, text))


def _validate_instances(
    body: _InstancesBody | None,
) -> Result[tuple[InstanceEntry, ...], PlatformFault]:
    if body is None:
        return Failure(PlatformFault("answer has no instance list (status 204 or 304)", True))
    entries = {
        entry.name: InstanceEntry(entry.name, entry.peer_address, entry.leaving)
        for entry in body.instances
    }
    return Success(tuple(entries.values()))

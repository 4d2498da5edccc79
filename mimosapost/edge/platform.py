"""Clients of the configuration service and of the instance list."""

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
# Room for the version and whitespace around a value of the largest size.
_MAX_BODY_BYTES = MAX_VALUE_BYTES + 4_096
_MAX_VERSION = 2**53
_READ_TIMEOUT_S = 2.0
# At 690 instances 10 watches start each second; lasting 30 s they keep 300 waiting, about 10
# for each of 30 teams. The end also frees connections that fell silent.
_WATCH_TIMEOUT_S = 30.0
_LAST_BACKOFF_S = 30.0
# Each open watch holds one connection; the session's pool must allow as many.
MAX_OPEN_READS = 64
# The whole fleet reads the instance list at most this often.
_LISTS_PER_S = 20

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class TreeRead:
    """A subtree as published; ``text`` holds the exact bytes of the value document."""

    version: int
    text: bytes


@dataclass(frozen=True, slots=True)
class PlatformFault:
    """Why a service of the platform gave no usable answer.

    :param reason: short explanation without any part of the answer.
    :param answered: whether the service works and only this one answer is unusable.
    """

    reason: str
    answered: bool = False


class ConfigSource(Protocol):
    """Read access to the configuration service."""

    async def read_tree(self, team: str) -> Result[TreeRead, PlatformFault]:
        """Return the subtree of a team as the service holds it now."""

    async def watch_tree(self, team: str, after: int) -> Result[TreeRead | None, PlatformFault]:
        """Wait for a version above ``after``; ``None`` if none came within the time limit."""


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
    def __init__(self, base: str, session: aiohttp.ClientSession) -> None:
        self._base = base.rstrip("/")
        self._session = session

    async def _get(
        self, path: str, body_type: type[T], timeout_s: float
    ) -> Result[T | None, PlatformFault]:
        limit = aiohttp.ClientTimeout(total=timeout_s)
        try:
            # A redirect would lead to a server that the settings do not name.
            async with self._session.get(
                self._base + path, timeout=limit, allow_redirects=False
            ) as response:
                if response.status in (204, 304):
                    return Success(None)
                if response.status != 200:
                    works = response.status < 500 and response.status != 429
                    return Failure(PlatformFault(f"status {response.status}", works))
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
    """Configuration service over HTTP.

    :param base: URL before ``/v1``.
    :param session: client session, owned by the caller.
    :param watch_timeout_s: time in seconds after which a waiting watch is ended.
    :param read_timeout_s: time in seconds for a plain read.
    """

    def __init__(
        self,
        base: str,
        session: aiohttp.ClientSession,
        watch_timeout_s: float = _WATCH_TIMEOUT_S,
        read_timeout_s: float = _READ_TIMEOUT_S,
    ) -> None:
        super().__init__(base, session)
        self._watch_timeout_s = watch_timeout_s
        self._read_timeout_s = read_timeout_s

    async def read_tree(self, team: str) -> Result[TreeRead, PlatformFault]:
        """Return the subtree of a team as the service holds it now."""
        result = await self._get(f"/v1/tree/{team}", _TreeBody, self._read_timeout_s)
        return result.bind(_check_tree)

    async def watch_tree(self, team: str, after: int) -> Result[TreeRead | None, PlatformFault]:
        """Wait for a version above ``after``; ``None`` if none came within the time limit."""
        path = f"/v1/watch/{team}?after={after}"
        try:
            async with asyncio.timeout(self._watch_timeout_s):
                result = await self._get(path, _TreeBody, 2 * self._watch_timeout_s)
        except TimeoutError:
            # No news and a service that hangs look alike; the reader tells them apart by a
            # plain read.
            return Success(None)
        if result == Success(None):
            return Success(None)
        return result.bind(_check_tree)


class HttpInstanceSource(_HttpSource):
    """Instance list over HTTP.

    :param base: URL before ``/v1``.
    :param session: client session, owned by the caller.
    :param timeout_s: time in seconds for one reading.
    """

    def __init__(
        self, base: str, session: aiohttp.ClientSession, timeout_s: float = _READ_TIMEOUT_S
    ) -> None:
        super().__init__(base, session)
        self._timeout_s = timeout_s

    async def list_instances(self) -> Result[tuple[InstanceEntry, ...], PlatformFault]:
        """Return the live and leaving instances."""
        result = await self._get("/v1/instances", _InstancesBody, self._timeout_s)
        return result.bind(_check_instances)


class PlatformReader(mode.Service):
    """Reads both services and turns answers into events.

    At each interval an instance may start one configuration read if ``should_read_config`` lets
    it, so the fleet stays within its share of reads. A read is a watch on one team; after a
    watch the next read of that team is a plain one, which shows whether the service answers
    at all and whether it went back. Waiting watches of other teams go on.

    :param configs: configuration service.
    :param instances: instance list.
    :param handle: takes ``ConfigRead`` and ``InstancesListed``.
    :param clock_us: monotonic clock in microseconds.
    :param teams: names of the subtrees to read, ``fleet`` among them.
    :param held_version: accepted version of a team, 0 for none.
    :param seat: seat of this instance.
    :param ceiling: number of seats of the fleet.
    :param rng: random numbers for shares, order and jitter.
    :param interval_s: unit of the intervals in seconds; tests shorten it.
    """

    def __init__(
        self,
        configs: ConfigSource,
        instances: InstanceSource,
        handle: Callable[[Event], None],
        clock_us: Callable[[], int],
        teams: Callable[[], tuple[str, ...]],
        held_version: Callable[[str], int],
        seat: int,
        ceiling: Callable[[], int],
        *,
        rng: Random | None = None,
        interval_s: float = 1.0,
    ) -> None:
        super().__init__()
        self._configs = configs
        self._instances = instances
        self._handle = handle
        self._clock_us = clock_us
        self._teams = teams
        self._held_version = held_version
        self._seat = seat
        self._ceiling = ceiling
        self._rng = rng or Random()
        self._interval_s = interval_s
        self._reading: set[str] = set()
        self._seen: dict[str, int] = {}
        self._verify: set[str] = set()
        self._waiting: list[str] = []
        self._config_log = _FaultLog("config_service")
        self._list_log = _FaultLog("instance_list")

    def describe(self) -> dict[str, object]:
        """Return the state of both services for the status page."""
        return {
            "config_service": self._config_log.describe(self._clock_us()),
            "instance_list": self._list_log.describe(self._clock_us()),
            "open_reads": len(self._reading),
        }

    @mode.Service.task
    async def _read_configs(self) -> None:
        while not self.should_stop:
            ceiling = self._ceiling()
            open_reads = len(self._reading)
            if open_reads < MAX_OPEN_READS and should_read_config(
                self._seat, ceiling, self._rng
            ):
                team = self._choose_team()
                if team is not None:
                    self._reading.add(team)
                    self.add_future(self._read_team(team))
            interval_s = self._interval_s * compute_config_read_interval_s(ceiling)
            await self.sleep(self._get_delay_s(self._config_log, interval_s))

    @mode.Service.task
    async def _read_instances(self) -> None:
        while not self.should_stop:
            before = self._list_log.count
            result = await self._instances.list_instances()
            if isinstance(result, Success):
                self._list_log.record_success(self._clock_us())
                self._handle(InstancesListed(self._clock_us(), result.unwrap()))
            else:
                self._list_log.record_fault(result.failure(), before)
            interval_s = self._interval_s * max(2.0, self._ceiling() / _LISTS_PER_S)
            await self.sleep(self._get_delay_s(self._list_log, interval_s))

    def _choose_team(self) -> str | None:
        # Each pass visits all teams in random order, so that the few watches of a large fleet
        # spread over the teams.
        teams = set(self._teams())
        self._waiting = [team for team in self._waiting if team in teams]
        if not self._waiting:
            self._waiting = sorted(teams)
            self._rng.shuffle(self._waiting)
        for index, team in enumerate(self._waiting):
            if team not in self._reading:
                return self._waiting.pop(index)
        return None

    async def _read_team(self, team: str) -> None:
        held = self._held_version(team)
        before = self._config_log.count
        # A version that was read and refused must not answer each watch at once.
        after = max(held, self._seen.get(team, 0))
        try:
            if after and team not in self._verify:
                result = await self._configs.watch_tree(team, after)
                self._verify.add(team)
            else:
                result = await self._configs.read_tree(team)
                self._verify.discard(team)
        finally:
            self._reading.discard(team)
        if not isinstance(result, Success):
            self._config_log.record_fault(result.failure(), before, team)
            return
        read = result.unwrap()
        if read is None:
            return
        self._seen[team] = read.version
        self._config_log.record_success(self._clock_us(), team)
        self._config_log.record_version(team, read.version, held)
        self._handle(ConfigRead(self._clock_us(), team, read.version, read.text))

    def _get_delay_s(self, faults: _FaultLog, interval_s: float) -> float:
        delay_s = min(_LAST_BACKOFF_S, interval_s * 2 ** min(faults.count, 10))
        # The interval itself is never shortened, because it bounds the share of reads.
        return max(interval_s, delay_s) * (1 + self._rng.random() / 4)


class _FaultLog:
    """Counts consecutive faults of one service; logs only when its state changes."""

    def __init__(self, service: str) -> None:
        self.count = 0
        self._service = service
        self._log = structlog.get_logger().bind(service=service)
        self._answered_us: int | None = None
        self._reason = ""
        self._behind: dict[str, int] = {}
        self._unusable: dict[str, str] = {}

    def record_fault(self, fault: PlatformFault, before: int, team: str = "") -> None:
        # Reads that were open at the same time fail together and count as one fault. An
        # answer that is unusable for one team must not delay the reads of the others.
        if fault.answered:
            if self._unusable.get(team) != fault.reason:
                self._log.warning("platform_answer_unusable", team=team, reason=fault.reason)
            self._unusable[team] = fault.reason
            return
        self.count = max(self.count, before + 1)
        if fault.reason != self._reason:
            self._log.warning("platform_fault", reason=fault.reason)
        self._reason = fault.reason

    def record_success(self, now_us: int, team: str = "") -> None:
        self._unusable.pop(team, None)
        if self.count:
            self._log.info("platform_restored", faults=self.count)
        self.count = 0
        self._reason = ""
        self._answered_us = now_us

    def record_version(self, team: str, version: int, held: int) -> None:
        if version >= held:
            self._behind.pop(team, None)
        elif self._behind.get(team) != version:
            self._behind[team] = version
            self._log.warning("config_went_back", team=team, version=version, held=held)

    def describe(self, now_us: int) -> dict[str, object]:
        answered_us = self._answered_us
        return {
            "faults_in_a_row": self.count,
            "last_fault": self._reason,
            "answered_ago_us": None if answered_us is None else now_us - answered_us,
            "unusable": dict(sorted(self._unusable.items())),
            "behind": dict(sorted(self._behind.items())),
        }


def _check_tree(body: _TreeBody | None) -> Result[TreeRead, PlatformFault]:
    if body is None:
        return Failure(PlatformFault("answer without a value", True))
    if not 1 <= body.version <= _MAX_VERSION:
        return Failure(PlatformFault("version outside 1 to 2**53", True))
    text = bytes(body.value)
    if len(text) > MAX_VALUE_BYTES:
        return Failure(PlatformFault("value is larger than 1 MB", True))
    return Success(TreeRead(body.version, text))


def _check_instances(
    body: _InstancesBody | None,
) -> Result[tuple[InstanceEntry, ...], PlatformFault]:
    if body is None:
        return Failure(PlatformFault("answer without instances", True))
    entries = {
        entry.name: InstanceEntry(entry.name, entry.peer_address, entry.leaving)
        for entry in body.instances
    }
    return Success(tuple(entries.values()))

"""Newest accepted subtree of each team.

Subtrees are ordered by (version, xxhash digest of the text). The digest decides between two
texts that were published under one version, so that all instances choose the same one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import xxhash
from returns.result import Result, Success

from mimosapost.model.messages import TreeVersion
from mimosapost.model.published import FleetTree, TeamTree

__all__ = ["FLEET", "Accepted", "ConfigBook", "Refused", "Stale", "compute_digest"]

FLEET = "fleet"
# A team publishes a handful of faulty versions before a good one; more are parsed again.
_REFUSED_PER_TEAM = 16
# 1,000 teams are the bound of the published settings; one more subtree is the fleet's.
_MAX_TEAMS = 1_001

Check = Callable[[str, bytes], Result[TeamTree | FleetTree, Any]]


@dataclass(frozen=True, slots=True)
class Accepted:
    """The offered subtree is now in force."""

    tree: TeamTree | FleetTree


@dataclass(frozen=True, slots=True)
class Refused:
    """The offered subtree is invalid; the last good one stays in force.

    :param faults: what the check reported.
    :param repeated: whether this text was refused before, so that it needs no log line.
    """

    faults: Any
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class Stale:
    """The offered subtree is not newer than the accepted one.

    :param version: version of the accepted subtree.
    """

    version: int


@dataclass(frozen=True, slots=True)
class _Entry:
    version: TreeVersion
    text: bytes
    tree: TeamTree | FleetTree
    accepted_us: int


def compute_digest(text: bytes) -> int:
    """Return the 64-bit digest that orders texts of one version.

    :param text: value document as published.
    :returns: XXH3 hash as an unsigned integer.
    """
    return xxhash.xxh3_64_intdigest(text)


class ConfigBook:
    """Holds the newest accepted subtree of each team and never goes back.

    :param check: parses and checks the text of a team's subtree.
    """

    def __init__(self, check: Check) -> None:
        self._check = check
        self._entries: dict[str, _Entry] = {}
        self._refused: dict[str, dict[tuple[int, int], Any]] = {}

    def offer(
        self, team: str, version: int, text: bytes, now_us: int
    ) -> Accepted | Refused | Stale:
        """Take a subtree that was read from the configuration service or a peer.

        :param team: team that published it, or ``fleet``.
        :param version: version that the configuration service gave it.
        :param text: value document as published.
        :param now_us: monotonic time in microseconds.
        :returns: what became of it.
        """
        key = (version, compute_digest(text))
        entry = self._entries.get(team)
        if entry is not None and key <= (entry.version.version, entry.version.digest):
            return Stale(entry.version.version)
        refused = self._refused.get(team, {})
        if key in refused:
            return Refused(refused[key], repeated=True)
        if entry is None and len(self._entries) >= _MAX_TEAMS:
            return Refused((f"more than {_MAX_TEAMS} subtrees",), repeated=True)
        result = self._check(team, text)
        if not isinstance(result, Success):
            faults = result.failure()
            self._remember_refusal(team, key, faults)
            return Refused(faults)
        tree = result.unwrap()
        self._entries[team] = _Entry(TreeVersion(team, *key), text, tree, now_us)
        self._refused.pop(team, None)
        return Accepted(tree)

    def is_refused(self, offered: TreeVersion) -> bool:
        """Tell whether a subtree was refused, so that it is not requested again.

        :param offered: version that a peer announced.
        :returns: whether its text was refused and is still remembered.
        """
        key = (offered.version, offered.digest)
        return key in self._refused.get(offered.team, {})

    def versions(self) -> tuple[TreeVersion, ...]:
        """Return the version of each accepted subtree, ordered by team."""
        return tuple(self._entries[team].version for team in sorted(self._entries))

    def get_text(self, team: str) -> bytes | None:
        """Return the accepted text of a team's subtree, as published."""
        entry = self._entries.get(team)
        return None if entry is None else entry.text

    def get_team(self, team: str) -> TeamTree | None:
        """Return the accepted subtree of a team."""
        entry = self._entries.get(team)
        return entry.tree if entry and isinstance(entry.tree, TeamTree) else None

    def get_fleet(self) -> FleetTree | None:
        """Return the accepted subtree named ``fleet``."""
        entry = self._entries.get(FLEET)
        return entry.tree if entry and isinstance(entry.tree, FleetTree) else None

    def describe(self, now_us: int) -> tuple[dict[str, Any], ...]:
        """Return one record for each team, for the status page.

        :param now_us: monotonic time in microseconds.
        """
        return tuple(
            {
                "team": team,
                "version": entry.version.version if entry else 0,
                "digest": f"{entry.version.digest:016x}" if entry else "",
                "age_us": now_us - entry.accepted_us if entry else 0,
                "refused_versions": sorted({key[0] for key in self._refused.get(team, {})}),
            }
            for team in sorted(self._entries.keys() | self._refused.keys())
            for entry in [self._entries.get(team)]
        )

    def _remember_refusal(self, team: str, key: tuple[int, int], faults: Any) -> None:
        if team not in self._refused and len(self._refused) >= _MAX_TEAMS:
            self._refused.pop(next(iter(self._refused)))
        refused = self._refused.setdefault(team, {})
        refused[key] = faults
        if len(refused) > _REFUSED_PER_TEAM:
            refused.pop(next(iter(refused)))

"""Newest accepted subtree of each team.

Subtrees are ordered by version and then by the XXH3 digest of the text. The digest decides
between two texts published under the same version, so that all instances choose the same one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import xxhash
from returns.result import Result, Success

from mimosapost.model.peer_messages import TreeVersion
from mimosapost.model.published_settings import FleetTree, TeamTree

__all__ = ["FLEET_SUBTREE", "Accepted", "ConfigStore", "Refused", "Stale", "compute_digest"]

FLEET_SUBTREE = "fleet"
# A team usually publishes only a few invalid versions before a valid one. Beyond this number
# the oldest refusal is dropped, so its text is parsed again when it is offered again.
_MAX_REFUSED_PER_TEAM = 16
# The published settings allow at most 1,000 teams; the subtree ``fleet`` is one more.
_MAX_SUBTREES = 1_001

SubtreeCheck = Callable[[str, bytes], Result[TeamTree | FleetTree, Any]]


@dataclass(frozen=True, slots=True)
class Accepted:
    """The offered subtree is valid and now in force."""

    tree: TeamTree | FleetTree


@dataclass(frozen=True, slots=True)
class Refused:
    """The offered subtree was refused; the last accepted one stays in force.

    :param faults: faults that the check reported.
    :param repeated: whether the refusal needs no log line, because the same text was refused
        before or the number of subtrees is at its limit.
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
    """Return the 64-bit digest that orders texts of the same version.

    :param text: document as published.
    :returns: XXH3 hash as an unsigned integer.
    """
    return xxhash.xxh3_64_intdigest(text)


class ConfigStore:
    """Store of the newest accepted subtree of each team; it never reverts to an older one.

    :param check: function that parses and validates the text of a team's subtree.
    """

    def __init__(self, check: SubtreeCheck) -> None:
        self._check = check
        self._entries: dict[str, _Entry] = {}
        self._refused_by_team: dict[str, dict[tuple[int, int], Any]] = {}

    def offer(
        self, team: str, version: int, text: bytes, now_us: int
    ) -> Accepted | Refused | Stale:
        """Check a subtree and accept it if it is valid and newer than the current one.

        :param team: team that published the subtree, or ``fleet``.
        :param version: version assigned by the configuration service.
        :param text: document as published, read from the configuration service or a peer.
        :param now_us: monotonic time in microseconds.
        :returns: whether the subtree was accepted, refused or is not newer.
        """
        key = (version, compute_digest(text))
        entry = self._entries.get(team)
        if entry is not None and key <= (entry.version.version, entry.version.digest):
            return Stale(entry.version.version)
        refused = self._refused_by_team.get(team, {})
        if key in refused:
            return Refused(refused[key], repeated=True)
        if entry is None and len(self._entries) >= _MAX_SUBTREES:
            return Refused(
                (f"the maximum of {_MAX_SUBTREES} subtrees is already accepted",), repeated=True
            )
        result = self._check(team, text)
        if not isinstance(result, Success):
            faults = result.failure()
            self._store_refusal(team, key, faults)
            return Refused(faults)
        tree = result.unwrap()
        self._entries[team] = _Entry(TreeVersion(team, *key), text, tree, now_us)
        self._refused_by_team.pop(team, None)
        return Accepted(tree)

    def is_refused(self, offered: TreeVersion) -> bool:
        """Return whether a subtree was refused, so that it is not requested again.

        :param offered: version that a peer announced.
        :returns: whether the refusal of its text is still stored.
        """
        key = (offered.version, offered.digest)
        return key in self._refused_by_team.get(offered.team, {})

    def list_versions(self) -> tuple[TreeVersion, ...]:
        """Return the versions of all accepted subtrees, ordered by team."""
        return tuple(self._entries[team].version for team in sorted(self._entries))

    def get_text(self, team: str) -> bytes | None:
        """Return the published text of a team's accepted subtree, or ``None``."""
        entry = self._entries.get(team)
        return None if entry is None else entry.text

    def get_team(self, team: str) -> TeamTree | None:
        """Return the accepted subtree of a team, or ``None``."""
        entry = self._entries.get(team)
        return entry.tree if entry and isinstance(entry.tree, TeamTree) else None

    def get_fleet(self) -> FleetTree | None:
        """Return the accepted subtree named ``fleet``, or ``None``."""
        entry = self._entries.get(FLEET_SUBTREE)
        return entry.tree if entry and isinstance(entry.tree, FleetTree) else None

    def describe(self, now_us: int) -> tuple[dict[str, Any], ...]:
        """Return one record for each offered subtree, for the status page.

        :param now_us: monotonic time in microseconds.
        """
        return tuple(
            {
                "team": team,
                "version": entry.version.version if entry else 0,
                "digest": f"{entry.version.digest:016x}" if entry else "",
                "age_us": now_us - entry.accepted_us if entry else 0,
                "refused_versions": sorted(
                    {key[0] for key in self._refused_by_team.get(team, {})}
                ),
            }
            for team in sorted(self._entries.keys() | self._refused_by_team.keys())
            for entry in [self._entries.get(team)]
        )

    def _store_refusal(self, team: str, key: tuple[int, int], faults: Any) -> None:
        if team not in self._refused_by_team and len(self._refused_by_team) >= _MAX_SUBTREES:
            self._refused_by_team.pop(next(iter(self._refused_by_team)))
        refused = self._refused_by_team.setdefault(team, {})
        refused[key] = faults
        if len(refused) > _MAX_REFUSED_PER_TEAM:
            refused.pop(next(iter(refused)))

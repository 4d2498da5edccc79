"""Coverage of one query: which leafs were answered, and why the others are missing."""

from __future__ import annotations

from typing import Any

from mimosapost.model.codes import MissingReason
from mimosapost.model.identities import Snapshot
from mimosapost.model.queries import MissingLeaf
from mimosapost.planning.plans import Plan

__all__ = ["Coverage"]


class Coverage:
    """Collect the partial results (parts) of the leafs of one plan.

    A part is refused if it is from another snapshot or an unknown leaf, or if its leaf already
    has a part. So a late or duplicate answer can't change the result.

    :param plan: plan whose leafs are to be covered.

    >>> from mimosapost.model.published_settings import LeafSettings, SlotSettings
    >>> leafs = (LeafSettings("a", (SlotSettings("s", "127.0.0.1:1", "d"),)),)
    >>> coverage = Coverage(Plan(Snapshot(1, 1), leafs))
    >>> coverage.add_part("a", Snapshot(1, 1), [1]), coverage.add_part("a", Snapshot(1, 1), [1])
    (True, False)
    """

    __slots__ = ("_missing", "_parts", "_plan")

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._parts: dict[str, Any] = {}
        self._missing: dict[str, MissingReason] = dict.fromkeys(
            (leaf.name for leaf in plan.leafs), MissingReason.TIMED_OUT
        )

    @property
    def covered_count(self) -> int:
        """Return the number of leafs that have a part."""
        return len(self._parts)

    @property
    def covered_share(self) -> float:
        """Return the share of leafs that have a part, from 0 to 1."""
        return len(self._parts) / len(self._plan.leafs)

    def add_part(self, leaf: str, snapshot: Snapshot, items: Any) -> bool:
        """Add the part of a leaf.

        :param leaf: name of the leaf.
        :param snapshot: snapshot that the sub-answer was computed from.
        :param items: items of the sub-answer.
        :returns: whether the part was added.
        """
        if snapshot != self._plan.snapshot or leaf not in self._missing:
            return False
        del self._missing[leaf]
        self._parts[leaf] = items
        return True

    def set_missing(self, leaf: str, reason: MissingReason) -> None:
        """Set why a leaf is missing, unless it has a part.

        :param leaf: name of the leaf.
        :param reason: reason to report.
        """
        if leaf in self._missing:
            self._missing[leaf] = reason

    def list_parts(self) -> list[Any]:
        """Return the parts in shard-map order."""
        return [self._parts[leaf] for leaf in self.list_covered()]

    def list_covered(self) -> tuple[str, ...]:
        """Return the names of the leafs that have a part, in shard-map order."""
        return tuple(leaf.name for leaf in self._plan.leafs if leaf.name in self._parts)

    def list_missing(self) -> tuple[MissingLeaf, ...]:
        """Return the leafs without a part and why they are missing, in shard-map order."""
        names = (leaf.name for leaf in self._plan.leafs if leaf.name in self._missing)
        return tuple(MissingLeaf(name, self._missing[name]) for name in names)

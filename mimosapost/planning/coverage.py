"""Coverage of one query: which leafs were merged, and why the others are missing."""

from __future__ import annotations

from typing import Any

from mimosapost.model.codes import MissingReason
from mimosapost.model.identities import Snapshot
from mimosapost.model.queries import MissingLeaf
from mimosapost.planning.plans import Plan

__all__ = ["Coverage"]


class Coverage:
    """Collects the parts of one plan.

    A part of another snapshot, of an unknown leaf or of a leaf that has a part already is
    refused, so that a late or doubled answer cannot change the result.

    >>> from mimosapost.model.published import LeafSettings, SlotSettings
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
        """Number of leafs that have a part."""
        return len(self._parts)

    @property
    def covered_share(self) -> float:
        """Share of leafs that have a part, from 0 to 1."""
        return len(self._parts) / len(self._plan.leafs)

    def add_part(self, leaf: str, snapshot: Snapshot, items: Any) -> bool:
        """Add the part of a leaf.

        :param leaf: name of the leaf.
        :param snapshot: snapshot that the sub-answer states.
        :param items: items of the sub-answer.
        :returns: whether the part was taken.
        """
        if snapshot != self._plan.snapshot or leaf not in self._missing:
            return False
        del self._missing[leaf]
        self._parts[leaf] = items
        return True

    def set_missing(self, leaf: str, reason: MissingReason) -> None:
        """State why a leaf is missing; has no effect once it has a part."""
        if leaf in self._missing:
            self._missing[leaf] = reason

    def list_parts(self) -> list[Any]:
        """Return the parts in shard-map order."""
        return [self._parts[leaf] for leaf in self.list_covered()]

    def list_covered(self) -> tuple[str, ...]:
        """Return the covered leafs in shard-map order."""
        return tuple(leaf.name for leaf in self._plan.leafs if leaf.name in self._parts)

    def list_missing(self) -> tuple[MissingLeaf, ...]:
        """Return every other leaf with its reason, in shard-map order."""
        names = (leaf.name for leaf in self._plan.leafs if leaf.name in self._missing)
        return tuple(MissingLeaf(name, self._missing[name]) for name in names)

"""Positions in the store's history: era and revision as one number that never goes back.

The store may return from a copy that is some seconds old. It then names the next era, and
revisions that it had given out before are given out again for other changes. A position holds
the era above the revision, so that positions of different eras are never equal, and comparing
two positions tells which is newer. Updates between instances carry positions.
"""

from __future__ import annotations

__all__ = ["MAX_ERA", "MAX_REVISION", "create_position", "get_era", "get_revision"]

# Bits of a position that hold the revision. A position fits the 53 bits that messages between
# instances store.
_REVISION_BITS = 41
#: Largest era and largest revision that a position can hold.
MAX_ERA = 2 ** (53 - _REVISION_BITS) - 1
MAX_REVISION = 2**_REVISION_BITS - 1


def create_position(era: int, revision: int) -> int:
    """Return the position of a revision in an era; both are within their bounds.

    >>> create_position(0, 7), create_position(2, 7) > create_position(1, 900)
    (7, True)
    """
    return era << _REVISION_BITS | revision


def get_era(position: int) -> int:
    """Return the era of a position.

    >>> get_era(create_position(3, 7))
    3
    """
    return position >> _REVISION_BITS


def get_revision(position: int) -> int:
    """Return the revision of a position, as the store counts it.

    >>> get_revision(create_position(3, 7))
    7
    """
    return position & MAX_REVISION

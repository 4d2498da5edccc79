"""Validation of published subtrees.

The result is a pure function of the text, so that all instances accept the same subtrees.
Rules that involve another document are therefore not applied here but only by
:mod:`mimosapost.settings.subtree_directory`.
"""

from __future__ import annotations

from collections.abc import Collection

from returns.result import Result

from mimosapost.model.published_settings import FleetTree, TeamTree
from mimosapost.settings.faults import Fault
from mimosapost.settings.rules import DEFAULT_MERGES, FLEET_SUBTREE
from mimosapost.settings.validation import check_document

__all__ = ["check_fleet", "check_subtree", "check_team"]


def check_team(
    text: bytes, merges: Collection[str] = DEFAULT_MERGES
) -> Result[TeamTree, tuple[Fault, ...]]:
    """Check the subtree of a team.

    :param text: UTF-8 JSON text.
    :param merges: names of the registered merge functions.
    :returns: the subtree, or all faults.

    >>> check_team(b'{"team": "booking", "version": 1}').unwrap().team
    'booking'
    >>> [str(fault) for fault in check_team(b'{"team": "booking", "version": 0}').failure()]
    ['version: found 0, expected at least 1']
    """
    return check_document("team", TeamTree, text, merges)


def check_fleet(text: bytes) -> Result[FleetTree, tuple[Fault, ...]]:
    """Check the subtree named ``fleet``.

    :param text: UTF-8 JSON text.
    :returns: the subtree, or all faults.
    """
    return check_document("fleet", FleetTree, text)


def check_subtree(
    team: str, text: bytes, merges: Collection[str] = DEFAULT_MERGES
) -> Result[TeamTree | FleetTree, tuple[Fault, ...]]:
    """Check the subtree that was published under a path.

    :param team: last segment of the path: ``fleet`` for the fleet's subtree, otherwise the
        team name, which the ``team`` field of the document must equal.
    :param text: UTF-8 JSON text.
    :param merges: names of the registered merge functions.
    :returns: the subtree, or all faults.
    """
    if team == FLEET_SUBTREE:
        return check_fleet(text)
    return check_document("team", TeamTree, text, merges, required_entry=("team", team))

"""Validation of a directory that holds the subtrees of a deployment.

The directory contains ``fleet.json`` and ``teams/<team>.json``. Violations of rules across
files are only warnings: at run time each subtree is checked on its own, so that the order of
their arrival cannot decide which subtrees are accepted.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from returns.result import Failure, Result, Success

from mimosapost.model.published_settings import FleetTree, TeamTree
from mimosapost.settings.faults import Fault, create_fault
from mimosapost.settings.json_reader import MAX_DOCUMENT_BYTES
from mimosapost.settings.published import check_fleet, check_subtree
from mimosapost.settings.rules import DEFAULT_MERGES

__all__ = ["FileFault", "TreeReport", "check_tree", "read_settings_file"]

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class FileFault:
    """A fault and the path of the file that contains it."""

    file: str
    fault: Fault

    def __str__(self) -> str:
        file = self.file if self.file.isprintable() else ascii(self.file)
        return f"{file}: {self.fault}"


@dataclass(frozen=True, slots=True)
class TreeReport:
    """Result of the check of a directory.

    :param fleet: the fleet's subtree, ``None`` if it is missing or refused.
    :param teams: accepted subtrees of teams in order of file name.
    :param faults: reasons for which files would be refused at run time.
    :param warnings: violations of rules across files, for which nothing is refused at run time.
    """

    fleet: FleetTree | None
    teams: tuple[TeamTree, ...]
    faults: tuple[FileFault, ...]
    warnings: tuple[FileFault, ...]


def read_settings_file(path: Path) -> Result[bytes, Fault]:
    """Read a settings file.

    At most ``MAX_DOCUMENT_BYTES + 1`` bytes are read, which is enough to detect a file that is
    too large.

    :param path: file to read.
    :returns: the bytes, or the reason for which the file cannot be read.
    """
    try:
        # Opening a named pipe would block until a writer opens it.
        if path.exists() and not path.is_file():
            return Failure(Fault("(file)", "a file of another type", "a regular file"))
        with path.open("rb") as file:
            return Success(file.read(MAX_DOCUMENT_BYTES + 1))
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return Failure(Fault("(file)", f"an error ({reason})", "a readable file"))


def check_tree(root: Path, merges: Collection[str] = DEFAULT_MERGES) -> TreeReport:
    """Check all subtrees in a directory and the rules across them.

    :param root: directory with ``fleet.json`` and ``teams/``.
    :param merges: names of the registered merge functions.
    :returns: accepted subtrees, faults and warnings.
    """
    faults: list[FileFault] = []

    def load_file(
        path: Path, check: Callable[[bytes], Result[T, tuple[Fault, ...]]]
    ) -> T | None:
        result = read_settings_file(path).alt(lambda fault: (fault,)).bind(check)
        if isinstance(result, Success):
            return result.unwrap()
        faults.extend(FileFault(str(path), fault) for fault in result.failure())
        return None

    fleet_path = root / "fleet.json"
    fleet = load_file(fleet_path, check_fleet)
    teams: dict[str, TeamTree] = {}
    paths = sorted((root / "teams").glob("*.json"))
    for path in paths:
        tree = load_file(path, lambda text, team=path.stem: check_subtree(team, text, merges))
        if tree is not None:
            teams[str(path)] = tree
    warnings = (
        *_check_names_across_teams(teams),
        *_check_domains_known(fleet, str(fleet_path), teams),
        *_check_team_files(fleet, str(fleet_path), {path.stem: str(path) for path in paths}),
    )
    return TreeReport(fleet, tuple(teams.values()), tuple(faults), warnings)


def _check_names_across_teams(teams: dict[str, TeamTree]) -> Iterator[FileFault]:
    for key in ("services", "callers"):
        owners: dict[str, str] = {}
        for file, tree in teams.items():
            for index, entry in enumerate(getattr(tree, key)):
                owner = owners.setdefault(entry.name, tree.team)
                if owner != tree.team:
                    expected = f"a name that team {owner} does not use"
                    fault = create_fault((key, index, "name"), entry.name, expected)
                    yield FileFault(file, fault)


def _check_domains_known(
    fleet: FleetTree | None, fleet_file: str, teams: dict[str, TeamTree]
) -> Iterator[FileFault]:
    if fleet is None:
        return
    expected = "a failure domain of fleet.regions"

    def check_domain(
        file: str, location: tuple[str | int, ...], domain: str
    ) -> Iterator[FileFault]:
        if domain not in fleet.regions:
            yield FileFault(file, create_fault(location, domain, expected))

    # An unknown domain in the fleet's own domains_out is also only a warning: operators must be
    # able to take a domain out even if fleet.regions lacks it, because slots may name it.
    for index, domain in enumerate(fleet.domains_out):
        yield from check_domain(fleet_file, ("domains_out", index), domain)
    for file, tree in teams.items():
        for index, domain in enumerate(tree.domains_out):
            yield from check_domain(file, ("domains_out", index), domain)
        for service_index, service in enumerate(tree.services):
            for leaf_index, leaf in enumerate(service.leafs):
                for slot_index, slot in enumerate(leaf.slots):
                    location = (
                        "services",
                        service_index,
                        "leafs",
                        leaf_index,
                        "slots",
                        slot_index,
                        "domain",
                    )
                    yield from check_domain(file, location, slot.domain)


def _check_team_files(
    fleet: FleetTree | None, fleet_file: str, team_files: dict[str, str]
) -> Iterator[FileFault]:
    if fleet is None:
        return
    for index, team in enumerate(fleet.teams):
        if team not in team_files:
            expected = f"a team with a file teams/{team}.json"
            yield FileFault(fleet_file, create_fault(("teams", index), team, expected))
    for team, file in team_files.items():
        if team not in fleet.teams:
            fault = create_fault(("team",), team, "a team that fleet.teams lists")
            yield FileFault(file, fault)

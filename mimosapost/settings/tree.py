"""Check of a directory that holds the subtrees of a deployment.

The directory holds ``fleet.json`` and ``teams/<team>.json``. Rules across files give only
warnings: at run time each subtree is judged alone, so that the order in which subtrees
arrive never decides which of them are accepted.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from returns.result import Failure, Result, Success

from mimosapost.model.published_settings import FleetTree, TeamTree
from mimosapost.settings.documents import MAX_BYTES
from mimosapost.settings.faults import Fault, create_fault
from mimosapost.settings.published import check_fleet, check_subtree
from mimosapost.settings.rules import DEFAULT_MERGES

__all__ = ["FileFault", "TreeReport", "check_tree", "read_file"]

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class FileFault:
    """A fault and the file that holds it."""

    file: str
    fault: Fault

    def __str__(self) -> str:
        file = self.file if self.file.isprintable() else ascii(self.file)
        return f"{file}: {self.fault}"


@dataclass(frozen=True, slots=True)
class TreeReport:
    """Outcome of the check of a directory.

    :param fleet: the fleet's subtree, ``None`` if it is missing or refused.
    :param teams: every accepted team subtree in order of its file name.
    :param faults: why files would be refused at run time.
    :param warnings: broken rules across files, which refuse nothing at run time.
    """

    fleet: FleetTree | None
    teams: tuple[TeamTree, ...]
    faults: tuple[FileFault, ...]
    warnings: tuple[FileFault, ...]


def read_file(path: Path) -> Result[bytes, Fault]:
    """Read a settings file, at most one byte more than a document may have.

    :param path: file to read.
    :returns: its bytes, or why it cannot be read.
    """
    try:
        # Opening a named pipe would wait for a writer.
        if path.exists() and not path.is_file():
            return Failure(Fault("(file)", "something else", "a regular file"))
        with path.open("rb") as file:
            return Success(file.read(MAX_BYTES + 1))
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return Failure(Fault("(file)", f"an error ({reason})", "a readable file"))


def check_tree(root: Path, merges: Collection[str] = DEFAULT_MERGES) -> TreeReport:
    """Check every subtree below a directory, and the rules across them.

    :param root: directory with ``fleet.json`` and ``teams/``.
    :param merges: names of the registered merges.
    :returns: subtrees, faults and warnings.
    """
    faults: list[FileFault] = []

    def load(path: Path, check: Callable[[bytes], Result[T, tuple[Fault, ...]]]) -> T | None:
        result = read_file(path).alt(lambda fault: (fault,)).bind(check)
        if isinstance(result, Success):
            return result.unwrap()
        faults.extend(FileFault(str(path), fault) for fault in result.failure())
        return None

    fleet_path = root / "fleet.json"
    fleet = load(fleet_path, check_fleet)
    teams: dict[str, TeamTree] = {}
    paths = sorted((root / "teams").glob("*.json"))
    for path in paths:
        tree = load(path, lambda text, team=path.stem: check_subtree(team, text, merges))
        if tree is not None:
            teams[str(path)] = tree
    warnings = (
        *_compare_names(teams),
        *_compare_domains(fleet, str(fleet_path), teams),
        *_compare_teams(fleet, str(fleet_path), {path.stem: str(path) for path in paths}),
    )
    return TreeReport(fleet, tuple(teams.values()), tuple(faults), warnings)


def _compare_names(teams: dict[str, TeamTree]) -> Iterator[FileFault]:
    for key in ("services", "callers"):
        owners: dict[str, str] = {}
        for file, tree in teams.items():
            for index, entry in enumerate(getattr(tree, key)):
                owner = owners.setdefault(entry.name, tree.team)
                if owner != tree.team:
                    expected = f"a name that team {owner} does not use"
                    fault = create_fault((key, index, "name"), entry.name, expected)
                    yield FileFault(file, fault)


def _compare_domains(
    fleet: FleetTree | None, fleet_file: str, teams: dict[str, TeamTree]
) -> Iterator[FileFault]:
    if fleet is None:
        return
    expected = "a failure domain of fleet.regions"

    def compare(file: str, location: tuple[str | int, ...], domain: str) -> Iterator[FileFault]:
        if domain not in fleet.regions:
            yield FileFault(file, create_fault(location, domain, expected))

    # A warning also within the fleet's subtree: taking a domain out must succeed even if it is
    # missing in the list of regions, because slots may name it all the same.
    for index, domain in enumerate(fleet.domains_out):
        yield from compare(fleet_file, ("domains_out", index), domain)
    for file, tree in teams.items():
        for index, domain in enumerate(tree.domains_out):
            yield from compare(file, ("domains_out", index), domain)
        for s, service in enumerate(tree.services):
            for n, leaf in enumerate(service.leafs):
                for k, slot in enumerate(leaf.slots):
                    location = ("services", s, "leafs", n, "slots", k, "domain")
                    yield from compare(file, location, slot.domain)


def _compare_teams(
    fleet: FleetTree | None, fleet_file: str, files: dict[str, str]
) -> Iterator[FileFault]:
    if fleet is None:
        return
    for index, team in enumerate(fleet.teams):
        if team not in files:
            expected = f"a team with a file teams/{team}.json"
            yield FileFault(fleet_file, create_fault(("teams", index), team, expected))
    for team, file in files.items():
        if team not in fleet.teams:
            fault = create_fault(("team",), team, "a team that fleet.teams lists")
            yield FileFault(file, fault)

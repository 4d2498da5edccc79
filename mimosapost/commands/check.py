"""Command that checks settings files."""

from __future__ import annotations

import sys
from pathlib import Path

from returns.result import Result, Success

from mimosapost.commands.registry import CommandError, command
from mimosapost.platform.settings import decode_settings
from mimosapost.settings.faults import Fault
from mimosapost.settings.json_reader import read_document
from mimosapost.settings.local import check_local
from mimosapost.settings.published import check_fleet, check_subtree, check_team
from mimosapost.settings.tree import FileFault, check_tree, read_file

__all__ = ["check", "check_file"]


@command("check")
def check(*paths: Path) -> int:
    """Check settings files and directories, and print every fault.

    A directory holds ``fleet.json`` and ``teams/<team>.json``. A single file is the fleet's
    subtree if it is called ``fleet.json`` or holds ``regions``, a team's subtree if it stands
    in a directory ``teams`` or holds ``team``, and local settings otherwise. A file that is no
    JSON object is read as settings of the users' platform. Warnings concern
    several files together and refuse nothing at run time.

    :param paths: files and directories.
    :returns: 0, or 2 if there are faults.
    """
    if not paths:
        raise CommandError("check needs at least one file or directory")
    found = 0
    for path in paths:
        if path.is_dir():
            report = check_tree(path)
            faults, warnings = report.faults, report.warnings
        else:
            result = read_file(path).alt(lambda fault: (fault,))
            result = result.bind(lambda text, path=path: check_file(path, text))
            failed = () if isinstance(result, Success) else result.failure()
            faults = tuple(FileFault(str(path), fault) for fault in failed)
            warnings = ()
        for entry in faults:
            # What could not be read at all goes to stderr, as with other programs.
            stream = sys.stderr if entry.fault.path == "(file)" else sys.stdout
            stream.write(f"{entry}\n")
        for entry in warnings:
            sys.stdout.write(f"warning: {entry}\n")
        found += len(faults)
    sys.stdout.write(f"{found} faults\n" if found else "no faults\n")
    return 2 if found else 0


def check_file(path: Path, text: bytes) -> Result[object, tuple[Fault, ...]]:
    """Check one file as the kind of document that its name and content suggest.

    :param path: path of the file; only its last two parts are used.
    :param text: content of the file.
    :returns: typed settings, or every fault.
    """
    if not text.lstrip().startswith(b"{"):
        return decode_settings(text.decode("utf-8", "replace"))
    document = read_document(text).value_or(None)
    keys = document.keys() if isinstance(document, dict) else ()
    if path.name == "fleet.json":
        return check_fleet(text)
    if path.absolute().parent.name == "teams":
        return check_subtree(path.stem, text)
    if "team" in keys:
        return check_team(text)
    if "regions" in keys:
        return check_fleet(text)
    return check_local(text)

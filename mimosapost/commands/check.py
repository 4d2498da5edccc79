"""``mimosapost check``: check settings files and directories."""

from __future__ import annotations

import sys
from pathlib import Path

from returns.result import Failure, Result, Success

from mimosapost.commands.registry import CommandError, command
from mimosapost.platform.settings import decode_settings
from mimosapost.settings.faults import Fault
from mimosapost.settings.json_reader import read_document
from mimosapost.settings.local import check_local_settings
from mimosapost.settings.published import check_fleet, check_subtree, check_team
from mimosapost.settings.subtree_directory import FileFault, check_tree, read_settings_file

__all__ = ["check", "check_file"]


@command("check")
def check(*paths: Path) -> int:
    """Check settings files and directories, and print all faults.

    A directory must contain ``fleet.json`` and ``teams/<team>.json``. A single file is checked
    as the fleet's subtree if its name is ``fleet.json``, as a team's subtree if it is in a
    directory ``teams`` or has the key ``team``, as the fleet's subtree if it has the key
    ``regions``, and as local settings otherwise. A file that is not a JSON object is checked as
    settings of the users' platform; values that a process would ignore count as faults there.
    Warnings concern several files together; nothing is refused for them at run time.

    :param paths: files and directories to check.
    :returns: 0, or 2 if there are faults.
    """
    if not paths:
        raise CommandError("check needs at least one file or directory")
    fault_count = 0
    for path in paths:
        if path.is_dir():
            report = check_tree(path)
            faults, warnings = report.faults, report.warnings
        else:
            result = read_settings_file(path).alt(lambda fault: (fault,))
            result = result.bind(lambda text, path=path: check_file(path, text))
            file_faults = () if isinstance(result, Success) else result.failure()
            faults = tuple(FileFault(str(path), fault) for fault in file_faults)
            warnings = ()
        for entry in faults:
            # Unreadable files are reported on stderr, as command line tools usually do.
            stream = sys.stderr if entry.fault.path == "(file)" else sys.stdout
            stream.write(f"{entry}\n")
        for entry in warnings:
            sys.stdout.write(f"warning: {entry}\n")
        fault_count += len(faults)
    sys.stdout.write(f"{fault_count} faults\n" if fault_count else "no faults\n")
    return 2 if fault_count else 0


def check_file(path: Path, text: bytes) -> Result[object, tuple[Fault, ...]]:
    """Check a file as the kind of document that its name and content indicate.

    :param path: path of the file; only its name and that of its directory are used.
    :param text: content of the file.
    :returns: typed settings, or all faults.
    """
    if not text.lstrip().startswith(b"{"):
        settings = decode_settings(text.decode("utf-8", "replace"))
        return settings.bind(lambda s: Failure(s.ignored) if s.ignored else Success(s))
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
    return check_local_settings(text)

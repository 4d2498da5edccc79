#!/usr/bin/env python3
"""Run pytest without the tests listed in KNOWN-RED.txt, and print the listed entries.

The file lists tests that fail because of a known fault. An entry is a paragraph of
``key: value`` lines with the keys test, command, seen and issue, each exactly once. A line that
begins with a space continues the previous line, and a line that begins with ``#`` is a comment.
"""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterable
from pathlib import Path

_KEYS = {"test", "command", "seen", "issue"}


class EntryError(Exception):
    """An entry is malformed, or it would deselect other tests than the one it names."""


def read_entries(text: str) -> list[dict[str, str]]:
    """Parse the entries of KNOWN-RED.txt.

    :param text: content of the file.
    :returns: for each entry, its values by key.
    :raises EntryError: if a line is malformed or an entry lacks a key.
    """
    entries: list[dict[str, str]] = [{}]
    last_key = ""
    for line in text.splitlines():
        key, colon, value = line.partition(":")
        if line.startswith("#"):
            continue
        if not line.strip():
            entries.append({})
            last_key = ""
        elif line.startswith(" ") and last_key:
            entries[-1][last_key] += f" {line.strip()}"
        elif colon and key in _KEYS and key not in entries[-1]:
            entries[-1][key] = value.strip()
            last_key = key
        else:
            raise EntryError(
                f"unexpected line: {line!r}, expected test, command, seen or issue with a colon"
                " (each once per entry) or, after such a line, a continuation"
            )
    entries = [entry for entry in entries if entry]
    for entry in entries:
        missing = sorted(key for key in _KEYS if not entry.get(key))
        if missing:
            raise EntryError(
                f"{entry.get('test', 'entry')}: no {', '.join(missing)};"
                " an entry needs test, command, seen and issue"
            )
    return entries


def check_ids(listed: Iterable[str], collected: Iterable[str]) -> None:
    """Require that each listed id deselects exactly the test that it names.

    ``pytest --deselect`` deselects every test whose id begins with the given text.

    :param listed: test ids from KNOWN-RED.txt.
    :param collected: ids of all tests that pytest collects.
    :raises EntryError: if a listed id is unknown or is a prefix of the id of another test.
    """
    collected_ids = list(collected)
    for listed_id in listed:
        matched = [test_id for test_id in collected_ids if test_id.startswith(listed_id)]
        if matched != [listed_id]:
            raise EntryError(
                f"{listed_id}: matches {len(matched)} tests, expected only the test of this id"
            )


def main() -> int:
    """Print the entries and run pytest with the arguments of this program.

    :returns: exit status of pytest, or 1 if KNOWN-RED.txt is malformed or can't be checked.
    """
    path = Path("KNOWN-RED.txt")
    pytest_command = [sys.executable, "-m", "pytest"]
    try:
        entries = read_entries(path.read_text(encoding="utf-8")) if path.exists() else []
        if entries:
            # Without -q in ``addopts``: twice, it replaces the ids by counts.
            collect_command = [*pytest_command, "--collect-only", "-q", "-o", "addopts="]
            collection = subprocess.run(
                collect_command, capture_output=True, text=True, check=True
            )
            test_ids = [line for line in collection.stdout.splitlines() if "::" in line]
            check_ids((entry["test"] for entry in entries), test_ids)
    except (EntryError, OSError, UnicodeDecodeError, subprocess.CalledProcessError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return 1
    for entry in entries:
        print("known red: " + "; ".join(f"{k}: {v}" for k, v in entry.items()), flush=True)
    deselect_options = [f"--deselect={entry['test']}" for entry in entries]
    return subprocess.run([*pytest_command, *deselect_options, *sys.argv[1:]]).returncode


if __name__ == "__main__":
    sys.exit(main())

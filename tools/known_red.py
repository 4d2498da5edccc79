#!/usr/bin/env python3
"""Run pytest without the tests of KNOWN-RED.txt, and print these.

An entry is a paragraph of ``key: value`` lines with the keys test, command, seen and issue; a
line that begins with a space continues the one before, and ``#`` begins a comment.
"""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterable
from pathlib import Path

_KEYS = {"test", "command", "seen", "issue"}


class EntryError(Exception):
    """An entry is incomplete, or it would leave out other tests than it names."""


def read_entries(text: str) -> list[dict[str, str]]:
    """Read the entries of the file.

    :param text: content of the file.
    :raises EntryError: if a line or an entry is malformed.
    """
    entries: list[dict[str, str]] = [{}]
    last = ""
    for line in text.splitlines():
        key, colon, value = line.partition(":")
        if line.startswith("#"):
            continue
        if not line.strip():
            entries.append({})
            last = ""
        elif line.startswith(" ") and last:
            entries[-1][last] += f" {line.strip()}"
        elif colon and key in _KEYS and key not in entries[-1]:
            entries[-1][key] = value.strip()
            last = key
        else:
            raise EntryError(f"unexpected line: {line}")
    entries = [entry for entry in entries if entry]
    for entry in entries:
        missing = sorted(key for key in _KEYS if not entry.get(key))
        if missing:
            raise EntryError(f"{entry.get('test', 'entry')}: no {', '.join(missing)}")
    return entries


def check_ids(wanted: Iterable[str], collected: Iterable[str]) -> None:
    """Require that each id leaves out exactly the test that it names.

    pytest leaves out every test whose id begins with the given text.

    :raises EntryError: if an id is unknown or is the beginning of another one.
    """
    known = list(collected)
    for test in wanted:
        matched = [name for name in known if name.startswith(test)]
        if matched != [test]:
            raise EntryError(f"{test}: matches {len(matched)} tests, expected itself alone")


def main() -> int:
    """Print the entries and run pytest with the arguments of this program."""
    path = Path("KNOWN-RED.txt")
    pytest = [sys.executable, "-m", "pytest"]
    try:
        entries = read_entries(path.read_text(encoding="utf-8")) if path.exists() else []
        if entries:
            command = [*pytest, "--collect-only", "-q"]
            done = subprocess.run(command, capture_output=True, text=True, check=True)
            names = [line for line in done.stdout.splitlines() if "::" in line]
            check_ids((entry["test"] for entry in entries), names)
    except (EntryError, OSError, UnicodeDecodeError, subprocess.CalledProcessError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return 1
    for entry in entries:
        print("known red: " + "; ".join(f"{k}: {v}" for k, v in entry.items()), flush=True)
    options = [f"--deselect={entry['test']}" for entry in entries]
    return subprocess.run([*pytest, *options, *sys.argv[1:]]).returncode


if __name__ == "__main__":
    sys.exit(main())

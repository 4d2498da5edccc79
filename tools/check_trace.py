#!/usr/bin/env python3
"""Check strace output of one process of the tier for calls that it must not make.

Reads the output of ``strace -f -o FILE``. Only the standard library is used, so that the check
runs before anything is installed.
"""

from __future__ import annotations

import argparse
import re
import sys
from collections.abc import Iterable, Iterator

_LINE = re.compile(r"(?:\[pid +)?(?P<pid>\d+)\]? +(?P<call>\w+)\((?P<rest>.*)")
_EXIT = re.compile(r"(?:\[pid +)?(?P<pid>\d+)\]? +\+\+\+ (?P<end>.*) \+\+\+")
_PATH = re.compile(r'"((?:[^"\\]|\\.)*)"')
_OPEN = {"open", "openat", "openat2"}
_WRITE_FLAGS = re.compile(r"\bO_(?:WRONLY|RDWR|CREAT|TRUNC|APPEND|TMPFILE)\b")
_FORK = {"fork", "vfork", "clone", "clone3"}
_EXEC = {"execve", "execveat"}
# Calls that create, rename, remove or change files without opening them for writing.
_CHANGE = {
    "creat",
    "link",
    "linkat",
    "memfd_create",
    "mkdir",
    "mkdirat",
    "mknod",
    "mknodat",
    "rename",
    "renameat",
    "renameat2",
    "rmdir",
    "symlink",
    "symlinkat",
    "truncate",
    "unlink",
    "unlinkat",
}


def list_faults(lines: Iterable[str], unpack_root: str = "") -> Iterator[str]:
    """Yield each forbidden call, and each reason why the trace proves nothing.

    A call that failed counts as well: the process tried.

    :param lines: output of ``strace -f -o``.
    :param unpack_root: directory where files may be created; none where empty.
    """
    first = ""
    execs = 0
    ended = False
    for line in lines:
        if end := _EXIT.match(line):
            # Threads end with lines of the same form; the process has the first id.
            if end["pid"] == first:
                ended = end["end"] == "exited with 0"
            continue
        found = _LINE.match(line)
        if found is None:
            continue
        call, rest = found["call"], found["rest"]
        first = first or found["pid"]
        if call.startswith("io_uring_"):
            yield f"io_uring: {line.strip()}"
        elif call in _EXEC:
            execs += 1
            if execs > 1:
                yield f"second program: {line.strip()}"
        elif call in _FORK:
            if "CLONE_THREAD" not in rest:
                yield f"new process: {line.strip()}"
        elif (
            call in _CHANGE or (call in _OPEN and _WRITE_FLAGS.search(_PATH.sub("", rest)))
        ) and not _is_within(rest, unpack_root):
            yield f"file written: {line.strip()}"
    if execs == 0:
        yield "incomplete trace: no execve"
    if not ended:
        yield "incomplete trace: the process did not exit with 0"


def count_threads(lines: Iterable[str]) -> int:
    """Return how many threads were started."""
    found = (_LINE.match(line) for line in lines)
    return sum(
        match is not None and match["call"] in _FORK and "CLONE_THREAD" in match["rest"]
        for match in found
    )


def _is_within(arguments: str, root: str) -> bool:
    """Return whether all paths of a call lie in a directory."""
    paths = _PATH.findall(arguments)
    return bool(root and paths) and all(
        f"{path}/".startswith(f"{root}/") and "/../" not in f"{path}/" for path in paths
    )


def main() -> int:
    """Check one file; print faults, or the number of threads."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("trace", help="output of strace -f -o")
    parser.add_argument("--unpack-root", default="", help="directory of allowed new files")
    options = parser.parse_args()
    with open(options.trace, encoding="utf-8", errors="replace") as stream:
        lines = stream.read().splitlines()
    faults = list(list_faults(lines, options.unpack_root.rstrip("/")))
    for fault in faults:
        print(f"  {fault}")
    calls = sum(_LINE.match(line) is not None for line in lines)
    print(f"  {calls} traced calls, {count_threads(lines)} threads, {len(faults)} faults")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""Check the strace output of one process of the tier for forbidden system calls.

The input is the file that ``strace -f -o FILE`` writes. Only the standard library is used, so
that the check runs before anything is installed.
"""

from __future__ import annotations

import argparse
import re
import sys
from collections.abc import Iterable, Iterator

_CALL_LINE = re.compile(r"(?:\[pid +)?(?P<pid>\d+)\]? +(?P<call>\w+)\((?P<arguments>.*)")
_EXIT_LINE = re.compile(r"(?:\[pid +)?(?P<pid>\d+)\]? +\+\+\+ (?P<outcome>.*) \+\+\+")
_QUOTED_PATH = re.compile(r'"((?:[^"\\]|\\.)*)"')
_OPEN_CALLS = {"open", "openat", "openat2"}
_WRITE_FLAGS = re.compile(r"\bO_(?:WRONLY|RDWR|CREAT|TRUNC|APPEND|TMPFILE)\b")
_CLONE_CALLS = {"fork", "vfork", "clone", "clone3"}
_EXEC_CALLS = {"execve", "execveat"}
# Calls that create, rename, remove or change files without opening them for writing.
_FILE_CHANGE_CALLS = {
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
    """Yield each forbidden call and each reason why the trace is incomplete.

    A forbidden call that failed is a fault too, because the process attempted it. A trace
    without the start or the successful exit of the process proves nothing.

    :param lines: lines of the file that ``strace -f -o`` wrote.
    :param unpack_root: the only directory in which the process may create or change files;
        if empty, it may do so nowhere.
    """
    process_id = ""
    exec_count = 0
    exited_with_zero = False
    for line in lines:
        if exit_match := _EXIT_LINE.match(line):
            # strace writes such a line when a thread exits, too. The first id in the trace is
            # that of the process.
            if exit_match["pid"] == process_id:
                exited_with_zero = exit_match["outcome"] == "exited with 0"
            continue
        call_match = _CALL_LINE.match(line)
        if call_match is None:
            continue
        call, arguments = call_match["call"], call_match["arguments"]
        process_id = process_id or call_match["pid"]
        if call.startswith("io_uring_"):
            yield f"io_uring: {line.strip()}"
        elif call in _EXEC_CALLS:
            exec_count += 1
            if exec_count > 1:
                yield f"second program: {line.strip()}"
        elif call in _CLONE_CALLS:
            if "CLONE_THREAD" not in arguments:
                yield f"new process: {line.strip()}"
        elif (
            call in _FILE_CHANGE_CALLS
            or (call in _OPEN_CALLS and _WRITE_FLAGS.search(_QUOTED_PATH.sub("", arguments)))
        ) and not _is_within(arguments, unpack_root):
            yield f"file written: {line.strip()}"
    if exec_count == 0:
        yield "incomplete trace: no execve, expected the call that started the process"
    if not exited_with_zero:
        yield "incomplete trace: the process did not exit with 0"


def count_threads(lines: Iterable[str]) -> int:
    """Return the number of threads that the traced process started."""
    matches = (_CALL_LINE.match(line) for line in lines)
    return sum(
        match is not None
        and match["call"] in _CLONE_CALLS
        and "CLONE_THREAD" in match["arguments"]
        for match in matches
    )


def _is_within(arguments: str, root: str) -> bool:
    """Return whether a call has paths and all of them lie in the directory ``root``."""
    paths = _QUOTED_PATH.findall(arguments)
    return bool(root and paths) and all(
        f"{path}/".startswith(f"{root}/") and "/../" not in f"{path}/" for path in paths
    )


def main() -> int:
    """Check one trace file and print its faults and a summary.

    :returns: exit status, 1 if there is a fault and 0 otherwise.
    """
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("trace", help="file written by strace -f -o")
    parser.add_argument(
        "--unpack-root",
        default="",
        help="directory in which the process may create or change files",
    )
    options = parser.parse_args()
    with open(options.trace, encoding="utf-8", errors="replace") as stream:
        lines = stream.read().splitlines()
    faults = list(list_faults(lines, options.unpack_root.rstrip("/")))
    for fault in faults:
        print(f"  {fault}")
    calls = sum(_CALL_LINE.match(line) is not None for line in lines)
    print(f"  {calls} traced calls, {count_threads(lines)} threads, {len(faults)} faults")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())

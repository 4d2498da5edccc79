"""Tests for ``tools/check_trace.py``, which searches a trace for forbidden system calls.

A pattern that matches nothing, or a trace that ends early, would let the check pass without
having checked anything.
"""

import importlib.util
from pathlib import Path

import pytest

TOOL = Path(__file__).parents[3] / "tools" / "check_trace.py"
SPEC = importlib.util.spec_from_file_location("check_trace", TOOL)
check_trace = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(check_trace)

START = '10 execve("/usr/bin/python3.11", ["python3.11"], 0x7f /* 9 vars */) = 0'
READ = '10 openat(AT_FDCWD, "/srv/O_CREAT/local.json", O_RDONLY|O_CLOEXEC) = 3'
THREAD = "10 clone3({flags=CLONE_VM|CLONE_FS|CLONE_THREAD, stack=0x7f}, 88) = 11"
THREAD_END = "11 +++ exited with 0 +++"
END = "10 +++ exited with 0 +++"
UNPACKED = '10 openat(AT_FDCWD, "/dev/shm/root/a.py", O_WRONLY|O_CREAT|O_CLOEXEC, 0666) = 4'
FORBIDDEN = [
    ("10 io_uring_setup(64, {flags=0}) = 5", "io_uring"),
    ("11 io_uring_enter(5, 1, 0, 0, NULL, 8 <unfinished ...>", "io_uring"),
    ("10 io_uring_register(5, 1, 0x7f, 2) = -1 EPERM", "io_uring"),
    ('10 execve("/usr/bin/file", ["file", "-b"], 0x7f /* 9 vars */) = 0', "second program"),
    ('11 execveat(3, "", ["a"], NULL, AT_EMPTY_PATH) = -1 ENOENT', "second program"),
    ("10 fork() = 12", "new process"),
    ("10 vfork( <unfinished ...>", "new process"),
    ("10 clone(child_stack=NULL, flags=CLONE_CHILD_SETTID|SIGCHLD) = 12", "new process"),
    ("[pid 10] clone3({flags=CLONE_VM|CLONE_VFORK, exit_signal=SIGCHLD}, 88) = 12", "new"),
    ('10 openat(AT_FDCWD, "/tmp/a", O_WRONLY|O_CLOEXEC) = 4', "file written"),
    ('10 openat(AT_FDCWD, "/tmp/a", O_RDWR) = -1 EACCES (Permission denied)', "file written"),
    ('10 openat(AT_FDCWD, "/tmp", O_RDONLY|O_TMPFILE, 0600) = 4', "file written"),
    ('10 openat2(AT_FDCWD, "/tmp/a", {flags=O_RDONLY|O_CREAT}, 24) = 4', "file written"),
    ('11 open("/tmp/a", O_RDONLY|O_TRUNC <unfinished ...>', "file written"),
    ('10 creat("/tmp/a", 0666) = 4', "file written"),
    ('10 mkdir("/tmp/a", 0777) = 0', "file written"),
    ('10 rename("/tmp/a", "/dev/shm/root/b") = 0', "file written"),
    ('10 unlink("/tmp/a") = 0', "file written"),
    ('10 symlink("/tmp/a", "/tmp/b") = 0', "file written"),
    ('10 memfd_create("a", MFD_CLOEXEC) = 4', "file written"),
    (UNPACKED.replace("/root/", "/rootkit/"), "file written"),
    (UNPACKED.replace("a.py", "../a.py"), "file written"),
]


def test_allowed_calls_pass():
    lines = [START, READ, THREAD, UNPACKED, THREAD_END, END]
    assert list(check_trace.list_faults(lines, "/dev/shm/root")) == []
    assert check_trace.count_threads(lines) == 1


@pytest.mark.parametrize(("line", "reason"), FORBIDDEN)
def test_forbidden_calls_fail(line, reason):
    (fault,) = check_trace.list_faults([START, THREAD, line, THREAD_END, END], "/dev/shm/root")
    assert fault.startswith(reason)
    assert line in fault


def test_unpacking_after_the_first_start_fails():
    (fault,) = check_trace.list_faults([START, UNPACKED, END])
    assert fault.startswith("file written")


@pytest.mark.parametrize(
    "lines",
    [
        pytest.param([], id="empty"),
        pytest.param([START], id="no end"),
        pytest.param([READ, END], id="no start"),
        pytest.param([START, READ, THREAD_END], id="end of a thread only"),
        pytest.param([START, END.replace("with 0", "with 1")], id="exit status 1"),
        pytest.param([START, END.replace("exited with 0", "killed by SIGKILL")], id="killed"),
    ],
)
def test_incomplete_traces_fail(lines):
    assert any("incomplete" in fault for fault in check_trace.list_faults(lines))


def test_exit_status_and_printed_lines(tmp_path, monkeypatch, capsys):
    path = tmp_path / "trace"
    monkeypatch.setattr("sys.argv", ["check_trace.py", str(path)])
    for extra, status in (([], 0), (["10 fork() = 12"], 1)):
        path.write_text("\n".join([START, THREAD, *extra, THREAD_END, END]))
        assert check_trace.main() == status
    printed = capsys.readouterr().out
    assert "1 threads, 0 faults" in printed
    assert "new process: 10 fork() = 12" in printed

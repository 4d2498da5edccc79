"""Guards against a library that starts a program when it is imported."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[3]
SCRIPT = """
import sys
def refuse(event, arguments):
    if event in ("subprocess.Popen", "os.exec", "os.fork", "os.posix_spawn", "os.system"):
        sys.exit(f"{event} {arguments}")
sys.addaudithook(refuse)
from mimosapost.commands.registry import load_commands
load_commands("serve")
import platform
assert platform.architecture.__module__ == "platform"
"""


def test_importing_the_servers_starts_no_program():
    """Importing croniter ran ``file -b`` on the interpreter."""
    command = [sys.executable, "-c", SCRIPT]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert (done.returncode, done.stderr) == (0, "")

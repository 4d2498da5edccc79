"""Importing the program must not start another program, as some libraries do."""

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
    """Without the replacement in ``mimosapost.edge``, croniter runs ``file -b``.

    The import must also restore ``platform.architecture``.
    """
    command = [sys.executable, "-c", SCRIPT]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert (completed.returncode, completed.stderr) == (0, "")

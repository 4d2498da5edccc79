"""Tests for ``mimosapost check`` on settings files of the users' platform.

These files are not JSON; read as JSON, a valid one would be refused with a syntax error.
"""

import pytest

from mimosapost.commands.entry import main

GOOD = """nodeName=front-a1-1
zone=a1
region=north
listenAddrs.front=10.1.0.9:8104
listenAddrs.readyAddr=10.1.0.9:8108
platform.address=10.200.1.7:8102
"""


@pytest.mark.parametrize(
    ("text", "status", "shown"),
    [
        pytest.param(GOOD, 0, ["no faults"], id="valid"),
        pytest.param(GOOD.replace("zone=a1\n", ""), 2, ["zone"], id="missing zone"),
        pytest.param(
            GOOD.replace(":8104", ":port").replace(":8102", ""),
            2,
            ["listenAddrs.front", "platform.address", "2 faults"],
            id="two invalid addresses",
        ),
    ],
)
def test_a_settings_file_of_the_platform_is_checked(tmp_path, capsys, text, status, shown):
    path = tmp_path / "boot.conf"
    path.write_text(text)
    assert main(["check", str(path)]) == status
    output = capsys.readouterr().out
    assert all(word in output for word in shown)

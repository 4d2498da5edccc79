"""Checks which lines of the settings file may keep a process from starting.

A line that the process can do without once ended each start of a process with status 2, until
somebody edited the file, while the running processes went on with their old settings.
"""

from __future__ import annotations

import pytest

from mimosapost.commands.entry import main
from mimosapost.platform.settings import decode_settings
from mimosapost.platform.tests.test_startup import run_startup_probe

REQUIRED = {
    "nodeName": "front-a1-1",
    "zone": "a1",
    "region": "north",
    "listenAddrs.front": "127.0.0.1:8104",
    "listenAddrs.readyAddr": "127.0.0.1:8108",
    "platform.address": "127.0.0.1:8102",
}
# The fields that the platform's pages explain, with the values of their example.
EXPLAINED = {
    "listenAddrs.control": "127.0.0.1:8106",
    "portRange": "7380,7395",
    "seeds": "10.1.0.9:8106,10.2.0.21:8106",
    "bootstrap": "true",
    "zones.b1": "south",
    "limits.memoryMb": "560",
    "limits.maxFds": "8200",
    "bounds.graceS": "6",
    "bounds.contactMs": "4000",
    "bounds.configApplyMs": "3000",
    "bounds.drainMs": "3000",
    "bounds.evacMs": "5000",
}
# Fields of the platform that the pages in force don't explain, and fields of the project.
NOT_EXPLAINED = (
    "bounds.quotaWindowS",
    "bounds.quotaExcess",
    "bounds.quotaSlack",
    "bounds.unknown",
    "unknown",
)
OWN = (
    "callers.memoryMb",
    "callers.connectionMemoryMb",
    "callers.maxConnections",
    "callers.maxHeaderLines",
    "callers.readTimeoutS",
)
ODD_VALUES = ("soon", "-1", "nan", "inf", "1e400", "[]", "\ufffd")


def create_text(**changes):
    """Return a settings file; a value of ``None`` leaves the field out."""
    fields = REQUIRED | EXPLAINED | changes
    return "".join(f"{name}={value}\n" for name, value in fields.items() if value is not None)


@pytest.mark.parametrize("name", [*EXPLAINED, *NOT_EXPLAINED, *OWN])
def test_an_empty_field_counts_as_a_missing_one(name):
    missing = decode_settings(create_text(**{name: None})).unwrap()
    assert decode_settings(create_text(**{name: ""})).unwrap() == missing


@pytest.mark.parametrize("value", ODD_VALUES)
@pytest.mark.parametrize("name", [*NOT_EXPLAINED, *OWN])
def test_an_odd_value_of_a_field_with_a_default_costs_that_field_alone(name, value):
    missing = decode_settings(create_text()).unwrap()
    settings = decode_settings(create_text(**{name: value})).unwrap()
    assert settings == missing
    is_known = not name.endswith("unknown")
    assert [fault.path.strip("[]'\"") for fault in settings.ignored] == [name] * is_known


@pytest.mark.parametrize("value", ["", "\ufffd"])
@pytest.mark.parametrize("name", REQUIRED)
def test_a_field_that_the_process_needs_is_refused_with_its_name(name, value):
    (fault,) = decode_settings(create_text(**{name: value})).failure()
    assert fault.path.strip("[]'\"") == name
    assert fault.expected


@pytest.mark.parametrize("value", ["soon", "-1", "nan", "inf", "1e400"])
@pytest.mark.parametrize(
    "name", [name for name in EXPLAINED if name.startswith(("bounds.", "limits."))]
)
def test_a_limit_that_is_no_number_is_refused_with_its_name(name, value):
    (fault,) = decode_settings(create_text(**{name: value})).failure()
    assert fault.path.strip("[]'\"") == name


@pytest.mark.parametrize(
    ("seeds", "kept"),
    [
        pytest.param("10.1.0.9:8106,,10.2.0.21:8106", 2, id="empty"),
        pytest.param("10.1.0.9:8106,store", 1, id="without a port"),
        pytest.param("10.1.0.9:8106,10.2.0.21:99999", 1, id="port out of range"),
        pytest.param("x", 0, id="none usable"),
    ],
)
def test_an_odd_seed_costs_that_seed_alone(seeds, kept):
    settings = decode_settings(create_text(seeds=seeds)).unwrap()
    assert len(settings.instance_settings.seed_addresses) == kept


def test_an_odd_address_for_operators_costs_that_address_alone():
    settings = decode_settings(create_text(**{"listenAddrs.control": "none"})).unwrap()
    assert settings.operator_addresses == ("127.0.0.1:9464",)
    assert [fault.path.strip("[]'\"") for fault in settings.ignored] == ["listenAddrs.control"]


@pytest.mark.parametrize(
    "line",
    [
        pytest.param(b"bounds.quotaWindowS=", id="empty"),
        pytest.param(b"bounds.quotaWindowS=soon", id="no number"),
        pytest.param(b"bounds.quotaWindowS=\xff", id="not UTF-8"),
        pytest.param(b"bounds.unknown=\xff", id="unknown and not UTF-8"),
    ],
)
async def test_a_process_starts_with_an_odd_line_of_another_matter(tmp_path, line):
    path = tmp_path / "boot.conf"
    path.write_bytes(create_text().encode() + line + b"\n")
    code, output, _ = await run_startup_probe(path)
    assert (code, output) == (0, "127.0.0.1 front-a1-1 False\n")


def test_a_check_shows_what_a_process_would_ignore(tmp_path, capsys):
    path = tmp_path / "boot.conf"
    path.write_text(create_text(**{"callers.memoryMb": "soon"}))
    assert main(["check", str(path)]) == 2
    assert "callers.memoryMb" in capsys.readouterr().out

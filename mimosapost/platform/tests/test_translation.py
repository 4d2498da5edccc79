"""Guards the translation of settings, entries and headers, and files that must not drift."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import pytest
from returns.result import Success

from mimosapost.model.codes import ResultCode
from mimosapost.platform.settings import METRICS_PORT, decode_settings
from mimosapost.platform.store_entries import EntryError, decode_catalog, decode_server
from mimosapost.platform.store_reader import get_next_pause
from mimosapost.platform.tests.standins import create_config
from mimosapost.platform.wire import PlatformCodec
from mimosapost.relay.messages import GatheredReply, LoadReport, Refusal

ROOT = Path(__file__).parents[3]
CODEC = PlatformCodec()
SETTINGS = """
nodeName=front-a1-1
zone=a1
region=north
zones.a1=north
zones.b1=south
listenAddrs.front=10.1.0.9:8104
listenAddrs.readyAddr=10.1.0.9:8108
listenAddrs.control=10.1.0.9:8106
bounds.graceS=6
bounds.contactMs=4000
bounds.configApplyMs=3000
bounds.drainMs=2500
bounds.evacMs=5000
platform.address=10.200.1.7:8102
somethingNew=1
"""


def test_settings_are_decoded():
    match decode_settings(SETTINGS):
        case Success(settings):
            assert settings.place.regions == {"a1": "north", "b1": "south"}
            assert settings.caller_address == "10.1.0.9:8104"
            assert settings.operator_addresses == ("10.1.0.9:9464", "10.1.0.9:8106")
            assert settings.detection_ms == 4_000
            assert settings.apply_ms == 2_500
            assert settings.place.stop_us < 6_000_000
        case failure:
            pytest.fail(str(failure))


@pytest.mark.parametrize(
    ("old", "new", "paths"),
    [
        ("zone=a1", "", ["zone"]),
        ("platform.address=10.200.1.7:8102", "platform.address=store", ["platform.address"]),
        ("bounds.graceS=6", "bounds.graceS=soon", ["bounds.graceS"]),
        ("bounds.evacMs=5000", "bounds.evacMs=-1", ["bounds.evacMs"]),
        (SETTINGS, "", 6),
    ],
)
def test_every_fault_of_the_settings_is_named(old, new, paths):
    faults = decode_settings(SETTINGS.replace(old, new)).failure()
    assert len(faults) == (paths if isinstance(paths, int) else len(paths))
    if not isinstance(paths, int):
        assert [fault.path.strip("[]'\"") for fault in faults] == paths


def encode(**changes) -> bytes:
    entry = {"service": "s", "address": "1.2.3.4:5", "zone": "a1", "slots": 2, "state": "ready"}
    return json.dumps(entry | changes).encode()


def test_a_server_is_decoded():
    server = decode_server("i-1", encode(warmupLeftMs=1500, born=7, seq=3, extra=1))
    assert (server.server_id, server.domain, server.draining) == ("i-1", "a1", False)
    assert (server.cold_remaining_us, server.process_started_ms) == (1_500_000, 7)
    assert decode_server("i-1", encode(state="draining")).draining


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b"null",
        encode(slots=0),
        encode(slots="2"),
        encode(state="gone"),
        encode(address="host"),
        encode(service=None),
        encode(born=1.5),
    ],
)
def test_an_entry_that_names_no_usable_server_is_refused(data):
    with pytest.raises(EntryError):
        decode_server("i-1", data)


def test_a_catalog_is_decoded():
    catalog = decode_catalog(json.dumps(create_config(7, ["s0", "s1"])).encode())
    search = catalog.find_route("shop.example:80", "/search/x?y=1")
    assert (search.shards, search.top, search.repeatable) == (("s0", "s1"), 2, True)
    order = catalog.find_route("SHOP.example", "/order/x")
    assert (order.split, order.repeatable) == ((("s0", 1.0),), False)
    assert catalog.find_route("shop.example", "/orders/x") is None
    assert catalog.limits.body_bytes == 4096


def test_a_route_without_a_service_is_refused():
    config = create_config(7, ["s0"])
    del config["routes"][1]["service"]
    with pytest.raises(EntryError, match="names no service"):
        decode_catalog(json.dumps(config).encode())


@pytest.mark.parametrize(
    ("load", "expected"),
    [
        (b"1,0,2", LoadReport(1, 0, 2)),
        (b"1, 2, 3", LoadReport(1, 2, 3)),
        (b"1,2", None),
        (b"a,b,c", None),
        (b"", None),
    ],
)
def test_load_is_decoded(load, expected):
    answer, _ = CODEC.decode_answer(200, [(b"x-server-load", load)], b"")
    assert answer.load == expected


@pytest.mark.parametrize(
    ("status", "headers", "not_run", "signed"),
    [
        (200, [(b"x-response-seal", b"s")], False, True),
        (200, [(b"x-response-seal", b"s"), (b"content-encoding", b"gzip")], False, False),
        (503, [(b"x-not-executed", b"1")], True, False),
        (503, [], False, False),
        (421, [], True, False),
        (500, [(b"x-response-seal", b"s")], False, True),
    ],
)
def test_only_stated_rejections_count_as_not_run(status, headers, not_run, signed):
    answer, _ = CODEC.decode_answer(status, headers, b"")
    assert (answer.not_run, bool(answer.signature)) == (not_run, signed)


@pytest.mark.parametrize(
    ("reply", "status", "headers"),
    [
        (
            GatheredReply(ResultCode.PARTIAL, ("a", "b"), 1, b""),
            200,
            {"X-Part-Stamps": "a, b", "X-Missing-Parts": "1"},
        ),
        (Refusal(ResultCode.OVERLOADED, 250_000), 503, {"Retry-After": "0.250"}),
        (Refusal(ResultCode.OUTCOME_UNKNOWN), 504, {}),
        (Refusal(ResultCode.UNKNOWN_SERVICE), 404, {}),
        (Refusal(ResultCode.REQUEST_REFUSED), 503, {}),
    ],
)
def test_replies(reply, status, headers):
    encoded = CODEC.encode_reply(reply)
    assert (encoded[0], dict(encoded[1])) == (status, headers)


def test_requirements_of_the_build_are_those_of_the_project():
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    required = (ROOT / "requirements.txt").read_text().split()
    assert set(required) <= set(project["dependencies"])


def test_the_platform_is_told_the_port_of_the_metrics():
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    assert deploy["roles"]["relay"]["metrics"] == f"{METRICS_PORT}/metrics"


def test_the_platforms_names_stay_in_its_folder():
    names = ("X-Request-Id", "X-Deadline-Ms", "X-Response-Seal", "kv-range", "routeKind")
    for path in (ROOT / "mimosapost").rglob("*.py"):
        inside = {"tests", "platform"}.intersection(path.relative_to(ROOT).parts)
        text = "" if inside else path.read_text()
        assert not [name for name in names if name in text], path


@pytest.mark.parametrize(("number", "status"), [(signal.SIGHUP, 2), (signal.SIGTERM, 0)])
def test_signals_during_the_start_do_not_kill_the_process(number, status):
    environment = os.environ | {"MIMOSAPOST_CONFIG": "/nonexistent"}
    with subprocess.Popen(
        [sys.executable, "-m", "mimosapost.platform"],
        env=environment,
        stderr=subprocess.DEVNULL,
    ) as process:
        handled = wait_for_handled_signals(process.pid, (signal.SIGHUP, signal.SIGTERM))
        process.send_signal(number)
        assert process.wait(30) == status
        assert handled


def wait_for_handled_signals(process_id, numbers):
    """Return whether a process ignored or caught all signals before it ended."""
    wanted = sum(1 << (number - 1) for number in numbers)
    for _ in range(10_000):
        status = Path(f"/proc/{process_id}/status").read_text()
        fields = dict(line.partition(":")[::2] for line in status.splitlines())
        if "SigIgn" not in fields or fields["State"].strip().startswith("Z"):
            return False
        handled = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
        if handled & wanted == wanted:
            return True
        time.sleep(0.001)
    return False


@pytest.mark.parametrize(("apply_ms", "most_calls"), [(3_000, 16), (5_000, 11)])
def test_a_row_of_changes_is_read_with_few_calls_and_in_time(apply_ms, most_calls):
    """Guards the calls to the store, which are charged, while changes come all the time.

    Failed with a pause that counted as part of the watch before it: a long pause then looked
    like a quiet time, and the row began again with short pauses.
    """
    longest_seconds = apply_ms / 3_000
    pause_seconds, pauses = 0.1, []
    while sum(pauses) < 13:
        pauses.append(pause_seconds)
        pause_seconds = get_next_pause(pause_seconds, 10_000, longest_seconds)
    assert len(pauses) <= most_calls
    assert max(pauses) <= apply_ms / 2_000
    assert get_next_pause(pause_seconds, 2_000_000, longest_seconds) == 0.1

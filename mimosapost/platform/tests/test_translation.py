"""Tests of the decoders for settings and store entries and of the HTTP codec.

Further tests compare files that must agree, such as the metrics port in the code and in
``deploy/system.toml``, and check the signal handlers during startup.
"""

from __future__ import annotations

import errno
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

from mimosapost.model.caller_bounds import CallerBounds
from mimosapost.model.codes import ResultCode
from mimosapost.platform.http_codec import PlatformCodec
from mimosapost.platform.settings import METRICS_PORT, decode_settings
from mimosapost.platform.store_entries import EntryError, decode_catalog, decode_server
from mimosapost.platform.store_pacing import get_next_pause
from mimosapost.platform.tests.standins import create_config
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
            assert settings.instance_settings.regions == {"a1": "north", "b1": "south"}
            assert settings.caller_address == "10.1.0.9:8104"
            assert settings.operator_addresses == ("10.1.0.9:9464", "10.1.0.9:8106")
            assert settings.detection_limit_ms == 4_000
            assert settings.apply_limit_ms == 2_500
            assert settings.instance_settings.stop_us < 6_000_000
        case failure:
            pytest.fail(str(failure))


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        pytest.param(
            "limits.memoryMb=200\nlimits.maxFds=4100",
            CallerBounds(30 << 20, 20 << 20, 1_950, 0, 60_000_000),
            id="of_the_machine",
        ),
        pytest.param(
            "callers.memoryMb=9\ncallers.connectionMemoryMb=1\ncallers.maxConnections=70\n"
            "callers.maxHeaderLines=64\ncallers.readTimeoutS=2.5",
            CallerBounds(9 << 20, 1 << 20, 70, 64, 2_500_000),
            id="own",
        ),
    ],
)
def test_bounds_on_callers_come_from_the_settings(lines, expected):
    assert decode_settings(SETTINGS + lines).unwrap().caller_bounds == expected


@pytest.mark.parametrize(
    ("old", "new", "expected_faults"),
    [
        ("zone=a1", "", ["zone"]),
        ("platform.address=10.200.1.7:8102", "platform.address=store", ["platform.address"]),
        ("bounds.graceS=6", "bounds.graceS=soon", ["bounds.graceS"]),
        ("bounds.evacMs=5000", "bounds.evacMs=-1", ["bounds.evacMs"]),
        (SETTINGS, "", 6),
    ],
    ids=["no-zone", "address-without-port", "grace-no-number", "negative-bound", "empty-file"],
)
def test_every_fault_of_the_settings_is_reported(old, new, expected_faults):
    # The expected faults are given by their paths or only by their number.
    faults = decode_settings(SETTINGS.replace(old, new)).failure()
    assert len(faults) == (
        expected_faults if isinstance(expected_faults, int) else len(expected_faults)
    )
    if not isinstance(expected_faults, int):
        assert [fault.path.strip("[]'\"") for fault in faults] == expected_faults


def encode_server_entry(**changes) -> bytes:
    entry = {"service": "s", "address": "1.2.3.4:5", "zone": "a1", "slots": 2, "state": "ready"}
    return json.dumps(entry | changes).encode()


def test_a_server_is_decoded():
    server = decode_server(
        "i-1", encode_server_entry(warmupLeftMs=1500, born=7, seq=3, extra=1)
    )
    assert (server.server_id, server.domain, server.draining) == ("i-1", "a1", False)
    assert (server.cold_remaining_us, server.process_started_ms) == (1_500_000, 7)
    assert decode_server("i-1", encode_server_entry(state="draining")).draining


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b"null",
        encode_server_entry(slots=0),
        encode_server_entry(slots="2"),
        encode_server_entry(state="gone"),
        encode_server_entry(address="host"),
        encode_server_entry(service=None),
        encode_server_entry(born=1.5),
    ],
    ids=[
        "empty",
        "not-utf-8",
        "null",
        "no-slots",
        "slots-string",
        "unknown-state",
        "address-without-port",
        "service-null",
        "born-fraction",
    ],
)
def test_an_unusable_server_entry_is_rejected(data):
    with pytest.raises(EntryError):
        decode_server("i-1", data)


def test_a_catalog_is_decoded():
    catalog = decode_catalog(json.dumps(create_config(7, ["s0", "s1"])).encode())
    search = catalog.find_route("shop.example:80", "/search/x?y=1")
    assert (search.shards, search.max_records, search.repeatable) == (("s0", "s1"), 2, True)
    order = catalog.find_route("SHOP.example", "/order/x")
    assert (order.split, order.repeatable) == ((("s0", 1.0),), False)
    assert catalog.find_route("shop.example", "/orders/x") is None
    assert catalog.limits.body_bytes == 4096


def test_a_route_without_a_service_is_rejected():
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
        (b"1,-2,3", None),
        (b"9" * 400 + b",2,3", None),
        (b"1_0,2,3", None),
    ],
    ids=[
        "plain",
        "spaces",
        "two-values",
        "not-numbers",
        "empty",
        "negative",
        "400-digits",
        "underscore",
    ],
)
def test_load_is_decoded(load, expected):
    answer, _ = CODEC.decode_answer(200, [(b"x-server-load", load)], b"")
    assert answer.load == expected


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        pytest.param((b"1,0,2,100",), LoadReport(1, 0, 2, 100), id="usual"),
        pytest.param((b"1, 0, 2, 250 ",), LoadReport(1, 0, 2, 250), id="slow"),
        pytest.param((b"1,0,2,10000",), LoadReport(1, 0, 2, 10_000), id="largest"),
        pytest.param((b"1,0,2,10001",), LoadReport(1, 0, 2, is_odd=True), id="huge"),
        pytest.param((b"1,0,2," + b"9" * 400,), LoadReport(1, 0, 2, is_odd=True), id="long"),
        pytest.param((b"1,0,2,0",), LoadReport(1, 0, 2, is_odd=True), id="zero"),
        pytest.param((b"1,0,2,-5",), LoadReport(1, 0, 2, is_odd=True), id="negative"),
        pytest.param((b"1,0,2,",), LoadReport(1, 0, 2, is_odd=True), id="empty"),
        pytest.param((b"1,0,2,1e2",), LoadReport(1, 0, 2, is_odd=True), id="not a number"),
        pytest.param((b"1,0,2,100,100",), LoadReport(1, 0, 2, is_odd=True), id="repeated"),
        pytest.param(
            (b"1,0,2,100", b"2,0,2,100"), LoadReport(2, 0, 2, is_odd=True), id="two reports"
        ),
        pytest.param((b"1,0,2,100", b"2,0,2"), LoadReport(2, 0, 2), id="second without"),
        pytest.param((b"1,x,2,100",), None, id="another figure malformed"),
    ],
)
def test_time_of_work_is_decoded_or_left_out(values, expected):
    headers = [(b"x-server-load", value) for value in values]
    answer, _ = CODEC.decode_answer(200, headers, b"")
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
    ids=[
        "signed",
        "content-encoding",
        "stated-not-run",
        "unsigned-error",
        "misdirected",
        "signed-error",
    ],
)
def test_only_explicit_rejections_count_as_not_run(status, headers, not_run, signed):
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
    ids=["gathered", "overloaded", "outcome-unknown", "unknown-service", "request-refused"],
)
def test_replies_are_encoded(reply, status, headers):
    encoded = CODEC.encode_reply(reply)
    assert (encoded[0], dict(encoded[1])) == (status, headers)


def test_build_requirements_are_project_dependencies():
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    required = (ROOT / "requirements.txt").read_text().split()
    assert set(required) <= set(project["dependencies"])


def test_deploy_file_declares_the_metrics_port():
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    assert deploy["roles"]["relay"]["metrics"] == f"{METRICS_PORT}/metrics"


def test_protocol_names_occur_only_in_the_platform_package():
    names = ("X-Request-Id", "X-Deadline-Ms", "X-Response-Seal", "kv-range", "routeKind")
    for path in (ROOT / "mimosapost").rglob("*.py"):
        inside = {"tests", "platform"}.intersection(path.relative_to(ROOT).parts)
        text = "" if inside else path.read_text()
        assert not [name for name in names if name in text], path


@pytest.mark.parametrize(
    ("signal_number", "status"),
    [(signal.SIGHUP, 2), (signal.SIGTERM, 0)],
    ids=["sighup-ignored", "sigterm-exits"],
)
def test_signals_during_startup_do_not_kill_the_process(signal_number, status, tmp_path):
    """Without a handler either signal would kill the process while it imports its modules.

    It must ignore SIGHUP, and then exits with 2 because the settings file is empty. SIGTERM
    must end it with 0. The file is a FIFO that is written after the signal, so the process
    cannot end before it, however late this test runs.
    """
    settings_file = tmp_path / "settings"
    os.mkfifo(settings_file)
    environment = os.environ | {"MIMOSAPOST_CONFIG": str(settings_file)}
    with subprocess.Popen(
        [sys.executable, "-m", "mimosapost.platform"],
        env=environment,
        stderr=subprocess.DEVNULL,
    ) as process:
        handled = wait_for_handled_signals(process.pid, (signal.SIGHUP, signal.SIGTERM))
        process.send_signal(signal_number)
        close_empty(settings_file, process)
        assert process.wait(30) == status
        assert handled


def close_empty(fifo, process):
    """Let a process read an empty file from a FIFO, unless it ends before it opens it."""
    while process.poll() is None:
        try:
            os.close(os.open(fifo, os.O_WRONLY | os.O_NONBLOCK))
        except OSError as error:
            # No process has opened the FIFO yet.
            if error.errno != errno.ENXIO:
                raise
            time.sleep(0.01)
        else:
            return


def wait_for_handled_signals(process_id, signal_numbers):
    """Wait until a process ignores or catches all the signals.

    :returns: whether that happened before the process ended or the wait timed out.
    """
    expected_mask = sum(1 << (number - 1) for number in signal_numbers)
    for _ in range(10_000):
        status = Path(f"/proc/{process_id}/status").read_text()
        fields = dict(line.partition(":")[::2] for line in status.splitlines())
        if "SigIgn" not in fields or fields["State"].strip().startswith("Z"):
            return False
        handled_mask = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
        if handled_mask & expected_mask == expected_mask:
            return True
        time.sleep(0.001)
    return False


@pytest.mark.parametrize(("apply_limit_ms", "max_calls"), [(3_000, 16), (5_000, 11)])
def test_a_burst_of_changes_is_read_with_few_calls_and_in_time(apply_limit_ms, max_calls):
    """The platform charges for each call to the store, so a burst must not cause many calls.

    A past fault counted a pause as part of the preceding watch. A long pause then looked like
    the end of the burst, and the pauses became short again.
    """
    max_pause_seconds = apply_limit_ms / 3_000
    pause_seconds, pauses = 0.1, []
    while sum(pauses) < 13:
        pauses.append(pause_seconds)
        pause_seconds = get_next_pause(pause_seconds, 10_000, max_pause_seconds)
    assert len(pauses) <= max_calls
    assert max(pauses) <= apply_limit_ms / 2_000
    assert get_next_pause(pause_seconds, 2_000_000, max_pause_seconds) == 0.1


@pytest.mark.parametrize(
    ("method", "target", "host", "body", "is_same"),
    [
        pytest.param("POST", "/a", b"shop", b"x", True, id="another attempt"),
        pytest.param("POST", "/a", b"SHOP", b"x", True, id="case of the host"),
        pytest.param("POST", "/a", b"desk", b"x", False, id="another host"),
        pytest.param("POST", "/b", b"shop", b"x", False, id="another target"),
        pytest.param("PUT", "/a", b"shop", b"x", False, id="another method"),
        pytest.param("POST", "/a", b"shop", b"y", False, id="another body"),
    ],
)
def test_only_attempts_of_the_same_request_share_a_fingerprint(
    method, target, host, body, is_same
):
    def decode(number, method, target, host, body):
        headers = [(b"Host", host), (b"X-Request-Id", b"id-%d" % number)]
        return CODEC.decode_request(number, method, target, headers, body, 0)

    first = decode(1, "POST", "/a", b"shop", b"x")
    assert (decode(2, method, target, host, body).fingerprint == first.fingerprint) == is_same

"""Keys must not leave the process that read them, and a malformed one must cost only itself."""

from __future__ import annotations

import asyncio
import base64
import json

import pytest

from mimosapost.platform.http_codec import PlatformCodec
from mimosapost.platform.store_calls import CONFIG_KEY, Item, create_entry
from mimosapost.platform.store_entries import decode_catalog
from mimosapost.platform.tests.standins import create_config
from mimosapost.platform.tests.test_end_to_end import SERVICES, run_relay
from mimosapost.platform.workspace_entries import digest_key, seal_config
from mimosapost.relay.catalog import Workspace
from mimosapost.relay.effects import StartSend
from mimosapost.relay.messages import BackendServer

CODEC = PlatformCodec()
KEY = "2dm2buc7takhi73vr5y2"
OTHER_KEY = "dexhif8tt35uqhuz2f6r"


def create_workspace(name="library", keys=(KEY,), **changes):
    return {"name": name, "apiKeys": list(keys)} | changes


def encode(workspaces, **changes) -> bytes:
    return json.dumps(create_config(3, ["s0"], tenants=workspaces) | changes).encode()


def find(data, key=KEY):
    """Return the name of the workspace of a key, or ``None``."""
    workspace = decode_catalog(data).workspace_rules.by_digest.get(digest_key(key.encode()))
    return workspace and workspace.name


def test_a_workspace_is_decoded():
    fields = {"priority": 4, "ratePerS": 5, "burst": 2.5, "allowedRegions": ["north"]}
    catalog = decode_catalog(encode([create_workspace(keys=(KEY, OTHER_KEY), **fields)]))
    expected = Workspace("library", 4, 5.0, 2.5, frozenset({"north"}))
    assert catalog.workspaces == {"library": expected}
    assert len(catalog.workspace_rules.by_digest) == 2
    assert find(encode([create_workspace()]), KEY.upper()) is None


@pytest.mark.parametrize(
    ("workspaces", "kinds", "found"),
    [
        ([create_workspace("")], ["malformed_workspace"], {OTHER_KEY: "sound"}),
        ([create_workspace("a\r\nX-B: c")], ["malformed_workspace"], {OTHER_KEY: "sound"}),
        ([create_workspace("n" * 201)], ["malformed_workspace"], {OTHER_KEY: "sound"}),
        ([create_workspace(7)], ["malformed_workspace"], {OTHER_KEY: "sound"}),
        ([create_workspace(priority="1")], ["malformed_workspace"], {OTHER_KEY: "sound"}),
        ([create_workspace(ratePerS=-1)], ["malformed_workspace"], {OTHER_KEY: "sound"}),
        ([create_workspace(allowedRegions="north")], ["malformed_workspace"], {}),
        ([None, 5, [KEY]], ["malformed_workspace"] * 3, {OTHER_KEY: "sound"}),
        ([create_workspace(apiKeys=KEY)], ["malformed_key"], {OTHER_KEY: "sound"}),
        ([create_workspace(apiKeys=None)], [], {OTHER_KEY: "sound"}),
        ([create_workspace(keys=("", 5, "a b", KEY))], ["malformed_key"], {KEY: "library"}),
        ([create_workspace(keys=(KEY, KEY))], [], {KEY: "library"}),
        ([create_workspace(), create_workspace("b")], ["shared_key"], {KEY: None}),
        ([create_workspace(), create_workspace(keys=["x"])], ["repeated_name"], {"x": None}),
    ],
)
def test_what_is_malformed_costs_itself_alone(workspaces, kinds, found):
    data = encode([*workspaces, create_workspace("sound", [OTHER_KEY])])
    catalog = decode_catalog(data)
    assert [fault.kind for fault in catalog.workspace_rules.faults] == kinds
    assert {key: find(data, key) for key in found} == found
    assert "sound" in catalog.workspaces
    assert KEY not in repr(catalog)


@pytest.mark.parametrize(
    "value", [[], None, {}, 5, KEY], ids=["none", "null", "{}", "5", "key"]
)
def test_a_configuration_whose_workspaces_are_gone_still_asks_for_keys(value):
    assert decode_catalog(encode(value)).workspace_rules.by_digest == {}


def test_a_configuration_without_workspaces_asks_for_no_keys():
    catalog = decode_catalog(json.dumps(create_config(3, ["s0"])).encode())
    assert (catalog.workspace_rules, dict(catalog.workspaces)) == (None, {})


@pytest.mark.parametrize(
    ("data", "is_kept"),
    [
        pytest.param(encode([create_workspace()]), True, id="plain"),
        pytest.param(
            encode([create_workspace()]).replace(b"tenants", b"\\u0074enants"),
            True,
            id="escaped",
        ),
        pytest.param(encode([create_workspace()])[:-1], False, id="cut"),
        pytest.param(encode([create_workspace()]) + b"\xff", False, id="not-utf-8"),
        pytest.param(encode([create_workspace()], big=2**70), True, id="large-number"),
    ],
)
def test_entries_hold_digests_in_the_place_of_keys(data, is_kept):
    item = Item(CONFIG_KEY, 7, base64.b64encode(data).decode())
    value = create_entry(item).value
    assert KEY.encode() not in value
    assert bool(value) == is_kept
    if is_kept:
        assert seal_config(value) == value
        assert find(value) == "library"


@pytest.mark.parametrize(
    ("headers", "has_key"),
    [
        pytest.param([(b"X-Key", KEY)], True, id="plain"),
        pytest.param([(b"x-KEY", KEY)], True, id="letter-case"),
        pytest.param([(b"X-Key", KEY), (b"x-key", KEY)], False, id="twice"),
        pytest.param([(b"X-Key", "")], False, id="empty"),
        pytest.param(
            [(b"X-Tenant", "forged"), (b"x-tENANT", "forged")], False, id="name-twice"
        ),
        pytest.param([(b"Connection", "X-Key"), (b"X-Key", KEY)], True, id="as-option"),
    ],
)
def test_heads_hold_neither_key_nor_a_name_from_the_caller(headers, has_key):
    pairs = [(b"Host", b"h"), (b"X-Request-Id", b"id")]
    pairs += [(name, value.encode()) for name, value in headers]
    request = CODEC.decode_request(1, "GET", "/a", pairs, b"", 0)
    assert request.key_digest == (digest_key(KEY.encode()) if has_key else b"")
    server = BackendServer("i-1", "s", "1.2.3.4:5", "a", 2)
    for name in ("library", ""):
        data = CODEC.encode_send(StartSend(1, server, request, 9, 9, True, name), 0)
        assert KEY.encode() not in data
        assert b"forged" not in data
        lines = data.lower().split(b"\r\n")
        assert [line for line in lines if line.startswith(b"x-tenant")] == (
            [b"x-tenant: library"] if name else []
        )
    assert KEY not in repr(request)


def list_values(requests, name):
    return [value for request in requests for value in request.headers.getall(name, [])]


async def test_keys_change_on_an_open_connection_and_stay_without_the_store():
    """Versions that add, move and take keys away reach callers that are connected already."""
    async with run_relay() as relay:

        async def publish(version, workspaces):
            config = create_config(version, SERVICES, tenants=workspaces)
            config["routes"][1]["public"] = True
            await relay.store.put("op/config", config)
            await relay.wait_until(lambda state: state.catalog.version == version)

        async def ask(key, path="/search/q"):
            headers = {"X-Key": key, "X-Tenant": "forged", "x-tenant": "forged"}
            return (await relay.send_request(path, headers=headers)).status

        await publish(4, [create_workspace()])
        assert [await ask(key) for key in (KEY, OTHER_KEY, "")] == [200, 401, 401]
        assert await ask("", "/order/q") == 200
        await publish(5, [create_workspace(keys=()), create_workspace("b", (KEY, OTHER_KEY))])
        assert [await ask(key) for key in (KEY, OTHER_KEY)] == [200, 200]
        await publish(6, [create_workspace("b", [OTHER_KEY])])
        relay.store.mode = "busy"
        assert [await ask(key) for key in (KEY, OTHER_KEY)] == [401, 200]
        requests = [r for server in relay.servers.values() for r in server.requests]
        assert set(list_values(requests, "X-Tenant")) == {"library", "b"}
        assert not list_values(requests, "X-Key")
        for key in (KEY, OTHER_KEY):
            assert key not in relay.log.getvalue()
            assert key not in repr(relay.instance.state)


@pytest.mark.parametrize(
    "lines",
    [
        pytest.param(f"X-Key: {KEY}\0", id="control-character"),
        pytest.param(f"X-Key {KEY}", id="no-colon"),
        pytest.param(f" X-Key: {KEY}", id="continued-line"),
        pytest.param(f"X-Key: {KEY}\r\nX-Deadline-Ms: soon", id="deadline"),
        pytest.param(f"X-Key: {KEY * 500}", id="long"),
        pytest.param(
            f"Transfer-Encoding: chunked\r\n\r\n0\r\nX-Key: {KEY}\0", id="trailer-of-the-body"
        ),
        pytest.param(f"Transfer-Encoding: chunked\r\n\r\n{KEY}", id="in-place-of-a-chunk"),
    ],
)
async def test_a_malformed_request_does_not_bring_its_key_into_the_log(lines):
    async with run_relay() as relay:
        reader, writer = await asyncio.open_connection(
            *relay.instance.caller_address.split(":")
        )
        head = f"GET /search/q HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: a\r\n{lines}"
        writer.write(f"{head}\r\n\r\n".encode())
        assert b" 4" in await asyncio.wait_for(reader.readline(), 5)
        writer.close()
        assert "request_malformed" in relay.log.getvalue()
        assert KEY not in relay.log.getvalue()


async def test_headers_pass_where_the_configuration_has_no_workspaces():
    async with run_relay() as relay:
        await relay.send_request("/order/q", headers={"X-Key": KEY, "X-Tenant": "own"})
        requests = [r for server in relay.servers.values() for r in server.requests]
        assert list_values(requests, "X-Key") == [KEY]
        assert list_values(requests, "X-Tenant") == ["own"]

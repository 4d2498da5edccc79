"""Checks that an odd entry of another writer costs that entry alone.

An entry that ended the reader left the instance with an old list of servers, or without any.
"""

from __future__ import annotations

import json

import pytest

from mimosapost.platform.store_entries import EntryError, decode_catalog, decode_server
from mimosapost.platform.tests.standins import StandinServer, create_config
from mimosapost.platform.tests.test_end_to_end import SERVICES, run_relay

DEPTH = 100_000
ENTRY = StandinServer("odd", "s0", "a1").create_entry(address="10.1.0.9:80")


def create_text(**changes) -> bytes:
    """Return an entry as JSON, with values that are already JSON."""
    texts = {key: json.dumps(value) for key, value in ENTRY.items()} | changes
    return ("{" + ",".join(f'"{key}":{text}' for key, text in texts.items()) + "}").encode()


ODD_ENTRIES = {
    "nested deeply in an unknown field": create_text(note="[" * DEPTH + "]" * DEPTH),
    "nested deeply in a known field": create_text(slots='{"a":' * DEPTH + "1" + "}" * DEPTH),
    "nested deeply and cut off": create_text()[:-1] + b',"note":' + b"[" * DEPTH,
    "cold time beyond an integer": create_text(warmupLeftMs="1e308"),
    "cold time beyond a float": create_text(warmupLeftMs="1e400"),
    "cold time of years": create_text(warmupLeftMs="1e12"),
    "slots beyond a float": create_text(slots="1" + "0" * 400),
    "slots of many digits": create_text(slots=str(10**30)),
    "slots of 63 bits": create_text(slots=str(2**62)),
    "start of many digits": create_text(born=str(10**30)),
    "start below 0": create_text(born="-1"),
    "start of 6,000 digits": create_text(born="9" * 6_000),
    "port 0": create_text(address='"10.1.0.9:0"'),
    "port out of range": create_text(address='"10.1.0.9:99999"'),
    "port of 5,000 digits": create_text(address=json.dumps("10.1.0.9:" + "8" * 5_000)),
    "port with another digit": create_text(address='"10.1.0.9:\\u00b2"'),
    "port with an underscore": create_text(address='"10.1.0.9:8_0"'),
    "host with spaces": create_text(address='"10.1. 0.9:80"'),
    "host of 100,000 characters": create_text(address=json.dumps("a" * DEPTH + ":80")),
    "an array": b"[1]",
    "no JSON": b"\xff\xfe",
}


@pytest.mark.parametrize("data", ODD_ENTRIES.values(), ids=ODD_ENTRIES.keys())
def test_an_odd_entry_names_no_server(data):
    with pytest.raises(EntryError) as caught:
        decode_server("odd", data)
    assert len(str(caught.value)) < 400


@pytest.mark.parametrize("server_id", ["", "i-1\r\nHost: x", "i 1", "\u00e9", "i" * 201])
def test_an_id_that_fits_into_no_header_names_no_server(server_id):
    with pytest.raises(EntryError):
        decode_server(server_id, create_text())


def test_the_same_entry_without_oddities_names_a_server():
    assert decode_server("odd", create_text()).address == "10.1.0.9:80"


@pytest.mark.parametrize("is_listed", [True, False], ids=["first list", "change"])
async def test_odd_entries_do_not_keep_the_others_from_being_followed(is_listed):
    async def put_odd_entries(store):
        for number, data in enumerate(ODD_ENTRIES.values()):
            await store.put(f"servers/odd-{number}", data)

    async def prepare(store, _servers):
        if is_listed:
            await put_odd_entries(store)

    async with run_relay(prepare) as relay:
        if not is_listed:
            await put_odd_entries(relay.store)
        drained = relay.servers["s0-a1"]
        await relay.store.put("servers/s0-a1", drained.create_entry(state="draining"))
        await relay.wait_until(lambda state: state.servers["s0-a1"].server.draining)
        assert (await relay.send_request("/search/x")).status == 200
        assert sorted(relay.instance.state.servers) == sorted(relay.servers)
        assert relay.log.getvalue().count('event="entry_ignored"') == len(ODD_ENTRIES)
        counter = "mimosapost_relay_odd_entries_total"
        assert counter in relay.instance.metrics.render([])[0].decode()


ODD_CONFIGS = {
    "nested deeply": lambda c: c | {"note": "NESTED"},
    "version beyond 53 bits": lambda c: c | {"version": 2**70},
    "timeout of many digits": lambda c: change_route(c, timeoutMs=10**30),
    "goal below 0": lambda c: change_route(c, goalMs=-1),
    "weight beyond a float": lambda c: change_route(
        c, split=[{"service": "s0", "weight": 10**400}]
    ),
    "connections of many digits": lambda c: (
        c | {"services": [{"name": "s0", "maxConns": 10**30}]}
    ),
    "cold limit next to 0": lambda c: (
        c | {"services": [{"name": "s0", "maxConns": 9, "warmupPerS": 1e-320}]}
    ),
}


def change_route(config, **changes):
    """Return a configuration whose first route has other fields."""
    first, *others = config["routes"]
    return config | {"routes": [first | changes, *others]}


@pytest.mark.parametrize("change", ODD_CONFIGS.values(), ids=ODD_CONFIGS.keys())
def test_an_odd_configuration_is_refused(change):
    text = json.dumps(change(create_config(4, SERVICES)))
    data = text.replace('"NESTED"', "[" * DEPTH + "]" * DEPTH).encode()
    with pytest.raises(EntryError):
        decode_catalog(data)


async def test_after_an_odd_configuration_the_last_good_one_stays():
    async with run_relay() as relay:
        text = json.dumps(create_config(4, SERVICES) | {"note": "NESTED"})
        data = text.replace('"NESTED"', "[" * DEPTH + "]" * DEPTH).encode()
        await relay.store.put("op/config", data)
        await relay.store.put("op/config", create_config(5, SERVICES))
        await relay.wait_until(lambda state: state.catalog.version == 5)
        assert (await relay.send_request("/search/x")).status == 200


def change_service(config, **changes):
    """Return a configuration whose first service has other fields."""
    first, *others = config["services"]
    return config | {"services": [first | changes, *others]}


UNUSED_FIELDS = {
    "largest number of records": (change_route, {"topK": None}),
    "coverage": (change_route, {"minCoverage": None}),
    "service": (change_route, {"service": None}),
    "split": (change_route, {"split": None}),
    "regions": (change_route, {"allowedRegions": None}),
    "public": (change_route, {"public": None}),
    "public of another type": (change_route, {"public": ""}),
    "public as a number": (change_route, {"public": 1}),
    "cold limit": (change_service, {"warmupPerS": None}),
    "limits": (lambda config, **changes: config | changes, {"limits": None}),
    "one of the limits": (
        lambda config, **changes: config | {"limits": config["limits"] | changes},
        {"maxBodyBytes": None},
    ),
}


@pytest.mark.parametrize(("change", "fields"), UNUSED_FIELDS.values(), ids=UNUSED_FIELDS.keys())
def test_a_field_without_a_value_does_not_cost_the_whole_configuration(change, fields):
    """A refused version would keep all of its other changes out of force."""
    config = create_config(4, SERVICES)
    catalog = decode_catalog(json.dumps(change(config, **fields)).encode())
    assert catalog.version == 4
    assert catalog.find_route("shop.example", "/order/x").split == ((SERVICES[0], 1.0),)
    route = catalog.find_route("shop.example", "/search/x")
    assert route.shards == tuple(SERVICES)
    assert not route.is_public

"""Local settings of one instance and the rules that apply to them."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from dataclasses import MISSING, dataclass, fields
from typing import Annotated, ClassVar, Literal
from urllib.parse import urlsplit

from pydantic import ConfigDict, Field
from returns.result import Result

from mimosapost.model.published_settings import Address, Name
from mimosapost.settings.faults import Fault, create_fault
from mimosapost.settings.rules import (
    Document,
    check_address,
    find_duplicates,
    is_ipv4_address,
    is_number,
    list_strings,
    rule,
)
from mimosapost.settings.validation import check_document

__all__ = ["LocalSettings", "check_local_settings"]

Url = Annotated[str, Field(pattern=r"^https?://[!-~]{1,500}$")]


@dataclass(frozen=True, slots=True)
class LocalSettings:
    """Settings that an instance reads from its local file when it starts."""

    __pydantic_config__: ClassVar[ConfigDict] = ConfigDict(extra="forbid", strict=True)
    name: Annotated[Name, Field(description="name of the instance, unique in the deployment")]
    seat: Annotated[
        int,
        Field(
            ge=0, le=9_999, description="fixed number of the instance, below instance_ceiling"
        ),
    ]
    domain: Annotated[Name, Field(description="failure domain that the instance runs in")]
    region: Annotated[Name, Field(description="region of the failure domain")]
    caller_address: Annotated[
        Address, Field(description="address on which the instance serves callers")
    ]
    peer_address: Annotated[
        Address,
        Field(description="address on which the instance accepts links from other instances"),
    ]
    operator_address: Annotated[
        Address, Field(description="address of the metrics and status pages")
    ]
    config_url: Annotated[Url, Field(description="base URL of the configuration service")]
    instances_url: Annotated[Url, Field(description="base URL of the platform's instance list")]
    seed_peers: Annotated[
        tuple[Address, ...],
        Field(
            max_length=64,
            description="peer addresses to contact at start, before the instance list is read",
        ),
    ] = ()
    # The default equals the longest time in which peers and the load balancer learn that an
    # instance is leaving, 3 s (invariant 8 of the design page).
    drain_seconds: Annotated[
        float,
        Field(
            ge=0,
            le=600,
            description="seconds after a stop request in which the instance still serves, "
            "marked as leaving",
        ),
    ] = 3.0
    # The longest deadline of a request is 60 s. Requests accepted during the drain of 3 s
    # therefore end within 3 s + 60 s, before this deadline.
    stop_deadline_seconds: Annotated[
        float,
        Field(
            ge=0,
            le=3_600,
            description="maximum seconds from the stop request until the instance has stopped",
        ),
    ] = 65.0
    # Heartbeats are sent every 500 ms. A lease shorter than the minimum would lapse between two
    # heartbeats.
    lease_ms: Annotated[
        int,
        Field(
            ge=600,
            le=60_000,
            description="milliseconds for which an acknowledged heartbeat extends the lease",
        ),
    ] = 1_000
    trace_export: Annotated[
        str,
        Field(
            pattern=r"^(none|fd:[0-9]{1,4})$",
            description="output of trace spans: none, or fd:NUMBER for an open file descriptor",
        ),
    ] = "none"
    log_level: Annotated[
        Literal["debug", "info", "warning", "error"],
        Field(description="lowest level of log lines that are written"),
    ] = "info"
    # The entries have no ports, because the source port of an incoming connection is arbitrary.
    known_peers: Annotated[
        tuple[str, ...] | None,
        Field(
            max_length=10_000,
            description="IP addresses that may open peer links; null allows the addresses of "
            "the instance list and of seed_peers",
        ),
    ] = None


_DEFAULTS = {
    field.name: field.default for field in fields(LocalSettings) if field.default is not MISSING
}


@rule("local")
def own_addresses_are_valid(document: Document, _: Collection[str]) -> Iterator[Fault]:
    """Require IPv4 addresses and ports of 1 to 65535 for own addresses and ``seed_peers``."""
    for key in ("caller_address", "peer_address", "operator_address"):
        yield from check_address(document.get(key), (key,))
    for location, text in list_strings(document, "seed_peers"):
        yield from check_address(text, location)


@rule("local")
def own_addresses_differ(document: Document, _: Collection[str]) -> Iterator[Fault]:
    """Require different addresses for callers, peers and operators."""
    keys = ("caller_address", "peer_address", "operator_address")
    values = [((key,), document.get(key)) for key in keys]
    addresses = [(location, text) for location, text in values if isinstance(text, str)]
    yield from find_duplicates(addresses, "address of this instance")


@rule("local")
def known_peers_are_addresses(document: Document, _: Collection[str]) -> Iterator[Fault]:
    """Require IPv4 addresses without a port in ``known_peers``."""
    for location, text in list_strings(document, "known_peers"):
        if not is_ipv4_address(text):
            yield create_fault(location, text, "an IPv4 address without a port")


@rule("local")
def urls_name_an_address(document: Document, _: Collection[str]) -> Iterator[Fault]:
    """Require URLs with an IPv4 address as host and without user name or password."""
    for key in ("config_url", "instances_url"):
        text = document.get(key)
        if not isinstance(text, str) or "://" not in text:
            continue
        try:
            url = urlsplit(text)
            valid = (
                is_ipv4_address(url.hostname or "") and url.port != 0 and "@" not in url.netloc
            )
        except ValueError:
            valid = False
        if not valid:
            expected = "a URL with an IPv4 address as host and without credentials"
            yield create_fault((key,), text, expected)


@rule("local")
def drain_ends_before_stop(document: Document, _: Collection[str]) -> Iterator[Fault]:
    """Require a ``drain_seconds`` of at most ``stop_deadline_seconds``."""
    drain, stop = (
        document.get(key, _DEFAULTS[key]) for key in ("drain_seconds", "stop_deadline_seconds")
    )
    if is_number(drain) and is_number(stop) and drain > stop:
        expected = f"at most stop_deadline_seconds ({stop})"
        yield create_fault(("drain_seconds",), drain, expected)


def check_local_settings(text: bytes) -> Result[LocalSettings, tuple[Fault, ...]]:
    """Check the local settings of an instance.

    :param text: UTF-8 JSON text.
    :returns: the settings, or all faults.

    An empty document lacks the 9 required settings:

    >>> len(check_local_settings(b"{}").failure())
    9
    """
    return check_document("local", LocalSettings, text)

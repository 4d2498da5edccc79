"""Local settings of one instance."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from dataclasses import MISSING, dataclass, fields
from typing import Annotated, ClassVar, Literal
from urllib.parse import urlsplit

from pydantic import ConfigDict, Field
from returns.result import Result

from mimosapost.model.published_settings import Address, Name
from mimosapost.settings.checking import check_document
from mimosapost.settings.faults import Fault, create_fault
from mimosapost.settings.rules import (
    Document,
    check_address,
    find_repeated,
    is_ip,
    is_number,
    list_texts,
    rule,
)

__all__ = ["LocalSettings", "check_local"]

Url = Annotated[str, Field(pattern=r"^https?://[!-~]{1,500}$")]


@dataclass(frozen=True, slots=True)
class LocalSettings:
    """Settings that one instance reads from its file at start."""

    __pydantic_config__: ClassVar[ConfigDict] = ConfigDict(extra="forbid", strict=True)
    name: Annotated[Name, Field(description="name of the instance, unique in the deployment")]
    seat: Annotated[
        int,
        Field(ge=0, le=9_999, description="fixed number of the instance, below the ceiling"),
    ]
    domain: Annotated[Name, Field(description="failure domain that the instance runs in")]
    region: Annotated[Name, Field(description="region of that failure domain")]
    caller_address: Annotated[Address, Field(description="where callers are served")]
    peer_address: Annotated[Address, Field(description="where other instances connect")]
    operator_address: Annotated[Address, Field(description="metrics and status pages")]
    config_url: Annotated[Url, Field(description="base URL of the config service")]
    instances_url: Annotated[Url, Field(description="base URL of the platform's instance list")]
    seed_peers: Annotated[
        tuple[Address, ...],
        Field(max_length=64, description="instances asked at start, before the list is read"),
    ] = ()
    # Peers and load balancer learn of a leaving instance within 3 s (invariant 8).
    drain_seconds: Annotated[
        float,
        Field(
            ge=0, le=600, description="time of serving on after a stop request, marked leaving"
        ),
    ] = 3.0
    # The longest deadline of a request is 60 s, so no request outlives 3 s + 60 s.
    stop_deadline_seconds: Annotated[
        float,
        Field(
            ge=0, le=3_600, description="time from the stop request to the end at the latest"
        ),
    ] = 65.0
    # Heartbeats are sent every 500 ms; a shorter lease would lapse between two of them.
    lease_ms: Annotated[
        int, Field(ge=600, le=60_000, description="time that an acknowledged heartbeat holds")
    ] = 1_000
    trace_export: Annotated[
        str,
        Field(
            pattern=r"^(none|fd:[0-9]{1,4})$",
            description="where spans go: none, or fd:NUMBER (open file descriptor)",
        ),
    ] = "none"
    log_level: Annotated[
        Literal["debug", "info", "warning", "error"],
        Field(description="lowest level of the log lines that are written"),
    ] = "info"
    # Without ports, because the source port of an incoming connection is arbitrary.
    known_peers: Annotated[
        tuple[str, ...] | None,
        Field(
            max_length=10_000,
            description="IP addresses that may open peer links; null: those of the instance "
            "list and the seed peers",
        ),
    ] = None


_DEFAULTS = {
    field.name: field.default for field in fields(LocalSettings) if field.default is not MISSING
}


@rule("local")
def own_addresses_are_valid(document: Document, _: Collection[str]) -> Iterator[Fault]:
    """Require IPv4 addresses and ports of 1 to 65535 for own addresses and seed peers."""
    for key in ("caller_address", "peer_address", "operator_address"):
        yield from check_address(document.get(key), (key,))
    for location, text in list_texts(document, "seed_peers"):
        yield from check_address(text, location)


@rule("local")
def own_addresses_differ(document: Document, _: Collection[str]) -> Iterator[Fault]:
    """Require different addresses for callers, peers and operators."""
    keys = ("caller_address", "peer_address", "operator_address")
    named = [((key,), document.get(key)) for key in keys]
    texts = [(location, text) for location, text in named if isinstance(text, str)]
    yield from find_repeated(texts, "address of this instance")


@rule("local")
def known_peers_are_addresses(document: Document, _: Collection[str]) -> Iterator[Fault]:
    """Require IPv4 addresses without a port for known peers."""
    for location, text in list_texts(document, "known_peers"):
        if not is_ip(text):
            yield create_fault(location, text, "an IPv4 address without a port")


@rule("local")
def urls_name_an_address(document: Document, _: Collection[str]) -> Iterator[Fault]:
    """Require URLs with an IPv4 address as host and without user name or password."""
    for key in ("config_url", "instances_url"):
        text = document.get(key)
        if not isinstance(text, str) or "://" not in text:
            continue
        try:
            parts = urlsplit(text)
            valid = is_ip(parts.hostname or "") and parts.port != 0 and "@" not in parts.netloc
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


def check_local(text: bytes) -> Result[LocalSettings, tuple[Fault, ...]]:
    """Check the local settings of an instance.

    :param text: UTF-8 JSON text.
    :returns: the settings, or every fault.

    >>> len(check_local(b"{}").failure())
    9
    """
    return check_document("local", LocalSettings, text)

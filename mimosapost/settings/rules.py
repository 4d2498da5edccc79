"""Registry of rules that involve several settings of one document.

Rules read the decoded JSON and ignore values of the wrong type, because the type check reports
those. One check therefore reports type faults and broken rules together.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from dataclasses import MISSING, dataclass, fields
from typing import Any

from mimosapost.model.published_settings import ServiceSettings
from mimosapost.settings.faults import Fault, create_fault

__all__ = [
    "DEFAULT_MERGES",
    "FLEET_SUBTREE",
    "Document",
    "Location",
    "Rule",
    "apply_rules",
    "check_address",
    "find_duplicates",
    "get_rules",
    "is_ipv4_address",
    "is_number",
    "list_strings",
    "rule",
]

DEFAULT_MERGES = ("concat", "sum", "top_k")
FLEET_SUBTREE = "fleet"

Document = Mapping[str, Any]
Location = tuple[str | int, ...]
RuleFunction = Callable[[Document, Collection[str]], Iterator[Fault]]

_RULES: dict[str, list[Rule]] = {"team": [], "fleet": [], "local": []}
_SERVICE_DEFAULTS = {
    field.name: field.default
    for field in fields(ServiceSettings)
    if field.default is not MISSING
}


@dataclass(frozen=True, slots=True)
class Rule:
    """A registered rule, stated by the first line of its function's docstring.

    :param name: name of the function.
    :param function: yields a fault for each violation in a document.
    """

    name: str
    function: RuleFunction

    @property
    def statement(self) -> str:
        """The requirement of the rule in one sentence."""
        return (self.function.__doc__ or "").strip().splitlines()[0]


def rule(kind: str) -> Callable[[RuleFunction], RuleFunction]:
    """Register a rule for one kind of document.

    :param kind: kind of document: ``team``, ``fleet`` or ``local``.
    :returns: a decorator that returns its function unchanged.
    """

    def register(function: RuleFunction) -> RuleFunction:
        _RULES[kind].append(Rule(function.__name__, function))
        return function

    return register


def get_rules(kind: str) -> tuple[Rule, ...]:
    """Return the rules for one kind of document in order of registration.

    :param kind: kind of document: ``team``, ``fleet`` or ``local``.
    :returns: the rules.
    """
    return tuple(_RULES[kind])


def apply_rules(kind: str, document: Any, merges: Collection[str]) -> tuple[Fault, ...]:
    """Return a fault for each violation of a rule in a decoded document.

    :param kind: kind of document: ``team``, ``fleet`` or ``local``.
    :param document: decoded JSON; a value other than an object violates no rule.
    :param merges: names of the registered merge functions.
    :returns: the faults in order of the rules.
    """
    if not isinstance(document, dict):
        return ()
    return tuple(
        f for registered in _RULES[kind] for f in registered.function(document, merges)
    )


@rule("team")
def team_name_is_free(document: Document, _: Collection[str]) -> Iterator[Fault]:
    """Require a team name other than ``fleet``, the name of the subtree for all teams."""
    if document.get("team") == FLEET_SUBTREE:
        yield create_fault(
            ("team",), FLEET_SUBTREE, f"a name other than {FLEET_SUBTREE}, which is reserved"
        )


@rule("team")
def services_are_unique(document: Document, _: Collection[str]) -> Iterator[Fault]:
    """Require unique service names within a team."""
    yield from find_duplicates(
        _list_member_names(document, ("services",)), "service of this team"
    )


@rule("team")
def leafs_are_unique(document: Document, _: Collection[str]) -> Iterator[Fault]:
    """Require unique leaf names within a service."""
    for location, service in _list_objects(document, ("services",)):
        yield from find_duplicates(
            _list_member_names(service, ("leafs",), location), "leaf of this service"
        )


@rule("team")
def slots_are_unique(document: Document, _: Collection[str]) -> Iterator[Fault]:
    """Require unique slot names within a leaf."""
    for location, leaf in _list_objects(document, ("services", "leafs")):
        yield from find_duplicates(
            _list_member_names(leaf, ("slots",), location), "slot of this leaf"
        )


@rule("team")
def callers_are_unique(document: Document, _: Collection[str]) -> Iterator[Fault]:
    """Require unique caller names within a team."""
    yield from find_duplicates(
        _list_member_names(document, ("callers",)), "caller of this team"
    )


@rule("team")
def caller_services_exist(document: Document, _: Collection[str]) -> Iterator[Fault]:
    """Require that the services of a caller belong to the same team."""
    known = {name for _, name in _list_member_names(document, ("services",))}
    for location, caller in _list_objects(document, ("callers",)):
        for index, name in enumerate(_get_list(caller, "services")):
            if isinstance(name, str) and name not in known:
                path = (*location, "services", index)
                yield create_fault(path, name, "a service of this team")


@rule("team")
def cold_limit_within_connections(document: Document, _: Collection[str]) -> Iterator[Fault]:
    """Require a ``cold_limit`` of at most ``connections``."""
    for location, service in _list_objects(document, ("services",)):
        cold = service.get("cold_limit", _SERVICE_DEFAULTS["cold_limit"])
        connections = service.get("connections", _SERVICE_DEFAULTS["connections"])
        if _is_int(cold) and _is_int(connections) and cold > connections:
            expected = f"at most the connections of a server ({connections})"
            yield create_fault((*location, "cold_limit"), cold, expected)


@rule("team")
def merge_is_registered(document: Document, merges: Collection[str]) -> Iterator[Fault]:
    """Require the name of a registered merge function (``concat``, ``sum``, ``top_k``)."""
    for location, service in _list_objects(document, ("services",)):
        merge = service.get("merge", _SERVICE_DEFAULTS["merge"])
        if isinstance(merge, str) and merge not in merges:
            expected = f"one of {', '.join(sorted(merges))}"
            yield create_fault((*location, "merge"), merge, expected)


@rule("team")
def servers_are_addresses(document: Document, _: Collection[str]) -> Iterator[Fault]:
    """Require an IPv4 address and a port of 1 to 65535 for each backend server."""
    for location, slot in _list_objects(document, ("services", "leafs", "slots")):
        yield from check_address(slot.get("server"), (*location, "server"))


@rule("fleet")
def teams_are_unique(document: Document, _: Collection[str]) -> Iterator[Fault]:
    """Require unique team names."""
    yield from find_duplicates(list_strings(document, "teams"), "team of the fleet")


@rule("fleet")
def team_names_are_free(document: Document, _: Collection[str]) -> Iterator[Fault]:
    """Require team names other than ``fleet``."""
    for location, name in list_strings(document, "teams"):
        if name == FLEET_SUBTREE:
            yield create_fault(
                location, name, f"a name other than {FLEET_SUBTREE}, which is reserved"
            )


def _get_list(parent: Document, key: str) -> list[Any]:
    value = parent.get(key)
    return value if isinstance(value, list) else []


def _list_objects(
    parent: Document, keys: tuple[str, ...], base: Location = ()
) -> Iterator[tuple[Location, Document]]:
    for index, member in enumerate(_get_list(parent, keys[0])):
        if isinstance(member, dict):
            location = (*base, keys[0], index)
            if len(keys) == 1:
                yield location, member
            else:
                yield from _list_objects(member, keys[1:], location)


def _list_member_names(
    parent: Document, keys: tuple[str, ...], base: Location = ()
) -> Iterator[tuple[Location, str]]:
    for location, member in _list_objects(parent, keys, base):
        if isinstance(member.get("name"), str):
            yield (*location, "name"), member["name"]


def list_strings(parent: Document, key: str) -> Iterator[tuple[Location, str]]:
    """Yield the location and value of each string in a list of a document.

    :param parent: object that holds the list.
    :param key: key of the list.
    """
    for index, member in enumerate(_get_list(parent, key)):
        if isinstance(member, str):
            yield (key, index), member


def find_duplicates(
    located_names: Iterable[tuple[Location, str]], object_kind: str
) -> Iterator[Fault]:
    """Yield a fault for each name that repeats an earlier one.

    :param located_names: pairs of location and name.
    :param object_kind: kind of the named objects, used in the fault's ``expected`` text.
    """
    seen: set[str] = set()
    for location, name in located_names:
        if name in seen:
            yield create_fault(location, name, f"a name that no other {object_kind} has")
        seen.add(name)


def check_address(value: Any, location: Location) -> Iterator[Fault]:
    """Yield a fault unless a string is an IPv4 address with a port.

    :param value: decoded JSON; a value other than a string is ignored.
    :param location: keys and list indexes from the root of the document to the value.
    """
    if not isinstance(value, str):
        return
    host, _, port = value.rpartition(":")
    # isdecimal() also accepts digits of other scripts, and so does the pattern of the type;
    # isascii() rules them out.
    valid = port.isascii() and port.isdecimal() and 1 <= int(port[:6]) <= 65535
    if not valid or not is_ipv4_address(host):
        yield create_fault(location, value, "ip:port, an IPv4 address and a port of 1 to 65535")


def is_ipv4_address(text: str) -> bool:
    """Return whether a string is an IPv4 address."""
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def _is_int(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def is_number(value: Any) -> bool:
    """Return whether a decoded JSON value is a number."""
    return isinstance(value, (int, float)) and not isinstance(value, bool)

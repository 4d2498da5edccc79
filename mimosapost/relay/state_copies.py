"""Copies of the state, on which a decision can be tried without changing anything.

Load pattern: operators ask an instance under load where a request would go. The decision draws
random numbers, takes tokens and opens sends, so it runs on a copy. The copy must not cost the
requests of that moment time: what admission only reads is shared.
"""

from __future__ import annotations

import copy
from dataclasses import fields
from typing import Any

from mimosapost.core.timers import Timers
from mimosapost.relay.messages import BackendServer, LoadReport
from mimosapost.relay.server_selection import ServerRecord
from mimosapost.relay.server_signals import ServerSignals
from mimosapost.relay.state import RelayState

__all__ = ["copy_state"]

# Fields that admission only reads, or whose entries it only reads.
_READ = frozenset(
    (
        "instance_settings",
        "catalog",
        "suspects",
        "feed",
        "rewound",
        "unanswered",
        "leaving_checks",
        "dropped_signals",
    )
)
_READ_ENTRIES = frozenset(
    (
        "pools",
        "requests",
        "held_requests",
        "sends",
        "gathers",
        "served_gathers",
        "trials",
        "trial_permits",
        "held_parts",
        "parts_to_retry",
        "hedges_due",
        "unsent_parts",
    )
)
# Fields of a server whose entries never change.
_FLAT = frozenset(("open_sends",))
_RECORD_NAMES = tuple(field.name for field in fields(ServerRecord))
# Types whose values never change.
_IMMUTABLE = (
    int,
    float,
    str,
    bytes,
    frozenset,
    type(None),
    BackendServer,
    LoadReport,
    ServerSignals,
)


def copy_state(state: RelayState) -> RelayState:
    """Return a copy of the state for the admission of one request.

    Fields that are not known to be only read are copied completely.
    """
    memo = {id(value): value for value in _list_shared(state)}
    memo |= {id(record): _copy_record(record) for record in state.servers.values()}
    return RelayState(**{f.name: _copy_field(state, f.name, memo) for f in fields(state)})


def _list_shared(state: RelayState) -> list[Any]:
    """Return objects that copied fields refer to, and that admission does not change."""
    shared = [getattr(state, name) for name in _READ]
    shared += state.requests.values()
    if state.catalog is not None:
        shared += [route for routes in state.catalog.hosts.values() for route in routes]
        shared.append(state.catalog.workspace_rules)
    if state.peers is not None:
        shared += [state.peers.own, state.peers.regions, state.peers.members]
    return shared


def _copy_field(state: RelayState, name: str, memo: dict[int, Any]) -> Any:
    value = getattr(state, name)
    if name in _READ:
        return value
    if name in _READ_ENTRIES:
        return copy.copy(value)
    if name == "waiting":
        return {service: list(queue) for service, queue in value.items()}
    if name == "timers":
        # The timers of a tried decision never fire.
        return Timers()
    return copy.deepcopy(value, memo)


def _copy_record(record: ServerRecord) -> ServerRecord:
    values = [_copy_value(name, getattr(record, name)) for name in _RECORD_NAMES]
    return ServerRecord(*values)


def _copy_value(name: str, value: Any) -> Any:
    if isinstance(value, _IMMUTABLE):
        return value
    return copy.copy(value) if name in _FLAT else copy.deepcopy(value)

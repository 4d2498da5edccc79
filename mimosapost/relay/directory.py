"""What the instance believes of configuration, servers and failure domains."""

from __future__ import annotations

from mimosapost.model.effects import Count, WriteLog
from mimosapost.relay.effects import ForgetServer
from mimosapost.relay.events import (
    CatalogRead,
    DomainsOut,
    ServerListed,
    ServersReplaced,
    ServerUnlisted,
    SourceLost,
    SourceRegained,
)
from mimosapost.relay.exchanges import BackendServer
from mimosapost.relay.latencies import get_distance
from mimosapost.relay.placement import ServerRecord
from mimosapost.relay.registry import Effects, TimerKind, fires, handles
from mimosapost.relay.state import RelayState

__all__ = ["is_usable"]

# Entries that lapsed while the source was away are written again within about two seconds of
# its return; a server that is listed no more after that is gone.
RELIST_US = 2_200_000


@handles(CatalogRead)
def put_in_force(state: RelayState, event: CatalogRead, effects: Effects) -> None:
    """Put a version in force, unless the one in force is as new."""
    current = state.catalog
    if current is not None and event.catalog.version <= current.version:
        return
    state.catalog = event.catalog
    names = {route.name for routes in event.catalog.hosts.values() for route in routes}
    for table in (state.pools, state.turns):
        for name in [name for name in table if name not in names]:
            del table[name]
    before = current.version if current is not None else 0
    fields = (("version", event.catalog.version), ("before", before), ("routes", len(names)))
    effects.append(WriteLog("catalog_in_force", fields))


@handles(ServersReplaced)
def replace_servers(state: RelayState, event: ServersReplaced, effects: Effects) -> None:
    """Take over a whole list; servers that are not in it may be about to be listed again."""
    state.listed = True
    listed = {server.server_id for server in event.servers}
    for server in event.servers:
        _put_server(state, server, event.now_us, effects)
    for server_id in [name for name in state.servers if name not in listed]:
        _unlist(state, server_id, "not_in_list", event.now_us, effects)


@handles(ServerListed)
def list_server(state: RelayState, event: ServerListed, effects: Effects) -> None:
    """Add or change one server."""
    _put_server(state, event.server, event.now_us, effects)


@handles(ServerUnlisted)
def unlist_server(state: RelayState, event: ServerUnlisted, effects: Effects) -> None:
    """Remove one server."""
    if event.server_id in state.servers:
        _unlist(state, event.server_id, event.reason, event.now_us, effects)


@handles(DomainsOut)
def set_domains_out(state: RelayState, event: DomainsOut, effects: Effects) -> None:
    """Stop or resume sends to the servers of failure domains."""
    if event.domains != state.domains_out:
        state.domains_out = event.domains
        fields = (("domains", ",".join(sorted(event.domains))),)
        effects.append(WriteLog("domains_out", fields))


@handles(SourceLost)
def lose_source(state: RelayState, event: SourceLost, effects: Effects) -> None:
    """Go on with what is known."""
    if not state.source_lost_us:
        state.source_lost_us = event.now_us
        effects.append(WriteLog("source_lost", (("reason", event.reason),)))


@handles(SourceRegained)
def regain_source(state: RelayState, event: SourceRegained, effects: Effects) -> None:
    """Remember when entries may be missing only because the source was away."""
    if state.source_lost_us:
        lost_ms = (event.now_us - state.source_lost_us) // 1_000
        state.source_lost_us = 0
        state.source_regained_us = event.now_us
        effects.append(WriteLog("source_regained", (("lost_ms", lost_ms),)))


def _put_server(
    state: RelayState, server: BackendServer, now_us: int, effects: Effects
) -> None:
    record = state.servers.get(server.server_id)
    place = state.place
    if record is not None and record.server.born_ms != server.born_ms:
        # Another run of the server: nothing seen of the earlier one holds.
        _drop(state, server.server_id, "restarted", effects)
        record = None
    if record is None:
        region = place.regions.get(server.domain, "")
        distance = get_distance(place.domain, place.region, server.domain, region)
        record = ServerRecord(server, distance, region)
        state.servers[server.server_id] = record
        state.by_service.setdefault(server.service, []).append(record)
        _log_server(effects, "server_listed", server, "new")
    elif record.server.service != server.service:
        _drop(state, server.server_id, "moved", effects)
        _put_server(state, server, now_us, effects)
        return
    elif record.server != server:
        if record.server.draining != server.draining:
            _log_server(effects, "server_listed", server, "state_changed")
        record.server = server
    record.misdirected = False
    if server.cold_for_us:
        record.cold_until_us = now_us + server.cold_for_us
    state.unlisting = {
        key: name for key, name in state.unlisting.items() if name != server.server_id
    }
    state.dirty.add(server.service)


def _unlist(
    state: RelayState, server_id: str, reason: str, now_us: int, effects: Effects
) -> None:
    # A list that was read while the source is lost is the first sign of its return.
    regained_us = now_us if state.source_lost_us else state.source_regained_us
    due_us = regained_us + RELIST_US
    away = state.source_lost_us or (state.source_regained_us and now_us < due_us)
    if not away or state.servers[server_id].server.draining:
        _drop(state, server_id, reason, effects)
        return
    if server_id not in state.unlisting.values():
        key, state.next_key = state.next_key, state.next_key + 1
        state.unlisting[key] = server_id
        state.timers.add(due_us, TimerKind.UNLIST, key)


@fires(TimerKind.UNLIST)
def drop_unlisted(state: RelayState, key: int, now_us: int, effects: Effects) -> None:
    """Drop a server that was not listed again after the source returned."""
    server_id = state.unlisting.pop(key, "")
    if server_id not in state.servers:
        return
    if state.source_lost_us:
        state.unlisting[key] = server_id
        state.timers.add(now_us + RELIST_US, TimerKind.UNLIST, key)
        return
    _drop(state, server_id, "not_listed_again", effects)


def _drop(state: RelayState, server_id: str, reason: str, effects: Effects) -> None:
    record = state.servers.pop(server_id)
    service = record.server.service
    state.by_service[service].remove(record)
    if not state.by_service[service]:
        del state.by_service[service]
    state.cold.pop(server_id, None)
    _log_server(effects, "server_dropped", record.server, reason)
    effects.append(ForgetServer(server_id))


def _log_server(effects: Effects, event: str, server: BackendServer, reason: str) -> None:
    fields = (
        ("server", server.server_id),
        ("address", server.address),
        ("service", server.service),
        ("reason", reason),
        ("draining", server.draining),
        ("cold_ms", server.cold_for_us // 1_000),
    )
    effects.append(WriteLog(event, fields))
    effects.append(Count("mimosapost_relay_server_changes_total", (("change", event),)))


def is_usable(state: RelayState, record: ServerRecord, now_us: int) -> bool:
    """Return whether a server may get a send now, whatever its load is."""
    return not (
        record.server.draining
        or record.misdirected
        or record.server.domain in state.domains_out
        or record.is_blocked(now_us)
    )

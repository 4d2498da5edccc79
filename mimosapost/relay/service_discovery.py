"""Service discovery: applies configuration, server lists and withdrawn failure domains."""

from __future__ import annotations

from mimosapost.model.effects import IncrementCounter, WriteLog
from mimosapost.relay.crashes import RESTART_WINDOW_US, record_crash
from mimosapost.relay.effects import ForgetServer
from mimosapost.relay.eligibility import is_leaving
from mimosapost.relay.events import (
    CatalogRead,
    DomainsOut,
    EntryIgnored,
    ServerListed,
    ServersReplaced,
    ServerUnlisted,
    SourceLost,
    SourceRegained,
)
from mimosapost.relay.latency_pools import get_distance
from mimosapost.relay.messages import BackendServer
from mimosapost.relay.paced_servers import start_pace
from mimosapost.relay.registry import Effects, TimerKind, handles, handles_timer
from mimosapost.relay.rewound_source import (
    REWOUND_DOMAINS_US,
    REWOUND_US,
    has_returned,
    keep_domains,
    keep_known,
    record_removed,
)
from mimosapost.relay.server_selection import ServerRecord
from mimosapost.relay.signal_recording import keep_signals, restore_signals
from mimosapost.relay.state import RelayState
from mimosapost.relay.workspaces import report_workspace_faults, update_open_requests

__all__: list[str] = []

# Entries that expired while the source was unreachable are written again within about two
# seconds of its recovery. A server that is still not listed after this time is removed.
RELIST_GRACE_US = 2_200_000
_CHANGES_METRIC = "mimosapost_relay_server_changes_total"


@handles(CatalogRead)
def apply_catalog(state: RelayState, event: CatalogRead, effects: Effects) -> None:
    """Apply a configuration version unless the current one is as new or newer."""
    current = state.catalog
    if current is not None and event.catalog.version <= current.version:
        return
    state.catalog = event.catalog
    names = {route.name for routes in event.catalog.hosts.values() for route in routes}
    for table in (state.pools, state.round_robins):
        for name in [name for name in table if name not in names]:
            del table[name]
    previous_version = current.version if current is not None else 0
    fields = (
        ("version", event.catalog.version),
        ("before", previous_version),
        ("routes", len(names)),
        ("workspaces", len(event.catalog.workspaces)),
    )
    effects.append(WriteLog("catalog_in_force", fields))
    if event.catalog.workspace_rules is not None:
        report_workspace_faults(event.catalog.workspace_rules.faults, effects)
    update_open_requests(state, event.now_us, effects)


@handles(ServersReplaced)
def replace_servers(state: RelayState, event: ServersReplaced, effects: Effects) -> None:
    """Apply a complete server list.

    Servers missing from it are removed, after a grace period if the source was unreachable.
    """
    is_first = not state.servers_listed
    state.servers_listed = True
    listed = {server.server_id for server in event.servers}
    servers = event.servers
    if event.is_rewound:
        state.rewound.until_us = event.now_us + REWOUND_US
        state.timers.add(state.rewound.until_us, TimerKind.REWOUND, 0)
    if event.now_us < state.rewound.until_us:
        known = {server_id: record.server for server_id, record in state.servers.items()}
        servers = keep_known(state.rewound, known, servers, event.now_us, effects)
    else:
        state.rewound.held = {}
    changes: Effects = []
    for server in servers:
        _upsert_server(state, server, event.now_us, changes, is_first)
    if is_first:
        # One line for each of some hundred servers would delay the requests that wait for it.
        services = len(state.by_service)
        fields = (("servers", len(state.servers)), ("services", services))
        effects.append(WriteLog("servers_listed", fields))
        labels = (("change", "server_listed"),)
        effects.append(IncrementCounter(_CHANGES_METRIC, labels, len(state.servers)))
    else:
        effects.extend(changes)
    for server_id in [name for name in state.servers if name not in listed]:
        _unlist_server(state, server_id, "not_in_list", event.now_us, effects)


@handles(ServerListed)
def list_server(state: RelayState, event: ServerListed, effects: Effects) -> None:
    """Add or update one server."""
    state.rewound.held.pop(event.server.server_id, None)
    _upsert_server(state, event.server, event.now_us, effects)


@handles(ServerUnlisted)
def unlist_server(state: RelayState, event: ServerUnlisted, effects: Effects) -> None:
    """Remove one server."""
    state.rewound.held.pop(event.server_id, None)
    if event.server_id in state.servers:
        _unlist_server(state, event.server_id, event.reason, event.now_us, effects)


@handles(DomainsOut)
def set_domains_out(state: RelayState, event: DomainsOut, effects: Effects) -> None:
    """Replace the set of failure domains whose servers receive no sends."""
    before = state.domains_out
    if event.is_rewound:
        state.rewound.domains_until_us = event.now_us + REWOUND_DOMAINS_US
        state.timers.add(state.rewound.domains_until_us, TimerKind.REWOUND_DOMAINS, 0)
    domains = keep_domains(state.rewound, before, event.domains, event.is_rewound)
    _apply_domains_out(state, domains, effects)


def _apply_domains_out(state: RelayState, domains: frozenset[str], effects: Effects) -> None:
    if domains != state.domains_out:
        state.domains_out = domains
        fields = (("domains", ",".join(sorted(domains))),)
        effects.append(WriteLog("domains_out", fields))


@handles_timer(TimerKind.REWOUND)
def release_held(state: RelayState, _key: int, now_us: int, effects: Effects) -> None:
    """Use servers that the source's copy brought back, unless their entries were corrected."""
    if now_us < state.rewound.until_us:
        # The source has returned from another copy since.
        return
    held, state.rewound.held = state.rewound.held, {}
    for server in held.values():
        _upsert_server(state, server, now_us, effects)


@handles_timer(TimerKind.REWOUND_DOMAINS)
def release_domains(state: RelayState, _key: int, now_us: int, effects: Effects) -> None:
    """Use the domains that the source's copy lacks, unless operators took them out again."""
    if now_us < state.rewound.domains_until_us:
        return
    kept, state.rewound.domains_out = state.rewound.domains_out, frozenset()
    _apply_domains_out(state, state.domains_out - kept, effects)


@handles(EntryIgnored)
def count_ignored_entry(_state: RelayState, event: EntryIgnored, effects: Effects) -> None:
    """Count an entry that was ignored; the reader of the source has logged it."""
    labels = (("group", event.group),)
    effects.append(IncrementCounter("mimosapost_relay_odd_entries_total", labels))


@handles(SourceLost)
def handle_source_lost(state: RelayState, event: SourceLost, effects: Effects) -> None:
    """Record the loss of the source; the last known configuration and servers stay in use."""
    if not state.source_lost_us:
        state.source_lost_us = event.now_us
        effects.append(WriteLog("source_lost", (("reason", event.reason),)))


@handles(SourceRegained)
def handle_source_regained(state: RelayState, event: SourceRegained, effects: Effects) -> None:
    """Record the recovery of the source.

    For a grace period after it, servers may be missing only because their entries expired
    while the source was unreachable.
    """
    if state.source_lost_us:
        lost_ms = (event.now_us - state.source_lost_us) // 1_000
        state.source_lost_us = 0
        state.source_regained_us = event.now_us
        effects.append(WriteLog("source_regained", (("lost_ms", lost_ms),)))


def _upsert_server(
    state: RelayState,
    server: BackendServer,
    now_us: int,
    effects: Effects,
    is_first: bool = False,
) -> None:
    """Add or update one server.

    :param is_first: whether the server is in the first list, in which all are new to this
        instance, whether they have just started or not.
    """
    record = state.servers.get(server.server_id)
    instance_settings = state.instance_settings
    is_new = False
    if record is not None and record.server.process_started_ms != server.process_started_ms:
        # The server process restarted, so observations of the earlier process no longer apply.
        _drop_server(state, server.server_id, "restarted", effects)
        record = None
    if record is None:
        # A new process at the address of an earlier one shows that the earlier one has ended.
        if not has_returned(state.rewound, server):
            record_crash(state, server.address, "restarted", RESTART_WINDOW_US, now_us, effects)
        region = instance_settings.regions.get(server.domain, "")
        distance = get_distance(
            instance_settings.domain, instance_settings.region, server.domain, region
        )
        record = ServerRecord(server, distance, region)
        restore_signals(state, record, now_us)
        state.servers[server.server_id] = record
        state.by_service.setdefault(server.service, []).append(record)
        _log_server(effects, "server_listed", server, "new")
        is_new = not is_first
    elif record.server.service != server.service:
        _drop_server(state, server.server_id, "moved", effects)
        _upsert_server(state, server, now_us, effects)
        return
    elif record.server != server:
        if record.server.draining != server.draining:
            _log_server(effects, "server_listed", server, "state_changed")
        record.server = server
    record.misdirected = False
    was_cold = now_us < record.cold_until_us
    if server.cold_remaining_us:
        record.cold_until_us = now_us + server.cold_remaining_us
    if is_new or (server.cold_remaining_us and not was_cold):
        start_pace(record, "started" if is_new else "cold", now_us, effects)
    state.pending_removals = {
        key: name for key, name in state.pending_removals.items() if name != server.server_id
    }
    state.services_to_dispatch.add(server.service)


def _unlist_server(
    state: RelayState, server_id: str, reason: str, now_us: int, effects: Effects
) -> None:
    # A list that arrives while the source counts as lost shows that it has just recovered.
    regained_us = now_us if state.source_lost_us else state.source_regained_us
    due_us = regained_us + RELIST_GRACE_US
    source_unavailable = state.source_lost_us or (state.source_regained_us and now_us < due_us)
    if not source_unavailable or is_leaving(state.servers[server_id]):
        record_removed(state.rewound, state.servers[server_id].server, now_us)
        _drop_server(state, server_id, reason, effects)
        return
    if server_id not in state.pending_removals.values():
        key, state.next_timer_key = state.next_timer_key, state.next_timer_key + 1
        state.pending_removals[key] = server_id
        state.timers.add(due_us, TimerKind.REMOVE_SERVER, key)


@handles_timer(TimerKind.REMOVE_SERVER)
def remove_unlisted_server(state: RelayState, key: int, now_us: int, effects: Effects) -> None:
    """Remove a server that was not listed again within the grace period."""
    server_id = state.pending_removals.pop(key, "")
    if server_id not in state.servers:
        return
    if state.source_lost_us:
        state.pending_removals[key] = server_id
        state.timers.add(now_us + RELIST_GRACE_US, TimerKind.REMOVE_SERVER, key)
        return
    record_removed(state.rewound, state.servers[server_id].server, now_us)
    _drop_server(state, server_id, "not_listed_again", effects)


def _drop_server(state: RelayState, server_id: str, reason: str, effects: Effects) -> None:
    record = state.servers.pop(server_id)
    service = record.server.service
    state.by_service[service].remove(record)
    if not state.by_service[service]:
        del state.by_service[service]
    state.cold_rates.pop(server_id, None)
    keep_signals(state, record)
    _log_server(effects, "server_dropped", record.server, reason)
    effects.append(ForgetServer(server_id))


def _log_server(effects: Effects, event: str, server: BackendServer, reason: str) -> None:
    fields = (
        ("server", server.server_id),
        ("address", server.address),
        ("service", server.service),
        ("reason", reason),
        ("draining", server.draining),
        ("cold_ms", server.cold_remaining_us // 1_000),
    )
    effects.append(WriteLog(event, fields))
    effects.append(IncrementCounter(_CHANGES_METRIC, (("change", event),)))

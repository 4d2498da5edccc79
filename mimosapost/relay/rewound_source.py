"""Servers and failure domains of a source that returned from an older copy.

Load pattern: the copy lacks the changes of some seconds. It lists servers that have left since,
names servers as ready that are leaving, and lacks domains that operators have taken out. Who
wrote an entry writes it again, but later. Until then what is known of a server process stays in
force where it is newer than the copy can be, and what the copy brings back waits.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from mimosapost.model.effects import IncrementCounter, WriteLog
from mimosapost.relay.messages import BackendServer
from mimosapost.relay.registry import Effects

__all__ = [
    "REWOUND_DOMAINS_US",
    "REWOUND_US",
    "RewoundSource",
    "has_returned",
    "keep_domains",
    "keep_known",
    "record_removed",
]

#: Time after the return of a source in which its writers write their entries again, and the
#: entries of servers that have ended expire. Silent entries expire after 3.6 s.
REWOUND_US = 5_000_000
#: Time for which domains that a copy lacks stay out. Operators write them again by hand, which
#: takes longer than the programs that write the other entries.
REWOUND_DOMAINS_US = 15_000_000
# Age of a removal from which a copy can't list the server any more.
_REMOVED_US = 60_000_000
_METRIC = "mimosapost_relay_rewound_entries_total"


@dataclass(slots=True)
class RewoundSource:
    """What is known beyond the source's copy.

    :param until_us: time until which lists of the source are not believed, or 0.
    :param removed: start of the process in Unix milliseconds and time of the removal of servers
        that were removed lately, by id, oldest first.
    :param held: servers that the copy lists although they were removed, by id.
    :param domains_out: domains that the copy lacks and that stay out.
    :param domains_until_us: time until which they stay out, or 0.
    """

    until_us: int = 0
    removed: dict[str, tuple[int, int]] = field(default_factory=dict)
    held: dict[str, BackendServer] = field(default_factory=dict)
    domains_out: frozenset[str] = frozenset()
    domains_until_us: int = 0


def record_removed(rewound: RewoundSource, server: BackendServer, now_us: int) -> None:
    """Record that a server was removed from the source."""
    for server_id, (_, removed_us) in list(rewound.removed.items()):
        if now_us - removed_us < _REMOVED_US:
            break
        del rewound.removed[server_id]
    rewound.removed.pop(server.server_id, None)
    rewound.removed[server.server_id] = (server.process_started_ms, now_us)


def has_returned(rewound: RewoundSource, server: BackendServer) -> bool:
    """Return whether the process of a server was removed lately and has not ended since."""
    started_ms, _ = rewound.removed.get(server.server_id, (0, 0))
    return 0 < server.process_started_ms == started_ms


def keep_known(
    rewound: RewoundSource,
    known: dict[str, BackendServer],
    listed: Iterable[BackendServer],
    now_us: int,
    effects: Effects,
) -> list[BackendServer]:
    """Return the servers of a copy, corrected by what is known, without those that must wait.

    :param known: servers in use, by id.
    :param listed: servers that the copy lists.
    :returns: servers to use; those that were removed lately are held.
    """
    servers, corrected = [], 0
    rewound.held = {}
    for server in listed:
        current = known.get(server.server_id)
        if current is not None and _is_older(server, current):
            server, corrected = current, corrected + 1
        elif current is not None and current.draining and _is_same_process(server, current):
            corrected += not server.draining
            server = replace(server, draining=True)
        elif current is None and _was_removed(rewound, server, now_us):
            rewound.held[server.server_id] = server
            continue
        servers.append(server)
    fields = (("servers", len(servers)), ("kept", corrected), ("held", len(rewound.held)))
    effects.append(WriteLog("source_rewound", fields))
    for outcome, amount in (("kept", corrected), ("held", len(rewound.held))):
        if amount:
            effects.append(IncrementCounter(_METRIC, (("outcome", outcome),), amount))
    return servers


def keep_domains(
    rewound: RewoundSource, before: frozenset[str], listed: frozenset[str], is_rewound: bool
) -> frozenset[str]:
    """Return the domains that are out, with those that a copy lacks.

    A domain that the source names again is no longer kept beyond it.

    :param before: domains that were out.
    :param listed: domains that the source names.
    :param is_rewound: whether the source has just returned from an older copy.
    """
    kept = before if is_rewound else rewound.domains_out
    rewound.domains_out = kept - listed
    return listed | rewound.domains_out


def _is_older(server: BackendServer, current: BackendServer) -> bool:
    return 0 < server.process_started_ms < current.process_started_ms


def _is_same_process(server: BackendServer, current: BackendServer) -> bool:
    return server.process_started_ms == current.process_started_ms


def _was_removed(rewound: RewoundSource, server: BackendServer, now_us: int) -> bool:
    started_ms, removed_us = rewound.removed.get(server.server_id, (0, -_REMOVED_US))
    return now_us - removed_us < _REMOVED_US and server.process_started_ms <= started_ms

"""Eligibility of servers for sends."""

from __future__ import annotations

from mimosapost.relay.server_selection import ServerRecord
from mimosapost.relay.state import RelayState

__all__ = ["is_leaving", "is_usable"]


def is_leaving(record: ServerRecord) -> bool:
    """Return whether a server is about to end, by its entry or by its own answers."""
    return record.server.draining or record.signals.leaving_us is not None


def is_usable(state: RelayState, record: ServerRecord, now_us: int) -> bool:
    """Return whether a server may receive sends now, regardless of its load."""
    return not (
        is_leaving(record)
        or record.misdirected
        or record.server.domain in state.domains_out
        or record.is_blocked(now_us)
    )

"""Eligibility of servers for sends."""

from __future__ import annotations

from mimosapost.relay.server_selection import ServerRecord
from mimosapost.relay.state import RelayState

__all__ = ["is_usable"]


def is_usable(state: RelayState, record: ServerRecord, now_us: int) -> bool:
    """Return whether a server may receive sends now, regardless of its load."""
    return not (
        record.server.draining
        or record.misdirected
        or record.server.domain in state.domains_out
        or record.is_blocked(now_us)
    )

"""Progress of a single leaf: giving up, waiting and cancellation."""

from __future__ import annotations

from mimosapost.core.registry import Effects
from mimosapost.core.state import LeafState, OpenQuery, State
from mimosapost.model.codes import MissingReason
from mimosapost.model.effects import CancelSend

__all__ = ["cancel_sends", "set_missing", "stop_waiting"]


def set_missing(
    state: State, open_query: OpenQuery, leaf_state: LeafState, reason: MissingReason
) -> None:
    """Give up a leaf of a query and record the reason that the answer states."""
    if leaf_state.done:
        return
    leaf_state.done = True
    stop_waiting(state, leaf_state)
    open_query.open_leafs -= 1
    open_query.coverage.set_missing(leaf_state.settings.name, reason)


def stop_waiting(state: State, leaf_state: LeafState) -> None:
    """Remove a leaf from the queues of the servers that it waits for."""
    if not leaf_state.waiting:
        return
    leaf_state.waiting = False
    state.waiting_leafs -= 1
    for address in leaf_state.waiting_servers:
        server = state.servers.get(address)
        if server is not None:
            server.waiting.remove(leaf_state.entry)
    leaf_state.waiting_servers.clear()


def cancel_sends(state: State, leaf_state: LeafState, effects: Effects) -> None:
    """Cancel all open sends of a leaf.

    A cancelled send uses its allowance until the edge confirms its end.
    """
    for send_id in leaf_state.open_sends:
        send = state.sends.get(send_id)
        if send is not None and not send.wasted:
            send.wasted = True
            effects.append(CancelSend(send_id))
    leaf_state.open_sends.clear()

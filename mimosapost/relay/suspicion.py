"""Suspicion: requests that may crash servers, as this instance and the others know it.

A crash with a request in flight makes it a suspect at all instances. A suspect runs alone, one
part at a time and without hedges, until it is answered. If a server crashes under it again, all
instances refuse it.
"""

from __future__ import annotations

from collections.abc import Iterable

from mimosapost.model.effects import IncrementCounter, WriteLog
from mimosapost.model.peer_messages import SuspectNote
from mimosapost.relay.completion import CRASHED_REASON, end_request
from mimosapost.relay.registry import Effects
from mimosapost.relay.sends import abandon_sends
from mimosapost.relay.state import RelayState
from mimosapost.suspects.tracker import SuspicionState

__all__ = ["apply_suspicion", "merge_suspects"]


def merge_suspects(
    state: RelayState, notes: Iterable[SuspectNote], now_us: int, effects: Effects
) -> list[int]:
    """Merge notes of another instance on requests that may crash servers.

    :returns: fingerprints of the requests of which this instance knew less.
    """
    notes = tuple(notes)
    before = {n.fingerprint: state.suspects.classify(n.fingerprint, now_us) for n in notes}
    state.suspects.merge(notes, now_us)
    changed = [
        fingerprint
        for fingerprint, suspicion in before.items()
        if state.suspects.classify(fingerprint, now_us) is not suspicion
    ]
    apply_suspicion(state, changed, "note", now_us, effects)
    return changed


def apply_suspicion(
    state: RelayState, fingerprints: Iterable[int], source: str, now_us: int, effects: Effects
) -> None:
    """Log a change of suspicion, and end the open requests that are refused from now on.

    :param source: ``crash`` if this instance saw the crash, ``note`` if it was told.
    """
    refused = set()
    for fingerprint in fingerprints:
        suspicion = state.suspects.classify(fingerprint, now_us)
        if suspicion is SuspicionState.REFUSED:
            refused.add(fingerprint)
        fields = (
            ("fingerprint", f"{fingerprint:016x}"),
            ("standing", suspicion.value),
            ("source", source),
        )
        effects.append(WriteLog("request_suspect", fields))
        labels = (("standing", suspicion.value), ("source", source))
        effects.append(IncrementCounter("mimosapost_relay_suspects_total", labels))
    if refused:
        _end_requests(state, refused, now_us, effects)


def _end_requests(
    state: RelayState, fingerprints: set[int], now_us: int, effects: Effects
) -> None:
    for open_request in list(state.requests.values()):
        if open_request.request.fingerprint not in fingerprints:
            continue
        for part in open_request.parts:
            if not part.done:
                part.reason = CRASHED_REASON
                # Servers drop a request that still waits there when its connection closes.
                abandon_sends(state, part, now_us, effects, grace_us=0)
        end_request(state, open_request, now_us, effects)

"""Detection of crashed servers, and of the requests that they were running.

A broken connection alone shows no crash, so the server is probed by opening another one. A
server that falls silent is judged later: it has crashed if its next process appears before it
has answered anything else.
"""

from __future__ import annotations

from mimosapost.model.codes import FailureKind, RunState
from mimosapost.model.effects import IncrementCounter, SendPeer, WriteLog
from mimosapost.model.peer_messages import ServerNotes
from mimosapost.relay.effects import ProbeServer
from mimosapost.relay.events import ExchangeFailed
from mimosapost.relay.registry import Effects
from mimosapost.relay.sends import SUSPECT_HANG_US
from mimosapost.relay.server_notes import LAST_STAGE, create_suspect_notes, note_suspects
from mimosapost.relay.state import HeldPart, OpenSend, RelayState, UnansweredSend
from mimosapost.relay.suspicion import apply_suspicion

__all__ = [
    "REFUSAL_WINDOW_US",
    "RESTART_WINDOW_US",
    "hold_for_probe",
    "record_crash",
    "record_survival",
    "record_unanswered",
]

#: Time between a broken connection and a refused one in which they count as one crash.
REFUSAL_WINDOW_US = 1_000_000
#: Time in which a server that crashed in silence starts again, which takes some seconds.
RESTART_WINDOW_US = 15_000_000
# Time between two searches for unanswered sends that are too old.
_DISCARD_INTERVAL_US = 1_000_000
# A probe that takes longer than a round trip between regions and the work on a handshake does
# not delay the retry any further.
_PROBE_TIMEOUT_US = 60_000


def record_unanswered(
    state: RelayState, send: OpenSend, event: ExchangeFailed, effects: Effects
) -> None:
    """Record that a server may have crashed while it ran a request.

    A suspect that ran alone and got no answer for a long time is taken as the cause.
    """
    is_broken = event.kind in (FailureKind.RESET, FailureKind.CLOSED)
    is_silent = event.kind is FailureKind.WITHDRAWN and not send.part.is_answered
    if event.run is RunState.NOT_RUN or not (is_broken or is_silent):
        return
    _discard_old(state, event.now_us)
    address = send.record.server.address
    unanswered = UnansweredSend(event.now_us, send.sent_us, is_broken, send.ran_alone)
    state.unanswered.setdefault(address, {})[send.fingerprint] = unanswered
    fields = (
        ("fingerprint", f"{send.fingerprint:016x}"),
        ("server", send.record.server.server_id),
        ("kind", event.kind.value),
        ("alone", send.ran_alone),
    )
    effects.append(WriteLog("send_unanswered", fields))
    if is_silent and send.ran_alone and event.now_us - send.sent_us > SUSPECT_HANG_US:
        record_crash(state, address, "suspect_hung", RESTART_WINDOW_US, event.now_us, effects)


def _discard_old(state: RelayState, now_us: int) -> None:
    """Forget the sends to servers that neither answered again nor came back in time."""
    if now_us - state.unanswered_checked_us < _DISCARD_INTERVAL_US:
        return
    state.unanswered_checked_us = now_us
    oldest_us = now_us - RESTART_WINDOW_US
    for address, entries in list(state.unanswered.items()):
        recent = {f: entry for f, entry in entries.items() if entry.ended_us > oldest_us}
        if recent:
            state.unanswered[address] = recent
        else:
            del state.unanswered[address]


def record_survival(state: RelayState, send: OpenSend) -> None:
    """Forget the unanswered sends to a server that has answered one that started later."""
    address = send.record.server.address
    entries = state.unanswered.get(address)
    if entries is None:
        return
    for fingerprint in [f for f, entry in entries.items() if entry.ended_us <= send.sent_us]:
        del entries[fingerprint]
    if not entries:
        del state.unanswered[address]


def hold_for_probe(
    state: RelayState, send: OpenSend, event: ExchangeFailed, effects: Effects
) -> bool:
    """Probe a server whose connection broke, and hold the part until the probe ends.

    A retry before that could crash the next server.

    :returns: whether the part is held.
    """
    server = send.record.server
    open_request = state.requests.get(send.request_number)
    is_broken = event.kind in (FailureKind.RESET, FailureKind.CLOSED)
    if event.run is RunState.NOT_RUN or not is_broken:
        return False
    if send.record.is_blocked(event.now_us):
        record_crash(state, server.address, "blocked", REFUSAL_WINDOW_US, event.now_us, effects)
        return False
    if server.address not in state.held_parts:
        state.held_parts[server.address] = []
        effects.append(ProbeServer(server, event.now_us + _PROBE_TIMEOUT_US))
    part = send.part
    if open_request is None or part.done or part.is_sent or not open_request.route.repeatable:
        return False
    part.waiting = True
    waited_us = event.now_us - send.sent_us
    held = HeldPart(send.request_number, part, server.server_id, waited_us, event.kind.value)
    state.held_parts[server.address].append(held)
    return True


def record_crash(
    state: RelayState,
    address: str,
    evidence: str,
    window_us: int,
    now_us: int,
    effects: Effects,
    broken_only: bool = False,
) -> None:
    """Make the requests suspects that a crashed server was running.

    :param evidence: how the crash was noticed, for the log.
    :param window_us: largest time in microseconds since a send ended without an answer.
    :param broken_only: whether only broken connections count.
    """
    entries = {
        fingerprint: entry
        for fingerprint, entry in state.unanswered.get(address, {}).items()
        if now_us - entry.ended_us < window_us and (entry.is_broken or not broken_only)
    }
    if not entries:
        return
    del state.unanswered[address]
    ran_alone = any(entry.ran_alone for entry in entries.values())
    state.suspects.record_crash(address, entries, now_us, ran_alone)
    fields = (
        ("address", address),
        ("evidence", evidence),
        ("requests_in_flight", len(entries)),
        ("alone", ran_alone),
    )
    effects.append(WriteLog("server_crashed", fields))
    labels = (("evidence", evidence),)
    effects.append(IncrementCounter("mimosapost_relay_server_crashes_total", labels))
    _fail_trials(state, entries)
    _tell_askers(state, entries, now_us, effects)
    apply_suspicion(state, entries, "crash", now_us, effects)
    note_suspects(state, entries, 0, now_us)


def _fail_trials(state: RelayState, entries: dict[int, UnansweredSend]) -> None:
    """End the trials under which a server crashed; their requests need another permit."""
    for fingerprint, entry in entries.items():
        trial = state.trials.get(fingerprint)
        if trial is not None and trial.runner and entry.sent_us >= trial.started_us:
            trial.has_failed = True
    for open_request in state.requests.values():
        if open_request.request.fingerprint in entries:
            open_request.passed_trial = False


def _tell_askers(
    state: RelayState, fingerprints: dict[int, UnansweredSend], now_us: int, effects: Effects
) -> None:
    """Tell the instances that this one gathers for, before they retry the parts."""
    notes = create_suspect_notes(state, fingerprints, now_us)
    if not notes:
        return
    for number in state.served_gathers.values():
        open_request = state.requests[number]
        if open_request.request.fingerprint in fingerprints:
            served = open_request.served
            message = ServerNotes(LAST_STAGE, (), notes)
            effects.append(SendPeer(served.peer, served.peer_address, message))

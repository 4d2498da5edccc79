"""Trials: lone runs of suspects, at most one of each request in the fleet at a time.

Load pattern: the same request comes at several instances at the same moment, and again as soon
as the servers that it crashed are back. If each instance tried it on its own, each would crash
servers.

An instance asks the coordinator of the request before it runs a suspect. The coordinator is
chosen by a rendezvous hash of the fingerprint over the known instances. It permits one trial,
queues the others, and passes on the result: after an answer all of them run, after a crash
none. Instances that know different members for a moment may choose two coordinators, so that
two trials run. A coordinator that does not reply is passed over.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from mimosapost.model.effects import IncrementCounter, SendPeer, WriteLog
from mimosapost.model.events import PeerMessageArrived
from mimosapost.model.peer_messages import TrialMessage, TrialStep
from mimosapost.relay.completion import fail_part
from mimosapost.relay.registry import Effects, TimerKind, handles_message, handles_timer
from mimosapost.relay.sends import StartResult, start_send
from mimosapost.relay.server_notes import create_suspect_notes, note_suspects
from mimosapost.relay.state import OpenRequest, RelayState, Trial, TrialPermit
from mimosapost.relay.suspicion import apply_suspicion, merge_suspects
from mimosapost.suspects.tracker import SuspicionState

__all__ = ["advance_trials", "start_parts_after_trial"]

# A coordinator that has not replied after this time is passed over. A round trip between
# regions takes 24 ms, and pauses of healthy processes are shorter than this.
_REPLY_US = 250_000
# Coordinators that are asked in turn before the waiting requests are refused.
_MAX_COORDINATORS = 2
# A trial without a result after this time is lost. Routes time out earlier.
_PERMIT_US = 5_000_000
# Time without trials after one that crashed a server while others crashed, too, or was lost.
# Crashed servers are back after about three seconds.
_HOLD_US = 5_000_000
_STEPS_TO_COORDINATOR = {
    TrialStep.REQUESTED,
    TrialStep.PASSED,
    TrialStep.ENDED,
    TrialStep.FAILED,
}


def advance_trials(state: RelayState, now_us: int, effects: Effects) -> None:
    """Ask for the trials that requests need now, and report those that ended."""
    while state.requests_to_try:
        open_request = state.requests.get(state.requests_to_try.pop(0))
        if open_request is not None:
            _join_trial(state, open_request, now_us, effects)
    for fingerprint, trial in list(state.trials.items()):
        _update_trial(state, fingerprint, trial, now_us, effects)


def start_parts_after_trial(
    state: RelayState, open_request: OpenRequest, now_us: int, effects: Effects
) -> None:
    """Start the parts of a suspect that waited for a permit or for the answer of its trial."""
    parts, open_request.parts_after_trial = open_request.parts_after_trial, []
    for part in parts:
        part.waiting = False
        if part.done or open_request.request.request_number not in state.requests:
            continue
        if start_send(state, open_request, part, now_us, effects) is StartResult.NO_SERVER:
            fail_part(state, open_request, part, "no_server", now_us, effects)


def _join_trial(
    state: RelayState, open_request: OpenRequest, now_us: int, effects: Effects
) -> None:
    fingerprint = open_request.request.fingerprint
    if state.suspects.classify(fingerprint, now_us) is SuspicionState.CLEAR:
        start_parts_after_trial(state, open_request, now_us, effects)
        return
    trial = state.trials.get(fingerprint)
    is_new = trial is None
    if trial is None:
        trial = state.trials[fingerprint] = Trial(state.next_trial_id)
    if open_request.request.request_number not in trial.waiting:
        trial.waiting.append(open_request.request.request_number)
    if is_new:
        _request_trial(state, fingerprint, trial, now_us, effects)


def _request_trial(
    state: RelayState, fingerprint: int, trial: Trial, now_us: int, effects: Effects
) -> None:
    """Ask the coordinator for a permit, under a new number."""
    trial.trial_id, state.next_trial_id = state.next_trial_id, state.next_trial_id + 1
    trial.is_heard, trial.requested_us = False, now_us
    trial.coordinator = _choose_coordinator(state, fingerprint, trial.passed_over)
    state.timers.add(now_us + _REPLY_US, TimerKind.TRIAL, fingerprint)
    _log(effects, "trial_requested", fingerprint, trial.coordinator, len(trial.waiting))
    _send(
        state,
        trial.coordinator,
        TrialStep.REQUESTED,
        fingerprint,
        trial.trial_id,
        now_us,
        effects,
    )


def _choose_coordinator(state: RelayState, fingerprint: int, passed_over: Iterable[str]) -> str:
    names = set()
    if state.peers is not None:
        members = state.peers.members.list_members()
        names = {m.name for m in members if m.identity is not None and not m.leaving}
    names -= set(passed_over)
    own_name = state.instance_settings.name
    if not state.stop_requested_us or not names:
        names.add(own_name)

    def get_rank(name: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{fingerprint:x} {name}".encode())

    return max(names, key=get_rank)


def _send(
    state: RelayState,
    name: str,
    step: TrialStep,
    fingerprint: int,
    trial_id: int,
    now_us: int,
    effects: Effects,
    retry_after_us: int = 0,
) -> None:
    """Send a message to another instance, or handle it if this instance is meant."""
    notes = create_suspect_notes(state, {fingerprint}, now_us)
    message = TrialMessage(step, fingerprint, trial_id, retry_after_us, notes)
    own_name = state.instance_settings.name
    if name == own_name:
        _handle(state, own_name, message, now_us, effects)
        return
    member = state.peers.members.find_by_name(name)
    if member is None:
        _log(effects, "trial_peer_unknown", fingerprint, name, step.name.lower())
        return
    effects.append(SendPeer(name, member.peer_address, message))


@handles_message(TrialMessage)
def handle_trial_message(
    state: RelayState, event: PeerMessageArrived, effects: Effects
) -> None:
    """Handle a message of a coordinator, or to this instance as the coordinator."""
    merge_suspects(state, event.message.suspects, event.now_us, effects)
    _handle(state, event.peer, event.message, event.now_us, effects)


def _handle(
    state: RelayState, peer: str, message: TrialMessage, now_us: int, effects: Effects
) -> None:
    if message.step is TrialStep.REQUESTED:
        _handle_request(state, peer, message, now_us, effects)
    elif message.step in _STEPS_TO_COORDINATOR:
        _handle_result(state, peer, message, now_us, effects)
    else:
        _handle_reply(state, peer, message, now_us, effects)


def _handle_request(
    state: RelayState, peer: str, message: TrialMessage, now_us: int, effects: Effects
) -> None:
    """Permit, queue or deny a trial, as the coordinator of its request."""
    fingerprint, trial_id = message.fingerprint, message.trial_id
    suspicion = state.suspects.classify(fingerprint, now_us)
    if suspicion is SuspicionState.CLEAR:
        _send(state, peer, TrialStep.CLEARED, fingerprint, trial_id, now_us, effects)
        return
    permit = state.trial_permits.get(fingerprint, TrialPermit())
    if suspicion is SuspicionState.REFUSED or now_us < permit.held_until_us:
        _deny(state, peer, fingerprint, trial_id, permit, now_us, effects)
        return
    state.trial_permits[fingerprint] = permit
    permit.waiting[peer] = trial_id
    if permit.holder:
        _send(state, peer, TrialStep.QUEUED, fingerprint, trial_id, now_us, effects)
    else:
        _permit_next(state, fingerprint, permit, now_us, effects)


def _deny(
    state: RelayState,
    peer: str,
    fingerprint: int,
    trial_id: int,
    permit: TrialPermit,
    now_us: int,
    effects: Effects,
) -> None:
    retry_us = max(0, permit.held_until_us - now_us)
    _log(effects, "trial_denied", fingerprint, peer, retry_us // 1_000)
    _send(state, peer, TrialStep.DENIED, fingerprint, trial_id, now_us, effects, retry_us)


def _permit_next(
    state: RelayState, fingerprint: int, permit: TrialPermit, now_us: int, effects: Effects
) -> None:
    """Permit the trial of the instance that has waited longest."""
    permit.holder = ""
    if not permit.waiting:
        if now_us >= permit.held_until_us:
            del state.trial_permits[fingerprint]
        return
    permit.holder = next(iter(permit.waiting))
    permit.trial_id = permit.waiting.pop(permit.holder)
    permit.until_us = now_us + _PERMIT_US
    state.timers.add(permit.until_us, TimerKind.TRIAL, fingerprint)
    _log(effects, "trial_permitted", fingerprint, permit.holder, len(permit.waiting))
    trial_id = permit.trial_id
    _send(state, permit.holder, TrialStep.PERMITTED, fingerprint, trial_id, now_us, effects)


def _handle_result(
    state: RelayState, peer: str, message: TrialMessage, now_us: int, effects: Effects
) -> None:
    """Pass on the result of a trial, as the coordinator of its request."""
    fingerprint = message.fingerprint
    permit = state.trial_permits.get(fingerprint)
    if permit is None or (permit.holder, permit.trial_id) != (peer, message.trial_id):
        if permit is not None and permit.waiting.get(peer) == message.trial_id:
            del permit.waiting[peer]
        _log(effects, "trial_result_ignored", fingerprint, peer, message.step.name.lower())
        return
    if message.step is TrialStep.ENDED:
        _permit_next(state, fingerprint, permit, now_us, effects)
    elif message.step is TrialStep.PASSED:
        state.suspects.record_answered(fingerprint, now_us)
        waiting, permit.waiting = permit.waiting, {}
        _permit_next(state, fingerprint, permit, now_us, effects)
        for name, trial_id in waiting.items():
            _send(state, name, TrialStep.CLEARED, fingerprint, trial_id, now_us, effects)
    else:
        _stop_trials(state, fingerprint, permit, now_us, effects)


def _stop_trials(
    state: RelayState, fingerprint: int, permit: TrialPermit, now_us: int, effects: Effects
) -> None:
    """Refuse a request after its trial failed or was lost, or hold it for some seconds."""
    if state.suspects.classify(fingerprint, now_us) is not SuspicionState.REFUSED:
        state.suspects.record_failed_trial(fingerprint, now_us)
        apply_suspicion(state, (fingerprint,), "trial", now_us, effects)
        note_suspects(state, (fingerprint,), 0, now_us)
        permit.held_until_us = now_us + _HOLD_US
        state.timers.add(permit.held_until_us, TimerKind.TRIAL, fingerprint)
    waiting, permit.waiting, permit.holder = permit.waiting, {}, ""
    for name, trial_id in waiting.items():
        _deny(state, name, fingerprint, trial_id, permit, now_us, effects)
    if now_us >= permit.held_until_us:
        del state.trial_permits[fingerprint]


@handles_timer(TimerKind.TRIAL)
def check_trial(state: RelayState, fingerprint: int, now_us: int, effects: Effects) -> None:
    """Pass over a coordinator without a reply, and give up a trial without a result."""
    permit = state.trial_permits.get(fingerprint)
    if permit is not None and permit.holder and now_us >= permit.until_us:
        _log(effects, "trial_lost", fingerprint, permit.holder, len(permit.waiting))
        _stop_trials(state, fingerprint, permit, now_us, effects)
    elif permit is not None and not permit.holder and now_us >= permit.held_until_us:
        del state.trial_permits[fingerprint]
    trial = state.trials.get(fingerprint)
    if trial is None or trial.is_heard or now_us < trial.requested_us + _REPLY_US:
        return
    _log(effects, "trial_coordinator_silent", fingerprint, trial.coordinator, 0)
    trial.passed_over.append(trial.coordinator)
    if len(trial.passed_over) < _MAX_COORDINATORS:
        _request_trial(state, fingerprint, trial, now_us, effects)
    else:
        _fail_waiting(state, trial, _REPLY_US, now_us, effects)


def _handle_reply(
    state: RelayState, peer: str, message: TrialMessage, now_us: int, effects: Effects
) -> None:
    """Run, start or refuse the waiting requests, as the coordinator decided."""
    fingerprint = message.fingerprint
    trial = state.trials.get(fingerprint)
    if trial is None or (trial.coordinator, trial.trial_id) != (peer, message.trial_id):
        if message.step is TrialStep.PERMITTED:
            # The requests that wanted the trial have ended, or another coordinator was asked.
            trial_id = message.trial_id
            _send(state, peer, TrialStep.ENDED, fingerprint, trial_id, now_us, effects)
        return
    trial.is_heard = True
    if message.step is TrialStep.PERMITTED:
        _run_trial(state, fingerprint, trial, now_us, effects)
    elif message.step is TrialStep.CLEARED:
        state.suspects.record_answered(fingerprint, now_us)
        _start_waiting(state, trial, now_us, effects)
    elif message.step is TrialStep.DENIED:
        _fail_waiting(state, trial, message.retry_after_us, now_us, effects)


def _run_trial(
    state: RelayState, fingerprint: int, trial: Trial, now_us: int, effects: Effects
) -> None:
    """Run the waiting request that has most time left."""
    waiting = [number for number in trial.waiting if number in state.requests]
    if not waiting:
        _end_trial(state, fingerprint, trial, TrialStep.ENDED, now_us, effects)
        return
    number = max(waiting, key=lambda number: state.requests[number].deadline_us)
    trial.waiting = [other for other in waiting if other != number]
    trial.runner, trial.started_us, trial.has_failed = number, now_us, False
    open_request = state.requests[number]
    open_request.trial = None
    fields = (
        ("request", open_request.request.request_id),
        ("fingerprint", f"{fingerprint:016x}"),
        ("coordinator", trial.coordinator),
        ("waited_ms", (now_us - trial.requested_us) // 1_000),
    )
    effects.append(WriteLog("trial_started", fields))
    start_parts_after_trial(state, open_request, now_us, effects)


def _update_trial(
    state: RelayState, fingerprint: int, trial: Trial, now_us: int, effects: Effects
) -> None:
    """Report the result of a trial that has ended, and forget one that nobody waits for."""
    trial.waiting = [number for number in trial.waiting if number in state.requests]
    if trial.runner and trial.has_failed:
        _end_trial(state, fingerprint, trial, TrialStep.FAILED, now_us, effects)
    elif trial.runner and not _is_running(state, fingerprint, trial):
        is_clear = state.suspects.classify(fingerprint, now_us) is SuspicionState.CLEAR
        step = TrialStep.PASSED if is_clear else TrialStep.ENDED
        _end_trial(state, fingerprint, trial, step, now_us, effects)
    if not trial.runner and not trial.waiting and state.trials.get(fingerprint) is trial:
        del state.trials[fingerprint]


def _is_running(state: RelayState, fingerprint: int, trial: Trial) -> bool:
    """Return whether a server may still crash under a trial, or a probe may show it."""
    return (
        trial.runner in state.requests
        or any(send.fingerprint == fingerprint for send in state.sends.values())
        or any(fingerprint in state.unanswered.get(a, ()) for a in state.held_parts)
    )


def _end_trial(
    state: RelayState,
    fingerprint: int,
    trial: Trial,
    step: TrialStep,
    now_us: int,
    effects: Effects,
) -> None:
    _log(effects, "trial_ended", fingerprint, trial.coordinator, step.name.lower())
    labels = (("result", step.name.lower()),)
    effects.append(IncrementCounter("mimosapost_relay_trials_total", labels))
    coordinator, trial_id, trial.runner = trial.coordinator, trial.trial_id, 0
    if step is TrialStep.PASSED:
        _start_waiting(state, trial, now_us, effects)
    elif trial.waiting:
        _request_trial(state, fingerprint, trial, now_us, effects)
    _send(state, coordinator, step, fingerprint, trial_id, now_us, effects)


def _start_waiting(state: RelayState, trial: Trial, now_us: int, effects: Effects) -> None:
    waiting, trial.waiting = trial.waiting, []
    for number in waiting:
        open_request = state.requests.get(number)
        if open_request is not None:
            open_request.passed_trial = True
            start_parts_after_trial(state, open_request, now_us, effects)


def _fail_waiting(
    state: RelayState, trial: Trial, retry_after_us: int, now_us: int, effects: Effects
) -> None:
    waiting, trial.waiting = trial.waiting, []
    for number in waiting:
        open_request = state.requests.get(number)
        if open_request is None:
            continue
        open_request.retry_after_us = retry_after_us
        parts, open_request.parts_after_trial = open_request.parts_after_trial, []
        for part in parts:
            if number in state.requests and not part.done:
                fail_part(state, open_request, part, "trial_denied", now_us, effects)


def _log(effects: Effects, event: str, fingerprint: int, peer: str, detail: str | int) -> None:
    fields = (("fingerprint", f"{fingerprint:016x}"), ("peer", peer), ("detail", detail))
    effects.append(WriteLog(event, fields))

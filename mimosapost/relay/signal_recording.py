"""Recording of the signals that servers give in their answers.

Load pattern: the source of the server list turns an instance away for seconds while a server
leaves. The answers of that server are then the only notice that the instance gets before the
server ends with all requests that it has open.
"""

from __future__ import annotations

from dataclasses import replace

from mimosapost.model.effects import IncrementCounter, WriteLog
from mimosapost.relay.messages import ServerAnswer
from mimosapost.relay.rate_limits import is_paused, record_named_limit
from mimosapost.relay.registry import Effects, TimerKind, handles_timer
from mimosapost.relay.server_selection import ServerRecord
from mimosapost.relay.server_signals import NO_SIGNALS
from mimosapost.relay.state import OpenSend, RelayState

__all__ = ["keep_signals", "record_signals", "restore_signals"]

# Time for which the source lists a server as ready after which its answer counts as false.
# Servers change or remove their entries when they begin to leave, and end within seconds.
_CONTRADICTED_US = 60_000_000
# Number of dropped servers whose signals are kept.
_MAX_DROPPED = 1_000


def record_signals(
    state: RelayState, send: OpenSend, answer: ServerAnswer, now_us: int, effects: Effects
) -> None:
    """Record what a server asks for in an answer to a send.

    The answer of another server, which now uses the address, must not be passed in.
    """
    for name in answer.malformed_headers:
        fields = (("server", send.record.server.server_id), ("header", name))
        effects.append(WriteLog("answer_header_malformed", fields))
        labels = (("header", name),)
        metric = "mimosapost_relay_malformed_headers_total"
        effects.append(IncrementCounter(metric, labels))
    record = _find_record(state, send.record)
    record_named_limit(state, record, send.sent_us, answer, now_us, effects)
    if answer.leaving:
        _record_leaving(state, record, send, now_us, effects)
    if answer.pause_us:
        _record_pause(state, record, send, answer.pause_us, now_us, effects)
    if record.server.server_id not in state.servers:
        keep_signals(state, record)


def _find_record(state: RelayState, record: ServerRecord) -> ServerRecord:
    """Return the record in use of the process that a send went to, or the one of the send.

    The process may have been dropped and listed again since.
    """
    current = state.servers.get(record.server.server_id)
    started_ms = record.server.process_started_ms
    if current is not None and 0 < started_ms == current.server.process_started_ms:
        return current
    return record


def _record_leaving(
    state: RelayState, record: ServerRecord, send: OpenSend, now_us: int, effects: Effects
) -> None:
    is_new = record.signals.leaving_us is None
    record.signals = replace(record.signals, leaving_us=now_us)
    if not is_new:
        return
    _log_signal(state, record, send, "server_leaving", now_us, effects)
    _count(effects, "leaving")
    _schedule_check(state, record.server.server_id, now_us + _CONTRADICTED_US)


def _record_pause(
    state: RelayState,
    record: ServerRecord,
    send: OpenSend,
    pause_us: int,
    now_us: int,
    effects: Effects,
) -> None:
    is_new = not is_paused(record, now_us)
    until_us = max(record.signals.paused_until_us, now_us + pause_us)
    record.signals = replace(record.signals, paused_until_us=until_us)
    if is_new:
        details = (("pause_ms", pause_us // 1_000),)
        _log_signal(state, record, send, "server_paused", now_us, effects, details)
        _count(effects, "paused")


def _schedule_check(state: RelayState, server_id: str, due_us: int) -> None:
    key, state.next_timer_key = state.next_timer_key, state.next_timer_key + 1
    state.leaving_checks[key] = server_id
    state.timers.add(due_us, TimerKind.LEAVING, key)


@handles_timer(TimerKind.LEAVING)
def check_leaving(state: RelayState, key: int, now_us: int, effects: Effects) -> None:
    """Use a server again that the source still lists as ready long after its answer.

    A false answer must not take a sound server out for good.
    """
    server_id = state.leaving_checks.pop(key, "")
    record = state.servers.get(server_id)
    if record is None or record.signals.leaving_us is None:
        return
    due_us = max(record.signals.leaving_us, state.source_regained_us) + _CONTRADICTED_US
    if state.source_lost_us or record.server.draining:
        due_us = now_us + _CONTRADICTED_US
    if now_us < due_us:
        _schedule_check(state, server_id, due_us)
        return
    age_ms = (now_us - record.signals.leaving_us) // 1_000
    record.signals = replace(record.signals, leaving_us=None)
    fields = (("server", server_id), ("service", record.server.service), ("age_ms", age_ms))
    effects.append(WriteLog("server_leaving_contradicted", fields))
    _count(effects, "contradicted")
    state.services_to_dispatch.add(record.server.service)


def keep_signals(state: RelayState, record: ServerRecord) -> None:
    """Keep the signals of a server that is dropped, in case its process is listed again.

    Entries lapse while the source is away, and come back although the process has not changed.
    """
    server = record.server
    state.leaving_checks = {
        key: name for key, name in state.leaving_checks.items() if name != server.server_id
    }
    if record.signals == NO_SIGNALS or not server.process_started_ms:
        return
    state.dropped_signals.pop(server.server_id, None)
    state.dropped_signals[server.server_id] = (server.process_started_ms, record.signals)
    if len(state.dropped_signals) > _MAX_DROPPED:
        del state.dropped_signals[next(iter(state.dropped_signals))]


def restore_signals(state: RelayState, record: ServerRecord, now_us: int) -> None:
    """Restore the signals of a server whose process was dropped and is listed again."""
    server = record.server
    started_ms, signals = state.dropped_signals.pop(server.server_id, (0, NO_SIGNALS))
    if not 0 < started_ms == server.process_started_ms:
        return
    record.signals = signals
    if signals.leaving_us is not None:
        _schedule_check(state, server.server_id, now_us + _CONTRADICTED_US)


def _log_signal(
    state: RelayState,
    record: ServerRecord,
    send: OpenSend,
    event: str,
    now_us: int,
    effects: Effects,
    details: tuple[tuple[str, str | int], ...] = (),
) -> None:
    server = record.server
    open_request = state.requests.get(send.request_number)
    lost_us = state.source_lost_us
    fields = (
        ("server", server.server_id),
        ("service", server.service),
        ("request", open_request.request.request_id if open_request is not None else ""),
        ("draining", server.draining),
        ("source_lost_ms", (now_us - lost_us) // 1_000 if lost_us else 0),
        ("open_sends", len(record.open_sends)),
    )
    effects.append(WriteLog(event, fields + details))


def _count(effects: Effects, signal: str) -> None:
    labels = (("signal", signal),)
    effects.append(IncrementCounter("mimosapost_relay_server_signals_total", labels))

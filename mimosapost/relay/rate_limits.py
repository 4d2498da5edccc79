"""Limits on the rate of sends to a server: of a cold server, and named by the server itself.

Both hold for all instances together. Instances see only their own sends, so each one uses its
share of the limit. Load that does not fit goes to other servers. A pause that a server asks
this instance for is a limit of nothing until its end.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import replace

from mimosapost.limits.rates import SendRate
from mimosapost.model.effects import WriteLog
from mimosapost.relay.messages import ServerAnswer
from mimosapost.relay.registry import Effects
from mimosapost.relay.server_selection import ServerRecord
from mimosapost.relay.state import RelayState

__all__ = [
    "ASSUMED_INSTANCES",
    "get_pause_us",
    "get_rate_wait_us",
    "is_paused",
    "may_send",
    "record_named_limit",
    "take_cold_send",
    "take_send",
]

#: Lowest number of instances assumed to share a cold server: it may be new to instances that
#: have met no others yet. Most known deployments have up to 33, and 6 more may be added.
ASSUMED_INSTANCES = 40
# Share of a named limit that all instances together use, because the sum of their sends varies.
_USED_SHARE = 0.85
# Lowest rate in requests per second at which all instances together try a server that names a
# lower limit. Only an answer of the server can end its limit.
_MIN_PER_SECOND = 0.25


def record_named_limit(
    state: RelayState,
    record: ServerRecord,
    sent_us: int,
    answer: ServerAnswer,
    now_us: int,
    effects: Effects,
) -> None:
    """Record the limit that a server names in an answer, or that it names none any more.

    :param sent_us: monotonic time of the send that was answered, in microseconds.
    """
    before, limit = record.signals.limit_per_second, answer.limit_per_second
    if limit is None:
        # An answer to an earlier send may have been written before the limit was named.
        is_older = sent_us <= record.signals.limit_heard_us
        if before is None or is_older or answer.not_run or answer.malformed_headers:
            return
    if limit != before:
        fields = (
            ("server", record.server.server_id),
            ("service", record.server.service),
            ("per_second", limit if limit is not None else -1),
            ("before", before if before is not None else -1),
            ("instances", _count_instances(state)),
        )
        effects.append(WriteLog("server_limit_named", fields))
    if limit is not None:
        # The rate counts from the first answer with a limit, not from the next send.
        _get_rate(state, record, now_us)
    record.signals = replace(record.signals, limit_per_second=limit, limit_heard_us=now_us)


def is_paused(record: ServerRecord, now_us: int) -> bool:
    """Return whether a server has asked this instance for a pause that has not ended."""
    return now_us < record.signals.paused_until_us


def get_pause_us(records: Collection[ServerRecord], now_us: int) -> int:
    """Return the time until the first pause of some servers ends, in microseconds.

    :returns: 0 if there is no server, or if one of them does not pause.
    """
    until_us = min((record.signals.paused_until_us for record in records), default=now_us)
    return max(0, until_us - now_us)


def may_send(state: RelayState, record: ServerRecord, now_us: int) -> bool:
    """Return whether pause and limit of a server allow a send of this instance now."""
    if is_paused(record, now_us):
        return False
    return record.signals.limit_per_second is None or not _get_wait_us(state, record, now_us)


def take_send(state: RelayState, record: ServerRecord, now_us: int) -> None:
    """Count a send to a server that :func:`may_send` allows."""
    if record.signals.limit_per_second is not None:
        _get_rate(state, record, now_us).try_take(_get_share(state, record), now_us)


def get_rate_wait_us(
    state: RelayState, records: Collection[ServerRecord], queued: int, now_us: int
) -> int | None:
    """Return the time until one of some servers allows another send of this instance.

    :param queued: number of sends that wait for the same servers.
    :returns: time in microseconds, or ``None`` if a server allows a send now.
    """
    if not records or any(may_send(state, record, now_us) for record in records):
        return None
    first_us = min(_get_wait_us(state, record, now_us) for record in records)
    if any(record.signals.limit_per_second is None for record in records):
        # The servers that only pause take all that waits.
        return first_us
    per_second = sum(_get_share(state, record) for record in records)
    return first_us + int(queued / per_second * 1e6)


def take_cold_send(
    state: RelayState, record: ServerRecord, per_second: float, now_us: int
) -> bool:
    """Count a send to a cold server, and return whether its limit allows it.

    :param per_second: limit of the cold server for all instances, in requests per second.
    """
    server_id = record.server.server_id
    rate = state.cold_rates.get(server_id)
    if rate is None:
        rate = state.cold_rates[server_id] = SendRate(now_us, state.rng)
    instances = max(ASSUMED_INSTANCES, _count_instances(state))
    return may_send(state, record, now_us) and rate.try_take(per_second / instances, now_us)


def _get_wait_us(state: RelayState, record: ServerRecord, now_us: int) -> int:
    pause_us = get_pause_us((record,), now_us)
    if record.signals.limit_per_second is None:
        return pause_us
    rate = _get_rate(state, record, now_us)
    return max(pause_us, rate.get_wait_us(_get_share(state, record), now_us))


def _get_rate(state: RelayState, record: ServerRecord, now_us: int) -> SendRate:
    if record.send_rate is None:
        record.send_rate = SendRate(now_us, state.rng)
    return record.send_rate


def _get_share(state: RelayState, record: ServerRecord) -> float:
    """Return the part of a named limit that this instance may use, in requests per second."""
    limit = max(record.signals.limit_per_second, _MIN_PER_SECOND)
    return limit * _USED_SHARE / _count_instances(state)


def _count_instances(state: RelayState) -> int:
    """Return the number of instances, including those that were silent for a short time.

    An instance that has just started knows at least how many seeds there are.
    """
    if state.peers is None:
        return 1
    return max(1 + len(state.peers.members.list_members()), len(state.peers.seed_addresses))

"""What a server process has asked for in its answers.

These signals are kept apart from what an instance concludes from answer times and failures: a
server that leaves answers as quickly as ever, so nothing else shows that it is about to end.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["NO_SIGNALS", "ServerSignals"]


@dataclass(frozen=True, slots=True)
class ServerSignals:
    """Signals of one server process, from its answers to this instance.

    :param leaving_us: monotonic time of the last answer that stated that the server is leaving,
        in microseconds; ``None`` if there was none.
    :param paused_until_us: monotonic time until which the server wants no requests of this
        instance, in microseconds.
    :param limit_per_second: requests per second that the server takes from all instances
        together; ``None`` if it names no limit.
    :param limit_heard_us: monotonic time of the last answer that was considered for that, in
        microseconds.
    """

    leaving_us: int | None = None
    paused_until_us: int = 0
    limit_per_second: float | None = None
    limit_heard_us: int = 0


#: Signals of a server that has asked for nothing.
NO_SIGNALS = ServerSignals()

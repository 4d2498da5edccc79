"""Silent connections, slow servers and dead servers must not be confused.

A slow server that is treated as silent loses the work of its sends; a silent connection that is
treated as slow delays its sends until their deadline.
"""

import pytest

from mimosapost.routing.silence_detection import SilenceAction, SilenceDetector

SERVER = "10.0.0.1:80"
MS = 1_000


def run_steps(steps):
    """Run steps "time in ms, call, argument"; a step "-> action" checks ``choose_action``."""
    detector = SilenceDetector()
    for step in filter(None, steps.split("; ")):
        at_ms, call, *argument = step.split()
        now_us = int(at_ms) * MS
        if call == "sent":
            detector.record_sent(SERVER, int(argument[0]), now_us)
        elif call == "bytes":
            detector.record_bytes(SERVER, int(argument[0]), now_us)
        elif call == "done":
            detector.record_done(SERVER, int(argument[0]), now_us)
        elif call == "->":
            assert (step, detector.choose_action(SERVER, now_us)) == (
                step,
                SilenceAction(argument[0]),
            )
        else:
            assert call in ("answered", "unanswered")
            detector.record_probe(SERVER, call == "answered", now_us)


ANSWERS_ARRIVING = "".join(
    f"{n}00 sent {n}; {n}50 bytes {n}; {n}51 done {n}; {n}52 -> none; " for n in range(2, 9)
)

CASES = {
    "unknown server": "0 -> none",
    "send not yet quiet for long enough": "0 sent 1; 499 -> none",
    "silent connection": (
        "0 sent 1; 500 -> probe; 510 -> none; 520 answered; 600 -> none; 620 -> close; "
        "630 -> none"
    ),
    "dead server": (
        "0 sent 1; 500 -> probe; 600 unanswered; 601 -> dead; 1400 -> dead; "
        "1500 -> probe; 1501 -> dead"
    ),
    "dead server answers again": (
        "0 sent 1; 500 -> probe; 600 unanswered; 1500 -> probe; 1510 answered; "
        "1520 -> none; 1610 -> close; 1620 -> none"
    ),
    "server is no longer dead after a byte": (
        "0 sent 1; 500 -> probe; 600 unanswered; 700 bytes 1; 701 -> none"
    ),
    "slow server: old send answers after the probe": (
        "0 sent 1; 500 -> probe; 520 answered; 560 bytes 1; 700 -> none; 1200 -> none"
    ),
    "slow server: old send answers before the probe does": (
        "0 sent 1; 500 -> probe; 510 bytes 1; 520 answered; 700 -> none"
    ),
    "slow server: other answers arrive": "0 sent 1; 0 sent 21; " + ANSWERS_ARRIVING,
    "slow server: known to take 800 ms": (
        "0 sent 1; 500 -> probe; 520 answered; 620 -> close; 800 bytes 1; 801 done 1; "
        "1000 sent 2; 1700 -> none; 1800 bytes 2"
    ),
    "slow server: one of two old sends answers": (
        "0 sent 1; 0 sent 2; 500 -> probe; 520 answered; 560 bytes 2; 700 -> none; 1600 -> none"
    ),
    "slow server: one send takes 3 s while other answers arrive": "0 sent 1; "
    + ANSWERS_ARRIVING
    + "2900 -> none; 3000 bytes 1",
    "slow server: heavy requests among light ones": "0 sent 100; 400 bytes 100; "
    + "1000 sent 101; 1000 sent 102; "
    + "".join(f"{1000 + n} sent {200 + n}; {1000 + n} bytes {200 + n}; " for n in range(500))
    + "2150 -> none; 2200 bytes 101",
    "silent connections among working ones": "0 sent 1; 0 sent 21; "
    + ANSWERS_ARRIVING
    + "1000 -> probe; 1005 sent 9; 1010 answered; 1050 bytes 9; 1110 -> close",
    "silent connections whose sends hedges withdrew": (
        "0 sent 1; 200 done 1; 300 sent 2; 500 done 2; 600 sent 3; 690 -> none; "
        "700 -> probe; 710 answered; 810 -> close"
    ),
    "idle after a withdrawn send": "0 sent 1; 5 done 1; 9000 -> none",
    "answered and idle": (
        "0 sent 1; 5 bytes 1; 6 done 1; 9000 -> none; 9001 sent 2; 9400 -> none"
    ),
    "no result of the probe recorded": "0 sent 1; 500 -> probe; 5400 -> none; 5500 -> probe",
}


@pytest.mark.parametrize("name", CASES)
def test_silence_decisions(name):
    """A slow server must not be treated as silent, nor a silent connection as slow.

    Each of these changes makes the case in parentheses fail: ``_ANSWERING_SILENCE_FACTOR`` or
    ``_ANSWERING_MIN_SENDS`` becomes 1 (other answers arrive), ``_SLOWEST_FACTOR`` becomes 0
    (heavy requests), ``if entry.bytes_us > oldest_us:`` becomes ``if False:`` (silent among
    working ones), ``or send_id in entry.watched`` is dropped (old send answers),
    ``entry.quiet_us +=`` becomes ``=`` (hedges withdrew) or ``entry.late[send_id] =`` is
    dropped (known to take 800 ms).
    """
    run_steps(CASES[name])


def test_watched_and_removed_servers():
    """A server that the configuration no longer contains must not use memory.

    Fails when ``self._servers.pop(server, None)`` is dropped.
    """
    detector = SilenceDetector()
    detector.record_sent(SERVER, 1, 0)
    assert detector.list_watched_servers() == (SERVER,)
    detector.record_done(SERVER, 1)
    assert detector.list_watched_servers() == ()
    detector.remove_server(SERVER)
    assert detector._servers == {}


def test_server_is_dead_after_a_failed_probe():
    """A server whose probe failed must count as dead, so that it gets no sends.

    Fails without ``entry.dead = not answered``.
    """
    detector = SilenceDetector()
    detector.record_sent(SERVER, 1, 0)
    assert detector.choose_action(SERVER, 500 * MS) is SilenceAction.PROBE
    assert not detector.is_dead(SERVER)
    detector.record_probe(SERVER, False, 600 * MS)
    assert detector.is_dead(SERVER)
    assert detector.list_watched_servers() == (SERVER,)

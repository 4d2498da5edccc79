import pytest

from mimosapost.routing.silence import SilenceAction, SilenceBook

SERVER = "10.0.0.1:80"
MS = 1_000
NONE, PROBE, CLOSE, DEAD = (
    SilenceAction.NONE,
    SilenceAction.PROBE,
    SilenceAction.CLOSE,
    SilenceAction.DEAD,
)


def run(steps):
    """Run (ms, call, argument) steps; return the actions of the ``decide`` steps."""
    book = SilenceBook()
    actions = []
    for at_ms, call, argument in steps:
        now_us = at_ms * MS
        if call == "sent":
            book.record_sent(SERVER, argument, now_us)
        elif call == "bytes":
            book.record_bytes(SERVER, argument, now_us)
        elif call == "done":
            book.record_done(SERVER, argument, now_us)
        elif call == "probed":
            book.record_probe(SERVER, argument, now_us)
        else:
            actions.append((book.decide(SERVER, now_us), argument))
    return actions


ANSWERS_ARRIVING = [
    step
    for number in range(2, 9)
    for step in (
        (number * 100, "sent", number),
        (number * 100 + 50, "bytes", number),
        (number * 100 + 51, "done", number),
        (number * 100 + 52, "decide", NONE),
    )
]

CASES = {
    "unknown server": [(0, "decide", NONE)],
    "young send": [(0, "sent", 1), (499, "decide", NONE)],
    "silent connection": [
        (0, "sent", 1),
        (500, "decide", PROBE),
        (510, "decide", NONE),
        (520, "probed", True),
        (600, "decide", NONE),
        (620, "decide", CLOSE),
        (630, "decide", NONE),
    ],
    "dead server": [
        (0, "sent", 1),
        (500, "decide", PROBE),
        (600, "probed", False),
        (601, "decide", DEAD),
        (1400, "decide", DEAD),
        (1500, "decide", PROBE),
        (1501, "decide", DEAD),
    ],
    "dead server returns": [
        (0, "sent", 1),
        (500, "decide", PROBE),
        (600, "probed", False),
        (1500, "decide", PROBE),
        (1510, "probed", True),
        (1520, "decide", NONE),
        (1610, "decide", CLOSE),
        (1620, "decide", NONE),
    ],
    "dead verdict withdrawn by a byte": [
        (0, "sent", 1),
        (500, "decide", PROBE),
        (600, "probed", False),
        (700, "bytes", 1),
        (701, "decide", NONE),
    ],
    "slow server: old send answers after the probe": [
        (0, "sent", 1),
        (500, "decide", PROBE),
        (520, "probed", True),
        (560, "bytes", 1),
        (700, "decide", NONE),
        (1200, "decide", NONE),
    ],
    "slow server: old send answers before the probe does": [
        (0, "sent", 1),
        (500, "decide", PROBE),
        (510, "bytes", 1),
        (520, "probed", True),
        (700, "decide", NONE),
    ],
    "slow server: other answers arrive": [
        (0, "sent", 1),
        (0, "sent", 21),
        *ANSWERS_ARRIVING,
    ],
    "slow server: known to take 800 ms": [
        (0, "sent", 1),
        (500, "decide", PROBE),
        (520, "probed", True),
        (620, "decide", CLOSE),
        (800, "bytes", 1),
        (801, "done", 1),
        (1000, "sent", 2),
        (1700, "decide", NONE),
        (1800, "bytes", 2),
    ],
    "slow server: one of two old sends answers": [
        (0, "sent", 1),
        (0, "sent", 2),
        (500, "decide", PROBE),
        (520, "probed", True),
        (560, "bytes", 2),
        (700, "decide", NONE),
        (1600, "decide", NONE),
    ],
    "slow server: one send takes 3 s while other answers arrive": [
        (0, "sent", 1),
        *ANSWERS_ARRIVING,
        (2900, "decide", NONE),
        (3000, "bytes", 1),
    ],
    "slow server: heavy requests among light ones": [
        (0, "sent", 100),
        (400, "bytes", 100),
        (1000, "sent", 101),
        (1000, "sent", 102),
        *[
            (1000 + step // 2, ("sent", "bytes")[step % 2], 200 + step // 2)
            for step in range(1000)
        ],
        (2150, "decide", NONE),
        (2200, "bytes", 101),
    ],
    "silent connections among working ones": [
        (0, "sent", 1),
        (0, "sent", 21),
        *ANSWERS_ARRIVING,
        (1000, "decide", PROBE),
        (1005, "sent", 9),
        (1010, "probed", True),
        (1050, "bytes", 9),
        (1110, "decide", CLOSE),
    ],
    "silent connections whose sends hedges withdrew": [
        (0, "sent", 1),
        (200, "done", 1),
        (300, "sent", 2),
        (500, "done", 2),
        (600, "sent", 3),
        (690, "decide", NONE),
        (700, "decide", PROBE),
        (710, "probed", True),
        (810, "decide", CLOSE),
    ],
    "idle after a withdrawn send": [
        (0, "sent", 1),
        (5, "done", 1),
        (9000, "decide", NONE),
    ],
    "answered and idle": [
        (0, "sent", 1),
        (5, "bytes", 1),
        (6, "done", 1),
        (9000, "decide", NONE),
        (9001, "sent", 2),
        (9400, "decide", NONE),
    ],
    "result of the probe lost": [
        (0, "sent", 1),
        (500, "decide", PROBE),
        (5400, "decide", NONE),
        (5500, "decide", PROBE),
    ],
}


@pytest.mark.parametrize("name", CASES)
def test_case(name):
    """Guards against taking a slow server for silent or a silent connection for slow.

    Fails when ``_ANSWERING_FACTOR`` or ``_ANSWERING_SENDS`` becomes 1 (other answers arrive),
    ``_SLOW_FACTOR`` becomes 0 (heavy requests), ``if entry.bytes_us > oldest_us:`` becomes
    ``if False:`` (silent among working ones) or ``or send_id in entry.watched`` is dropped
    (old send answers after the probe).
    """
    actions = run(CASES[name])
    assert [action for action, _ in actions] == [expected for _, expected in actions]


def test_watched_and_forgotten_servers():
    """Guards against memory for servers that the configuration no longer names."""
    book = SilenceBook()
    book.record_sent(SERVER, 1, 0)
    assert book.get_watched() == (SERVER,)
    book.record_done(SERVER, 1)
    assert book.get_watched() == ()
    book.forget(SERVER)
    assert book._servers == {}


def test_dead_server_is_not_live():
    book = SilenceBook()
    book.record_sent(SERVER, 1, 0)
    assert book.decide(SERVER, 500 * MS) is PROBE
    assert not book.is_dead(SERVER)
    book.record_probe(SERVER, False, 600 * MS)
    assert book.is_dead(SERVER)
    assert book.get_watched() == (SERVER,)

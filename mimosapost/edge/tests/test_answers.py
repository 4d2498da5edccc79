"""Guards what a server's response proves: a wrong "not run" lets a request run twice."""

from __future__ import annotations

import json

import pytest

from mimosapost.edge.answers import Rejection, judge_response
from mimosapost.model.codes import FailureKind, RunState
from mimosapost.model.queries import SubRequest


def create_request() -> SubRequest:
    fields = dict.fromkeys(SubRequest.__dataclass_fields__)
    return SubRequest(**(fields | {"request_id": "r1", "leaf": "leaf-0"}))


def encode(**fields) -> bytes:
    return json.dumps({"request_id": "r1", "boot_id": "b1"} | fields).encode()


@pytest.mark.parametrize(
    ("status", "raw", "proven", "cancelled", "outcome", "run"),
    [
        (200, None, True, False, FailureKind.TOO_LARGE, RunState.UNKNOWN),
        (200, b"{broken", True, False, FailureKind.MALFORMED, RunState.UNKNOWN),
        (499, encode(), False, True, FailureKind.WITHDRAWN, RunState.UNKNOWN),
        (499, encode(), False, False, FailureKind.MALFORMED, RunState.UNKNOWN),
        (503, encode(), True, False, FailureKind.SHED, RunState.NOT_RUN),
        (503, encode(), False, False, FailureKind.SHED, RunState.UNKNOWN),
        (503, encode(request_id="r2"), True, False, FailureKind.MALFORMED, RunState.UNKNOWN),
        (409, encode(), False, False, FailureKind.MALFORMED, RunState.NOT_RUN),
        (409, encode(request_id="r2"), False, False, FailureKind.MALFORMED, RunState.UNKNOWN),
        (500, encode(), True, False, FailureKind.MALFORMED, RunState.UNKNOWN),
    ],
)
def test_what_a_failure_proves(status, raw, proven, cancelled, outcome, run):
    judgement = judge_response(status, raw, create_request(), proven, cancelled)
    assert (judgement.outcome, judgement.run) == (outcome, run)


def test_a_newer_snapshot_is_told():
    raw = encode(held_map_version=3, held_index_version=4)
    judgement = judge_response(409, raw, create_request(), False, False)
    assert judgement.run is RunState.NOT_RUN
    assert isinstance(judgement.outcome, Rejection)
    assert judgement.outcome.held_index_version == 4

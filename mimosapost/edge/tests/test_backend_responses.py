"""Tests of the run state that follows from a backend server's response.

A response that is wrongly classified as "not run" lets a retry run the request twice.
"""

from __future__ import annotations

import json

import pytest

from mimosapost.edge.backend_responses import Rejection, classify_response
from mimosapost.model.codes import FailureKind, RunState
from mimosapost.model.queries import SubRequest


def create_request() -> SubRequest:
    fields = dict.fromkeys(SubRequest.__dataclass_fields__)
    return SubRequest(**(fields | {"request_id": "r1", "leaf": "leaf-0"}))


def encode(**fields) -> bytes:
    return json.dumps({"request_id": "r1", "boot_id": "b1"} | fields).encode()


@pytest.mark.parametrize(
    ("status", "raw", "not_run_proven", "cancel_requested", "outcome", "run"),
    [
        pytest.param(
            200, None, True, False, FailureKind.TOO_LARGE, RunState.UNKNOWN, id="too_large"
        ),
        pytest.param(
            200,
            b"{broken",
            True,
            False,
            FailureKind.MALFORMED,
            RunState.UNKNOWN,
            id="invalid_json",
        ),
        pytest.param(
            499,
            encode(),
            False,
            True,
            FailureKind.WITHDRAWN,
            RunState.UNKNOWN,
            id="cancelled_after_cancellation",
        ),
        pytest.param(
            499,
            encode(),
            False,
            False,
            FailureKind.MALFORMED,
            RunState.UNKNOWN,
            id="cancelled_without_cancellation",
        ),
        pytest.param(
            503, encode(), True, False, FailureKind.SHED, RunState.NOT_RUN, id="shed_with_proof"
        ),
        pytest.param(
            503,
            encode(),
            False,
            False,
            FailureKind.SHED,
            RunState.UNKNOWN,
            id="shed_without_proof",
        ),
        pytest.param(
            503,
            encode(request_id="r2"),
            True,
            False,
            FailureKind.MALFORMED,
            RunState.UNKNOWN,
            id="shed_for_other_request",
        ),
        pytest.param(
            409,
            encode(),
            False,
            False,
            FailureKind.MALFORMED,
            RunState.NOT_RUN,
            id="conflict_without_versions",
        ),
        pytest.param(
            409,
            encode(request_id="r2"),
            False,
            False,
            FailureKind.MALFORMED,
            RunState.UNKNOWN,
            id="conflict_for_other_request",
        ),
        pytest.param(
            500,
            encode(),
            True,
            False,
            FailureKind.MALFORMED,
            RunState.UNKNOWN,
            id="server_error_despite_proof",
        ),
    ],
)
def test_run_state_of_failures(status, raw, not_run_proven, cancel_requested, outcome, run):
    response = classify_response(
        status, raw, create_request(), not_run_proven, cancel_requested
    )
    assert (response.outcome, response.run) == (outcome, run)


def test_conflict_reports_the_held_snapshot():
    """Without the held version the query could not be repeated on that snapshot."""
    raw = encode(held_map_version=3, held_index_version=4)
    response = classify_response(409, raw, create_request(), False, False)
    assert response.run is RunState.NOT_RUN
    assert isinstance(response.outcome, Rejection)
    assert response.outcome.held_index_version == 4

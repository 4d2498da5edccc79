"""Numbered result codes, run states and reasons for missing leafs."""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import NamedTuple

__all__ = [
    "Explanation",
    "FailureKind",
    "MissingReason",
    "Priority",
    "ResultCode",
    "RunState",
    "get_explanation",
    "get_http_status",
    "get_missing_reason_meaning",
]


class RunState(Enum):
    """What is known about the execution of a request on backend servers."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Priority(IntEnum):
    """Priority class of a query; queries with lower values are served first."""

    URGENT = 0
    NORMAL = 1
    BACKGROUND = 2


class ResultCode(IntEnum):
    """Result code of a query; codes of one kind share the first digit."""

    COMPLETE = 1000
    PARTIAL = 1001
    MALFORMED_REQUEST = 2001
    REQUEST_TOO_LARGE = 2002
    UNKNOWN_SERVICE = 2003
    UNKNOWN_CALLER = 2004
    CALLER_NOT_ALLOWED = 2005
    TICKET_REQUIRED = 2007
    TICKET_REUSED = 2008
    TICKET_INVALID = 2009
    OVERLOADED = 3001
    CALLER_LIMIT = 3002
    DEADLINE_TOO_SHORT = 3003
    COVERAGE_TOO_LOW = 3004
    REQUEST_REFUSED = 3005
    STOPPING = 3006
    NOT_CONFIGURED = 3007
    TICKETS_EXHAUSTED = 3008
    CALLER_GONE = 3009
    ISSUER_UNREACHABLE = 4001
    TICKET_EXPIRED = 4002
    DEADLINE_EXCEEDED = 4003
    OUTCOME_UNKNOWN = 4004
    ANSWER_TOO_LARGE = 5001
    INTERNAL_ERROR = 5002


_HTTP_STATUS = {
    ResultCode.COMPLETE: 200,
    ResultCode.PARTIAL: 200,
    ResultCode.MALFORMED_REQUEST: 400,
    ResultCode.REQUEST_TOO_LARGE: 413,
    ResultCode.UNKNOWN_SERVICE: 404,
    ResultCode.UNKNOWN_CALLER: 401,
    ResultCode.CALLER_NOT_ALLOWED: 403,
    ResultCode.TICKET_REQUIRED: 428,
    ResultCode.TICKET_REUSED: 409,
    ResultCode.TICKET_INVALID: 400,
    ResultCode.OVERLOADED: 503,
    ResultCode.CALLER_LIMIT: 429,
    ResultCode.DEADLINE_TOO_SHORT: 503,
    ResultCode.COVERAGE_TOO_LOW: 503,
    ResultCode.REQUEST_REFUSED: 422,
    ResultCode.STOPPING: 503,
    ResultCode.NOT_CONFIGURED: 503,
    ResultCode.TICKETS_EXHAUSTED: 503,
    ResultCode.CALLER_GONE: 499,
    ResultCode.ISSUER_UNREACHABLE: 504,
    ResultCode.TICKET_EXPIRED: 410,
    ResultCode.DEADLINE_EXCEEDED: 504,
    ResultCode.OUTCOME_UNKNOWN: 504,
    ResultCode.ANSWER_TOO_LARGE: 507,
    ResultCode.INTERNAL_ERROR: 500,
}


def get_http_status(code: ResultCode) -> int:
    """Return the HTTP status of answers with a result code.

    :param code: result code of a query.
    :returns: HTTP status code.

    >>> get_http_status(ResultCode.TICKET_REQUIRED)
    428
    """
    return _HTTP_STATUS[code]


class Explanation(NamedTuple):
    """Possible run states, meaning and advice for a result code, for the reference page.

    :param runs: run states that occur with the code; the ``run`` field of each answer states
        the actual one.
    :param meaning: what happened.
    :param action: what the caller should do.
    """

    runs: tuple[RunState, ...]
    meaning: str
    action: str


_NOT_RUN = (RunState.NOT_RUN,)
_RAN = (RunState.RAN,)
_UNKNOWN = (RunState.UNKNOWN,)
_EXPLANATIONS = {
    ResultCode.COMPLETE: Explanation(
        _RAN, "The result covers every leaf of the service.", "Use the result."
    ),
    ResultCode.PARTIAL: Explanation(
        _RAN,
        "The result covers the listed leafs only; the others are listed with reasons.",
        "Use the result for the covered leafs, or send the request again if it is repeatable.",
    ),
    ResultCode.MALFORMED_REQUEST: Explanation(
        _NOT_RUN, "The request violates the protocol.", "Correct the request."
    ),
    ResultCode.REQUEST_TOO_LARGE: Explanation(
        _NOT_RUN, "Body, headers or nesting depth exceed the limit.", "Send a smaller request."
    ),
    ResultCode.UNKNOWN_SERVICE: Explanation(
        _NOT_RUN, "No team publishes a service of this name.", "Correct the name."
    ),
    ResultCode.UNKNOWN_CALLER: Explanation(
        _NOT_RUN, "Caller or bearer token is missing or unknown.", "Correct the credentials."
    ),
    ResultCode.CALLER_NOT_ALLOWED: Explanation(
        _NOT_RUN, "The caller may not use this service.", "Ask the team of the service."
    ),
    ResultCode.TICKET_REQUIRED: Explanation(
        _NOT_RUN,
        "A request that must not be repeated came without a ticket.",
        "Send it again with the ticket of this answer.",
    ),
    ResultCode.TICKET_REUSED: Explanation(
        _NOT_RUN,
        "The ticket belongs to another request; this request did not run.",
        "Send it again with a new ticket.",
    ),
    ResultCode.TICKET_INVALID: Explanation(
        _NOT_RUN,
        "The ticket is malformed or belongs to another caller.",
        "Send it again with a ticket of this caller.",
    ),
    ResultCode.OVERLOADED: Explanation(
        _NOT_RUN, "The queue of the instance is full.", "Send again after a random delay."
    ),
    ResultCode.CALLER_LIMIT: Explanation(
        _NOT_RUN,
        "The caller already has its maximum number of open queries.",
        "Wait for answers before sending more.",
    ),
    ResultCode.DEADLINE_TOO_SHORT: Explanation(
        _NOT_RUN,
        "The request could not finish before its deadline.",
        "Send again with a longer deadline or later.",
    ),
    ResultCode.COVERAGE_TOO_LOW: Explanation(
        (RunState.NOT_RUN, RunState.RAN, RunState.UNKNOWN),
        "Fewer leafs are covered than the caller accepts.",
        "Accept a lower coverage, "
        "or send the request again if it did not run or is repeatable.",
    ),
    ResultCode.REQUEST_REFUSED: Explanation(
        (RunState.NOT_RUN, RunState.UNKNOWN),
        "The request was in flight when backend servers crashed, and is refused for 60 s or"
        " longer.",
        "Don't send it again; report it to the team of the service.",
    ),
    ResultCode.STOPPING: Explanation(
        _NOT_RUN, "The instance is stopping.", "Send it to another instance."
    ),
    ResultCode.NOT_CONFIGURED: Explanation(
        _NOT_RUN, "The instance has no settings yet.", "Send it to another instance."
    ),
    ResultCode.TICKETS_EXHAUSTED: Explanation(
        _NOT_RUN,
        "The instance holds its maximum number of tickets.",
        "Send again later or to another instance.",
    ),
    ResultCode.CALLER_GONE: Explanation(
        (RunState.NOT_RUN, RunState.RAN, RunState.UNKNOWN),
        "The caller closed its connection; only logs and metrics show this code.",
        "Treat a broken connection as an unknown outcome.",
    ),
    ResultCode.ISSUER_UNREACHABLE: Explanation(
        _UNKNOWN,
        "The instance that issued the ticket has stopped or is unreachable; "
        "the request was not sent again.",
        "Find out by other means whether the request ran.",
    ),
    ResultCode.TICKET_EXPIRED: Explanation(
        _UNKNOWN,
        "The ticket is no longer stored, so an earlier run cannot be ruled out.",
        "Find out whether the request ran, then send it with a new ticket.",
    ),
    ResultCode.DEADLINE_EXCEEDED: Explanation(
        (RunState.NOT_RUN, RunState.UNKNOWN),
        "The deadline passed before there was a result.",
        "Send the request again if it did not run or is repeatable.",
    ),
    ResultCode.OUTCOME_UNKNOWN: Explanation(
        _UNKNOWN,
        "The request was sent to backend servers and its outcome is not known.",
        "Find out whether it ran; the instance did not send it again.",
    ),
    ResultCode.ANSWER_TOO_LARGE: Explanation(
        _RAN, "The merged result exceeds the size limit.", "Ask for fewer items."
    ),
    ResultCode.INTERNAL_ERROR: Explanation(
        _UNKNOWN,
        "The instance failed with an internal error.",
        "Report the error; send the request again if it is repeatable.",
    ),
}


def get_explanation(code: ResultCode) -> Explanation:
    """Return the possible run states, meaning and advice for a result code.

    :param code: result code of a query.
    :returns: its explanation.

    >>> get_explanation(ResultCode.STOPPING).action
    'Send it to another instance.'
    """
    return _EXPLANATIONS[code]


class MissingReason(IntEnum):
    """Why an answer does not cover a leaf."""

    TIMED_OUT = 6001
    NO_ELIGIBLE_SLOT = 6002
    SNAPSHOT_GONE = 6003
    SERVER_REFUSED = 6004
    CONNECTION_FAILED = 6005
    LIMIT_REACHED = 6006
    REQUEST_SUSPECT = 6007
    OUTCOME_UNKNOWN = 6008
    MALFORMED_ANSWER = 6009
    ANSWER_TOO_LARGE = 6010
    STOPPED = 6011


_MEANINGS = {
    MissingReason.TIMED_OUT: "No slot answered before the deadline.",
    MissingReason.NO_ELIGIBLE_SLOT: "Every slot was out of service, leaving or down.",
    MissingReason.SNAPSHOT_GONE: "No slot still holds the snapshot pinned for the query.",
    MissingReason.SERVER_REFUSED: "Backend servers refused the sub-request.",
    MissingReason.CONNECTION_FAILED: "Connections failed and no retry was possible.",
    MissingReason.LIMIT_REACHED: "The limits of the backend servers allowed no send in time.",
    MissingReason.REQUEST_SUSPECT: "The request is suspected of crashing backend servers.",
    MissingReason.OUTCOME_UNKNOWN: "A sub-request may have run and must not be sent again.",
    MissingReason.MALFORMED_ANSWER: "The answer of a server violated the protocol.",
    MissingReason.ANSWER_TOO_LARGE: "The answer of a server exceeded the size limit.",
    MissingReason.STOPPED: "The instance stopped before the leaf was answered.",
}


def get_missing_reason_meaning(reason: MissingReason) -> str:
    """Return one sentence that explains why a leaf is missing from an answer.

    :param reason: reason reported for the leaf.
    :returns: sentence for the reference page.
    """
    return _MEANINGS[reason]


class FailureKind(Enum):
    """Why a send ended without an answer.

    ``REFUSED`` means that no connection was opened, ``SHED`` that the server rejected the
    request with status 503, and ``WITHDRAWN`` that the instance cancelled the send. ``RESET``
    is a connection error. ``CLOSED`` is a connection that either side closed, or any other
    failure.
    """

    REFUSED = "refused"
    RESET = "reset"
    SHED = "shed"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    WITHDRAWN = "withdrawn"
    CLOSED = "closed"

"""Numbered result codes, run states and reasons for missing leafs."""

from __future__ import annotations

from enum import Enum, IntEnum

__all__ = ["FailureKind", "MissingReason", "Priority", "ResultCode", "RunState", "get_status"]


class RunState(Enum):
    """What is known about the execution of a request on backend servers."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Priority(IntEnum):
    """Priority class of a query; lower values are served first."""

    URGENT = 0
    NORMAL = 1
    BACKGROUND = 2


class ResultCode(IntEnum):
    """Result of a query. The hundreds group codes of one kind."""

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


_STATUS = {
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


def get_status(code: ResultCode) -> int:
    """Return the HTTP status that carries a result code.

    :param code: result code of a query.
    :returns: HTTP status code.

    >>> get_status(ResultCode.TICKET_REQUIRED)
    428
    """
    return _STATUS[code]


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


class FailureKind(Enum):
    """How a send ended without an answer."""

    REFUSED = "refused"
    RESET = "reset"
    SHED = "shed"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    WITHDRAWN = "withdrawn"
    CLOSED = "closed"

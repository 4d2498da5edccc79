"""A caller's request, a server's answer, and the reply to the caller."""

from __future__ import annotations

from dataclasses import dataclass

from mimosapost.model.codes import ResultCode

__all__ = [
    "BackendServer",
    "GatheredReply",
    "LoadReport",
    "PassedReply",
    "Refusal",
    "RelayRequest",
    "Reply",
    "ServerAnswer",
]


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server as the platform lists it.

    :param server_id: name of one run of the server.
    :param address: ``ip:port``.
    :param slots: requests that it runs at the same time.
    :param cold_for_us: how much longer it said it stays cold, when it was listed.
    :param born_ms: start of the process, Unix milliseconds; tells runs of one id apart.
    """

    server_id: str
    service: str
    address: str
    domain: str
    slots: int
    draining: bool = False
    cold_for_us: int = 0
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """One attempt of a caller.

    :param number: number of the request, unique within the process.
    :param request_id: the caller's own id of this attempt, echoed by servers.
    :param host: value of the host header.
    :param target: path and query as sent.
    :param deadline_us: monotonic time until which the caller waits.
    :param head: request line and headers for servers, without the blank line at the end.
    :param fingerprint: hash of method, target and body, equal for a request sent again.
    """

    number: int
    request_id: str
    host: str
    target: str
    deadline_us: int
    head: bytes
    body: bytes
    fingerprint: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a server said of its load in an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class ServerAnswer:
    """A whole answer of a server.

    :param headers: headers that are passed to the caller, names in lower case.
    :param signature: the server's signature of this answer, empty if it has none.
    :param not_run: the server states that it did not run the request.
    :param misdirected: another server has the address now; the request did not run.
    :param closing: the server asked to close the connection.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    signature: str = ""
    not_run: bool = False
    misdirected: bool = False
    closing: bool = False
    load: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class Reply:
    """Final reply to a caller."""

    code: ResultCode


@dataclass(frozen=True, slots=True)
class PassedReply(Reply):
    """A server's answer, unchanged."""

    answer: ServerAnswer


@dataclass(frozen=True, slots=True)
class GatheredReply(Reply):
    """Merged records of the shards that answered."""

    signatures: tuple[str, ...]
    missing: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Refusal(Reply):
    """No answer of a server.

    :param retry_after_us: when the caller may come back; only for a request that did not run.
    """

    retry_after_us: int = 0
    detail: str = ""

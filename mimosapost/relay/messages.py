"""Messages of the relay: caller requests, server answers and replies to callers."""

from __future__ import annotations

from dataclasses import dataclass, field

from mimosapost.model.codes import ResultCode

__all__ = [
    "BackendServer",
    "CallerPath",
    "ForwardedReply",
    "GatheredReply",
    "LoadReport",
    "Refusal",
    "RelayRequest",
    "Reply",
    "ServerAnswer",
]


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server as listed by the platform.

    :param server_id: id of the server; a restarted server may keep it.
    :param address: ``ip:port``.
    :param slots: number of requests that the server runs concurrently.
    :param cold_remaining_us: remaining time that the server stays cold, as reported in its
        entry.
    :param process_started_ms: start of the server process in Unix milliseconds; distinguishes
        processes that use the same id.
    """

    server_id: str
    service: str
    address: str
    domain: str
    slots: int
    draining: bool = False
    cold_remaining_us: int = 0
    process_started_ms: int = 0


@dataclass(frozen=True, slots=True)
class CallerPath:
    """Way between a caller and this instance, as seen from the connection of a request.

    :param received_us: monotonic time at which the connection was accepted, or at which the
        first bytes of a later request were read.
    :param round_trip_us: round trip of the connection in microseconds; 0 if it is unknown.
    :param variation_us: mean deviation of that time in microseconds.
    :param is_new: whether the request is the first one of its connection.
    """

    received_us: int
    round_trip_us: int = 0
    variation_us: int = 0
    is_new: bool = False


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """One attempt of a caller to run a request.

    :param request_number: number of the request, unique within this process.
    :param request_id: id that the caller gave this attempt; servers echo it.
    :param host: value of the Host header.
    :param target: path and query string as the caller sent them.
    :param deadline_us: monotonic time by which the caller expects the reply.
    :param head: request line and headers sent to servers, without the final blank line.
    :param fingerprint: hash of method, target, host and body; repeats of a request share it.
    :param key_digest: digest of the key of the caller's workspace; empty without one key.
    :param workspace_lines: header lines in which the caller names its workspace; they are sent
        to servers only where the configuration has no workspaces.
    :param caller_path: way to the caller; ``None`` if it is unknown.
    """

    request_number: int
    request_id: str
    host: str
    target: str
    deadline_us: int
    head: bytes
    body: bytes
    fingerprint: int
    key_digest: bytes = field(default=b"", repr=False)
    workspace_lines: bytes = field(default=b"", repr=False)
    caller_path: CallerPath | None = None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a server reported in an answer.

    :param work_time_percent: time that work takes on the server's machine, which it shares with
        others, in percent of the usual time; ``None`` if the server does not tell it.
    :param is_odd: whether the server told a value of it that can't be used.
    """

    running: int
    waiting: int
    slots: int
    work_time_percent: int | None = None
    is_odd: bool = False


@dataclass(frozen=True, slots=True)
class ServerAnswer:
    """A complete answer of a server.

    :param headers: headers that are forwarded to the caller, with names in lower case.
    :param signature: the server's signature of the answer; empty if it is unsigned.
    :param not_run: whether the server states that it did not run the request.
    :param misdirected: whether the address now belongs to another server; the request did not
        run.
    :param closing: whether the server asked to close the connection.
    :param limit_per_second: requests per second that the server takes from all instances
        together; ``None`` if it names no limit.
    :param leaving: whether the server states that it will end and wants no further requests.
    :param pause_us: time in microseconds for which the server wants no requests of this
        instance; 0 if it asks for no pause.
    :param malformed_headers: names of headers that were ignored because of their values.
    :param unproven_refusal: whether callers read the status as a statement that the request did
        not run, although the server does not state it.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    signature: str = ""
    not_run: bool = False
    misdirected: bool = False
    closing: bool = False
    load: LoadReport | None = None
    limit_per_second: float | None = None
    leaving: bool = False
    pause_us: int = 0
    malformed_headers: tuple[str, ...] = ()
    unproven_refusal: bool = False


@dataclass(frozen=True, slots=True)
class Reply:
    """Base class of the final replies to a caller."""

    code: ResultCode


@dataclass(frozen=True, slots=True)
class ForwardedReply(Reply):
    """A server's answer, forwarded unchanged."""

    answer: ServerAnswer


@dataclass(frozen=True, slots=True)
class GatheredReply(Reply):
    """Records merged from the shards that answered."""

    signatures: tuple[str, ...]
    missing: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Refusal(Reply):
    """An error reply created by the instance instead of a server.

    :param retry_after_us: time after which the caller may retry, in microseconds; set only for
        a request that did not run.
    """

    retry_after_us: int = 0
    detail: str = ""

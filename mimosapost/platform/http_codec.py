"""HTTP codec for the headers that the platform's callers and backend servers exchange."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any

import xxhash
from multidict import CIMultiDict

from mimosapost.model.codes import ResultCode, get_http_status
from mimosapost.platform.workspace_entries import digest_key
from mimosapost.relay.effects import StartSend
from mimosapost.relay.messages import (
    ForwardedReply,
    GatheredReply,
    LoadReport,
    Refusal,
    RelayRequest,
    Reply,
    ServerAnswer,
)

__all__ = ["PlatformCodec"]

# Headers that are not forwarded: those that apply to a single connection (RFC 9110, section
# 7.6.1) and those that the relay writes itself.
_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
# Id that the caller gave this attempt; servers echo it.
_REQUEST_ID_HEADER = b"x-request-id"
# Time in milliseconds that the caller will still wait; it is a duration, not a point in time.
_REMAINING_TIME_HEADER = b"x-deadline-ms"
# Id of the server process that the request is meant for. A process with another id, for example
# one that now uses the same address, answers with status 421.
_EXPECTED_SERVER_HEADER = b"x-expect-instance"
# Key of the caller's workspace; servers never receive it where workspaces are configured.
_KEY_HEADER = b"x-key"
# Name of the workspace, which only the relay may state.
_WORKSPACE_HEADER = b"x-tenant"
_NOT_RUN_HEADER = b"x-not-executed"
# Signature that the server makes of its answer; it does not cover the caller's request.
_SIGNATURE_HEADER = b"x-response-seal"
_LOAD_HEADER = b"x-server-load"
_LOAD_VALUE = re.compile(rb" *(\d{1,6}) *, *(\d{1,6}) *, *(\d{1,6}) *(?:,(.*))?", re.DOTALL)
# Fourth figure of a load report: time that work takes on the server's machine, in percent.
_WORK_TIME_VALUE = re.compile(rb" *0*([1-9]\d{0,4}) *")
_MAX_WORK_TIME_PERCENT = 10_000
# Requests per second that a server takes from all instances together.
_LIMIT_HEADER = b"server-limit"
_LIMIT_VALUE = re.compile(rb"\d{1,9}(\.\d{1,9})?")
# Whether the server will end soon and wants no further requests.
_LEAVING_HEADER = b"server-leaving"
_LEAVING_VALUE = b"1"
# Time in seconds for which a server that answers with status 503 wants no further requests of
# this instance.
_PAUSE_HEADER = b"retry-after"
_PAUSE_VALUE = _LIMIT_VALUE
_PAUSE_STATUS = 503
# A longer pause counts as malformed, because it would take a server out that is well again.
_MAX_PAUSE_SECONDS = 300
_NOT_FORWARDED = _HOP_BY_HOP.union((_LOAD_HEADER, _LIMIT_HEADER))
_MISDIRECTED_STATUS = 421
# Callers read these statuses as a statement that the request has not run and will not run.
_NOT_RUN_STATUSES = frozenset((408, _MISDIRECTED_STATUS, 429, 503))
_DEFAULT_REMAINING_MS = 10_000


def compute_fingerprint(method: str, target: str, host: bytes, body: bytes) -> int:
    """Return the hash that repeats of a request share.

    :param target: path and query string as the caller sent them.
    :param host: value of the Host header.
    """
    digest = xxhash.xxh3_64(f"{method} {target} ".encode("latin-1", "replace") + host.lower())
    digest.update(body)
    return digest.intdigest()


class PlatformCodec:
    """Decodes callers' requests and servers' answers; encodes sends and replies."""

    def decode_request(
        self,
        request_number: int,
        method: str,
        target: str,
        headers: Iterable[tuple[bytes, bytes]],
        body: bytes,
        now_us: int,
    ) -> RelayRequest:
        """Decode one attempt of a caller.

        :param request_number: number of the request within the process.
        :param headers: header names and values as received.
        :param body: complete body of the request.
        :param now_us: monotonic time at which the request arrived, in microseconds.
        :raises ValueError: if the request id is missing or the remaining time is no integer.
        """
        pairs = [(name.lower(), name, value) for name, value in headers]
        header_values = {lower_name: value for lower_name, _, value in pairs}
        connection_options = header_values.get(b"connection", b"").lower().split(b",")
        dropped = _HOP_BY_HOP.union(name.strip() for name in connection_options if name.strip())
        remaining_ms = int(
            header_values.get(_REMAINING_TIME_HEADER, b"") or _DEFAULT_REMAINING_MS
        )
        if not header_values.get(_REQUEST_ID_HEADER):
            raise ValueError("header X-Request-Id is missing or empty")
        head_lines = [f"{method} {target} HTTP/1.1".encode("latin-1")]
        workspace_lines = []
        for lower_name, name, value in pairs:
            if lower_name not in dropped and lower_name not in (
                _REMAINING_TIME_HEADER,
                _EXPECTED_SERVER_HEADER,
            ):
                is_withheld = lower_name in (_KEY_HEADER, _WORKSPACE_HEADER)
                lines = workspace_lines if is_withheld else head_lines
                lines.append(name + b": " + value)
        keys = [value for lower_name, _, value in pairs if lower_name == _KEY_HEADER]
        if body or b"content-length" in header_values or b"transfer-encoding" in header_values:
            head_lines.append(b"Content-Length: %d" % len(body))
        host = header_values.get(b"host", b"")
        return RelayRequest(
            request_number,
            header_values[_REQUEST_ID_HEADER].decode("latin-1"),
            host.decode("latin-1"),
            target,
            now_us + remaining_ms * 1_000,
            b"\r\n".join(head_lines),
            body,
            compute_fingerprint(method, target, host, body),
            # Of several keys none is certain to be the caller's.
            digest_key(keys[0]) if len(keys) == 1 and keys[0] else b"",
            b"\r\n".join(workspace_lines),
        )

    def create_request(
        self, method: str, target: str, host: str, deadline_us: int
    ) -> RelayRequest:
        """Return a request without headers and body that is not to be sent.

        :param deadline_us: monotonic time by which its caller would expect the reply.
        """
        fingerprint = compute_fingerprint(
            method, target, host.encode("latin-1", "replace"), b""
        )
        return RelayRequest(0, "", host, target, deadline_us, b"", b"", fingerprint)

    def encode_send(self, send: StartSend, now_us: int) -> bytes:
        """Return the bytes of a request to a server.

        :param now_us: monotonic time in microseconds, from which the remaining time of the send
            is computed.
        """
        remaining_ms = max(1, (send.deadline_us - now_us) // 1_000)
        workspace = send.workspace.encode()
        return b"%s%s\r\nX-Deadline-Ms: %d\r\nX-Expect-Instance: %s\r\n\r\n%s" % (
            send.request.head,
            b"\r\nX-Tenant: " + workspace if workspace else b"",
            remaining_ms,
            send.server.server_id.encode(),
            send.request.body,
        )

    def decode_answer(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> tuple[ServerAnswer, str]:
        """Return a server's answer and the request id that it echoed.

        :param headers: header names in lower case, with values.
        :param body: complete body of the answer.
        """
        header_values = dict(headers)
        forwarded = tuple([pair for pair in headers if pair[0] not in _NOT_FORWARDED])
        misdirected = status == _MISDIRECTED_STATUS
        not_run = misdirected or _NOT_RUN_HEADER in header_values
        answer = ServerAnswer(
            status,
            forwarded,
            body,
            # A body with a content encoding is not the body that the server signed.
            ""
            if b"content-encoding" in header_values
            else header_values.get(_SIGNATURE_HEADER, b"").decode("latin-1"),
            not_run,
            misdirected,
            b"close" in header_values.get(b"connection", b"").lower(),
            _decode_load(headers) if _LOAD_HEADER in header_values else None,
            unproven_refusal=status in _NOT_RUN_STATUSES and not not_run,
            **_decode_signals(status, headers, header_values),
        )
        return answer, header_values.get(_REQUEST_ID_HEADER, b"").decode("latin-1")

    def encode_reply(self, reply: Reply) -> tuple[int, CIMultiDict[str], bytes]:
        """Return status, headers and body of a reply to a caller."""
        headers: CIMultiDict[str] = CIMultiDict()
        match reply:
            case ForwardedReply(answer=answer):
                for name, value in answer.headers:
                    headers.add(name.decode("latin-1"), value.decode("latin-1"))
                return answer.status, headers, answer.body
            case GatheredReply(signatures=signatures, missing=missing, body=body):
                headers["X-Part-Stamps"] = ", ".join(signatures)
                headers["X-Missing-Parts"] = str(missing)
                return 200, headers, body
            case Refusal(code=code, retry_after_us=retry_after_us):
                if retry_after_us:
                    headers["Retry-After"] = f"{retry_after_us / 1e6:.3f}"
                return _get_refusal_status(code), headers, b""
        raise TypeError(
            f"cannot encode {reply!r}, expected a ForwardedReply, GatheredReply or Refusal"
        )


def _get_refusal_status(code: ResultCode) -> int:
    if code is ResultCode.REQUEST_REFUSED:
        # The platform's callers treat a 4xx status from an instance as a fault of the request.
        return get_http_status(ResultCode.OVERLOADED)
    return get_http_status(code)


SignalDecoder = Callable[[int, list[bytes]], dict[str, Any]]
_SIGNAL_DECODERS: dict[bytes, SignalDecoder] = {}


def _decodes_signal(name: bytes) -> Callable[[SignalDecoder], SignalDecoder]:
    """Register the decoder of a header in which a server states what it wants.

    A decoder is called with the status of the answer and the values of the header, without
    spaces around them. It returns fields of :class:`ServerAnswer`, or raises ``ValueError`` if
    the values can't be used.
    """

    def decorate(function: SignalDecoder) -> SignalDecoder:
        _SIGNAL_DECODERS[name] = function
        return function

    return decorate


def _decode_signals(
    status: int, headers: Iterable[tuple[bytes, bytes]], header_values: Mapping[bytes, bytes]
) -> dict[str, Any]:
    """Return the fields of an answer in which its server states what it wants."""
    fields: dict[str, Any] = {}
    if _SIGNAL_DECODERS.keys().isdisjoint(header_values):
        return fields
    malformed = []
    for name, decode in _SIGNAL_DECODERS.items():
        if name not in header_values:
            continue
        try:
            values = [value.strip() for other, value in headers if other == name]
            fields |= decode(status, values)
        except ValueError:
            malformed.append(name.decode())
    return fields | {"malformed_headers": tuple(malformed)}


@_decodes_signal(_LIMIT_HEADER)
def _decode_limit(_status: int, values: list[bytes]) -> dict[str, Any]:
    if len(values) != 1 or not _LIMIT_VALUE.fullmatch(values[0]):
        raise ValueError(f"{values} is not one decimal number")
    return {"limit_per_second": float(values[0])}


@_decodes_signal(_LEAVING_HEADER)
def _decode_leaving(_status: int, values: list[bytes]) -> dict[str, Any]:
    if set(values) != {_LEAVING_VALUE}:
        raise ValueError(f"{values} is not {_LEAVING_VALUE}")
    return {"leaving": True}


@_decodes_signal(_PAUSE_HEADER)
def _decode_pause(status: int, values: list[bytes]) -> dict[str, Any]:
    if status != _PAUSE_STATUS:
        return {}
    if len(values) != 1 or not _PAUSE_VALUE.fullmatch(values[0]):
        raise ValueError(f"{values} is not one decimal number")
    seconds = float(values[0])
    if not 0 < seconds <= _MAX_PAUSE_SECONDS:
        raise ValueError(f"{seconds} is not above 0 and at most {_MAX_PAUSE_SECONDS}")
    return {"pause_us": int(seconds * 1e6)}


def _decode_load(headers: Iterable[tuple[bytes, bytes]]) -> LoadReport | None:
    """Return the load that the headers report; the last one counts if there are several.

    A fourth figure that can't be used, or a repeated report, leaves the other figures in use.
    """
    values = [value for name, value in headers if name == _LOAD_HEADER]
    match = _LOAD_VALUE.fullmatch(values[-1])
    if match is None:
        return None
    load = LoadReport(*map(int, match.groups()[:3]))
    if match[4] is None:
        return load
    work_time = _WORK_TIME_VALUE.fullmatch(match[4])
    percent = int(work_time[1]) if work_time is not None and len(values) == 1 else 0
    if not 0 < percent <= _MAX_WORK_TIME_PERCENT:
        return replace(load, is_odd=True)
    return replace(load, work_time_percent=percent)

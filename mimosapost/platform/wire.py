"""Headers of requests and answers as the platform's callers and servers write them."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash
from multidict import CIMultiDict

from mimosapost.model.codes import ResultCode, get_http_status
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

# Headers that concern one connection only (RFC 9110, section 7.6.1), and those that the
# relay writes itself.
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
# The id of the caller's attempt; servers echo it.
_ID = b"x-request-id"
# Milliseconds that the caller still waits, not a point in time.
_TIME_LEFT = b"x-deadline-ms"
# The id of the run of a server that is meant.
_TARGET = b"x-expect-instance"
_NOT_RUN = b"x-not-executed"
# The server's signature of its answer, not of the caller's request.
_SIGNATURE = b"x-response-seal"
_LOAD = b"x-server-load"
_NOT_PASSED = _HOP_BY_HOP.union((_LOAD,))
_MISDIRECTED = 421
_DEFAULT_TIME_LEFT_MS = 10_000


class PlatformCodec:
    """Decodes callers' requests and servers' answers, and encodes sends and replies."""

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
        :param headers: raw header pairs as received.
        :raises ValueError: if the id is missing or the time left is no number.
        """
        pairs = [(name.lower(), name, value) for name, value in headers]
        found = {lower: value for lower, _, value in pairs}
        named = found.get(b"connection", b"").lower().split(b",")
        dropped = _HOP_BY_HOP.union(name.strip() for name in named if name.strip())
        left_ms = int(found.get(_TIME_LEFT, b"") or _DEFAULT_TIME_LEFT_MS)
        if not found.get(_ID):
            raise ValueError("request without an id")
        lines = [f"{method} {target} HTTP/1.1".encode("latin-1")]
        for lower, name, value in pairs:
            if lower not in dropped and lower not in (_TIME_LEFT, _TARGET):
                lines.append(name + b": " + value)
        if body or b"content-length" in found or b"transfer-encoding" in found:
            lines.append(b"Content-Length: %d" % len(body))
        digest = xxhash.xxh3_64(f"{method} {target}".encode("latin-1", "replace"))
        digest.update(body)
        return RelayRequest(
            request_number,
            found[_ID].decode("latin-1"),
            found.get(b"host", b"").decode("latin-1"),
            target,
            now_us + left_ms * 1_000,
            b"\r\n".join(lines),
            body,
            digest.intdigest(),
        )

    def encode_send(self, send: StartSend, now_us: int) -> bytes:
        """Return the bytes of a request to a server."""
        left_ms = max(1, (send.deadline_us - now_us) // 1_000)
        return b"%s\r\nX-Deadline-Ms: %d\r\nX-Expect-Instance: %s\r\n\r\n%s" % (
            send.request.head,
            left_ms,
            send.server.server_id.encode(),
            send.request.body,
        )

    def decode_answer(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> tuple[ServerAnswer, str]:
        """Return a server's answer and the request id that it echoed.

        :param headers: pairs with names in lower case.
        """
        found = dict(headers)
        passed = tuple([pair for pair in headers if pair[0] not in _NOT_PASSED])
        misdirected = status == _MISDIRECTED
        answer = ServerAnswer(
            status,
            passed,
            body,
            # An encoded body is not the one that the server signed.
            ""
            if b"content-encoding" in found
            else found.get(_SIGNATURE, b"").decode("latin-1"),
            misdirected or _NOT_RUN in found,
            misdirected,
            b"close" in found.get(b"connection", b"").lower(),
            _decode_load(found.get(_LOAD)),
        )
        return answer, found.get(_ID, b"").decode("latin-1")

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
        raise TypeError(f"unknown reply {reply!r}")


def _get_refusal_status(code: ResultCode) -> int:
    if code is ResultCode.REQUEST_REFUSED:
        # The platform's callers take 4xx of ours for a fault of the request.
        return get_http_status(ResultCode.OVERLOADED)
    return get_http_status(code)


def _decode_load(value: bytes | None) -> LoadReport | None:
    if not value:
        return None
    try:
        running, waiting, slots = map(int, value.split(b","))
    except ValueError:
        return None
    return LoadReport(running, waiting, slots)

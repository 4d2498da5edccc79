"""Parser of callers' requests that counts the memory of what it has parsed.

aiohttp's parser turns a header line of four bytes into several objects. The bytes that arrive
are therefore parsed in pieces that end where a head ends, so that it is known at each moment
what the parser holds, and a head that is too large stops before most of it is parsed.
"""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from aiohttp import web
from aiohttp.http import HttpRequestParser
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler

from mimosapost.model.caller_bounds import CallerBounds
from mimosapost.relay.catalog import CallerLimits

__all__ = ["MAX_QUEUED_REQUESTS", "RequestParser"]

#: Maximum number of requests of a connection that wait behind the one that is served.
MAX_QUEUED_REQUESTS = 4
_READ_BYTES = 64 * 1024
# Maximum number of bytes that are parsed at once.
_PIECE_BYTES = 16 * 1024
_END_OF_HEAD = b"\r\n\r\n"
_CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: ?(\d{1,9})\r\n", re.IGNORECASE)
# Memory of a header field beside its bytes, and the number of copies of these bytes.
_LINE_BYTES = 400
_HEAD_COPIES = 3
# Lines of a head that are no header fields: its first line and an empty line before it.
_OTHER_LINES = 2
# Number of header fields up to which no limit on them is looked up.
_FEW_LINES = 32
# Number of copies of a body's bytes.
_BODY_COPIES = 2
# Memory of a body's framing for each of its bytes, and the most that is counted: the parser
# pauses after a number of chunks.
_FRAMING_COST = 8
_MAX_FRAMING_COST_BYTES = 256 * 1024
# Maximum ratio between the bytes of a body and those of its framing. A chunk of one byte takes
# five further bytes.
_MAX_FRAMING_RATIO = 8
# Values with which aiohttp's own limits never apply.
_UNLIMITED = 2**31 - 1

_NO_MESSAGES: tuple[tuple, bool, bytes] = ((), False, b"")
_ParsedMessages = tuple[Sequence[tuple[Any, Any]], bool, bytes]


def _is_one_request(data: bytes) -> bool:
    r"""Return whether bytes are one head of usual size, with its body if that has a length.

    >>> _is_one_request(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    True
    >>> _is_one_request(b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nabc")
    False
    """
    end = data.find(_END_OF_HEAD, 0, _PIECE_BYTES) + len(_END_OF_HEAD)
    if end < len(_END_OF_HEAD):
        return False
    if end == len(data):
        return True
    length = _CONTENT_LENGTH.search(data, 0, end)
    return length is not None and end + int(length[1]) == len(data) <= _PIECE_BYTES


class RequestParser(HttpRequestParser):
    """Parser that stops at a head or a framing without end.

    :param protocol: connection that receives the messages.
    :param loop: event loop of the connection.
    :param get_limits: returns the limits in force.
    :param bounds: bounds on what a connection may hold.
    :param charge: receives changes of the memory that the parser holds, in bytes.
    :ivar head_bytes: bytes of the head that is arriving; 0 if none is.
    :ivar head_since: time of the event loop at which that head began, in seconds.
    """

    def __init__(
        self,
        protocol: RequestHandler,
        loop: asyncio.AbstractEventLoop,
        get_limits: Callable[[], CallerLimits],
        bounds: CallerBounds,
        charge: Callable[[int], None],
    ) -> None:
        # The number of queued messages is limited in this class: a pause inside of aiohttp's
        # parser would keep bytes that can't be counted.
        super().__init__(
            protocol,
            loop,
            _READ_BYTES,
            max_line_size=_UNLIMITED,
            max_field_size=_UNLIMITED,
            max_headers=_UNLIMITED,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=0,
        )
        self._connection = protocol
        self._event_loop = loop
        self._get_limits = get_limits
        self._bounds = bounds
        self._charge = charge
        self._few_lines = min(_FEW_LINES, bounds.header_lines or _FEW_LINES)
        self._last_payload = EMPTY_PAYLOAD
        # Bytes that are left of a body with a length; ``None`` for one in chunks.
        self._body_left: int | None = 0
        self._body_bytes = 0
        # Framing since the last byte of the body: a chunk extension or trailers.
        self._trailer_bytes = 0
        self._trailer_lines = 0
        # Last bytes of the current head or framing, to find an end that arrives in two pieces.
        self._recent = b""
        self._unparsed = b""
        self._deferred_error: HttpProcessingError | None = None
        # Whether a call without data has anything to do.
        self._is_resumable = False
        self._is_refused = False
        # Memory of a refused head or framing, which lives as long as the connection, in bytes.
        self._refused_cost = 0
        # Memory of each request that is queued or served, in order, in bytes.
        self._request_costs: deque[int] = deque()
        self._queue_cost = 0
        self._charged = 0
        self.head_bytes = 0
        self.head_lines = 0
        self.head_since = 0.0

    def feed_data(self, data: bytes) -> _ParsedMessages:
        """Parse received bytes.

        :returns: complete heads with their bodies, whether the connection changes to another
            protocol, and the bytes of that protocol.
        :raises HttpProcessingError: if a head is malformed or too large.
        """
        if not (data or self._is_resumable):
            # aiohttp resumes the parser after each read of a body, paused or not.
            return _NO_MESSAGES
        if (
            not (self._unparsed or self.head_bytes or self._is_refused)
            and self._last_payload.is_eof()
            and _is_one_request(data)
        ):
            return self._parse_request(data)
        if self._deferred_error is not None:
            error, self._deferred_error = self._deferred_error, None
            raise error
        if self._is_refused:
            return _NO_MESSAGES
        try:
            return self._parse_pieces(self._unparsed + data if self._unparsed else data)
        finally:
            self._is_resumable = (
                self._connection._reading_paused
                or bool(self._unparsed)
                or self._deferred_error is not None
            )
            self._update_charge()

    def _parse_request(self, data: bytes) -> _ParsedMessages:
        """Parse bytes that are exactly one request, as most that arrive."""
        try:
            parsed = self._parse_piece(data)
            if parsed[0]:
                self._add_cost(_BODY_COPIES * self._last_payload.total_bytes)
            return parsed
        except HttpProcessingError:
            self._is_refused = True
            raise
        finally:
            self._update_charge()

    def release_request(self) -> None:
        """Stop counting the oldest request, whose answer has been written."""
        if self._request_costs:
            self._queue_cost -= self._request_costs.popleft()
            self._update_charge()

    def _parse_pieces(self, data: bytes) -> _ParsedMessages:
        messages: list[tuple[Any, Any]] = []
        position = 0
        while True:
            end = self._find_piece_end(data, position)
            piece = data if end - position == len(data) else data[position:end]
            try:
                parsed, is_upgraded, tail = self._parse_piece(piece)
            except HttpProcessingError as error:
                self._unparsed, self._is_refused = b"", True
                if not self._last_payload.is_eof():
                    # The body of the newest request is malformed, so that one is refused.
                    self._last_payload.set_exception(
                        web.RequestPayloadError("malformed body"), error
                    )
                    return messages, False, b""
                if not messages:
                    raise
                # The requests before it are answered first.
                self._deferred_error = error
                self._event_loop.call_soon(self._connection.data_received, b"")
                return messages, False, b""
            messages += parsed
            position = end
            if is_upgraded:
                self._unparsed = b""
                return messages, True, tail + data[position:]
            if position >= len(data) or self._must_pause(len(messages)):
                self._unparsed = data[position:]
                return messages, False, b""

    def _must_pause(self, new_count: int) -> bool:
        connection = self._connection
        queued = len(connection._messages) + new_count
        return connection._reading_paused or queued >= connection._max_msg_queue_size

    def _find_piece_end(self, data: bytes, start: int) -> int:
        """Return the end of the piece that begins at a position: at most one head or body."""
        payload = self._last_payload
        if not payload.is_eof():
            if payload.exception() is not None:
                return len(data)
            if self._body_left is not None:
                return min(len(data), start + self._body_left)
        if self._recent:
            joined = self._recent + data[start : start + len(_END_OF_HEAD) - 1]
            found = joined.find(_END_OF_HEAD)
            if found >= 0:
                return start + found + len(_END_OF_HEAD) - len(self._recent)
        limit = min(len(data), start + _PIECE_BYTES)
        found = data.find(_END_OF_HEAD, start, limit)
        return limit if found < 0 else found + len(_END_OF_HEAD)

    def _parse_piece(self, piece: bytes) -> _ParsedMessages:
        payload = self._last_payload
        is_body = not payload.is_eof()
        if is_body and payload.exception() is not None:
            # The rest of a refused body.
            return _NO_MESSAGES
        body_before = payload.total_bytes if is_body else 0
        parsed = super().feed_data(piece)
        if parsed[0]:
            size = len(piece) - parsed[0][-1][1].total_bytes
            for message, _ in parsed[0]:
                self._add_request(message, size)
            self._begin_body(*parsed[0][-1])
        elif is_body:
            self._add_cost(_BODY_COPIES * (payload.total_bytes - body_before))
            if self._body_left is None:
                self._check_framing(piece, payload.total_bytes - body_before)
            else:
                self._body_left -= len(piece)
        elif piece:
            self._check_head(piece)
        return parsed

    def _add_request(self, message: Any, size: int) -> None:
        count = len(message.raw_headers)
        if count > self._few_lines and count > self._get_max_lines():
            raise HttpProcessingError(code=431, message=f"head has {count} fields")
        cost = _LINE_BYTES * count + _HEAD_COPIES * (self.head_bytes + size)
        self._request_costs.append(cost)
        self._queue_cost += cost

    def _add_cost(self, size: int) -> None:
        """Count memory of the newest request, unless it has been answered."""
        if self._request_costs:
            self._request_costs[-1] += size
            self._queue_cost += size

    def _get_max_lines(self) -> int:
        return self._bounds.get_header_lines(self._get_limits().header_bytes)

    def _begin_body(self, message: Any, payload: Any) -> None:
        self._last_payload = payload
        self.head_bytes = self.head_lines = 0
        self._recent = b""
        if payload.is_eof():
            return
        self._body_bytes = self._trailer_bytes = self._trailer_lines = 0
        if message.chunked:
            self._body_left = None
        else:
            self._body_left = int(message.headers.get("Content-Length", _UNLIMITED))

    def _check_head(self, piece: bytes) -> None:
        if not self.head_bytes:
            self.head_since = self._event_loop.time()
        self.head_bytes += len(piece)
        self.head_lines += piece.count(b"\n")
        self._note_recent(piece)
        limit = self._get_limits().header_bytes
        # The limit holds for the request line and for the header fields.
        if self.head_bytes > 2 * limit:
            reason = f"head exceeds {limit} bytes"
        elif self.head_lines > self._bounds.get_header_lines(2 * limit) + _OTHER_LINES:
            reason = f"head has {self.head_lines} lines"
        else:
            return
        self._refused_cost += self._measure_unfinished()
        self.head_bytes = self.head_lines = 0
        raise HttpProcessingError(code=431, message=reason)

    def _note_recent(self, piece: bytes) -> None:
        is_end = piece.endswith(_END_OF_HEAD)
        self._recent = b"" if is_end else (self._recent + piece[-3:])[-3:]

    def _check_framing(self, piece: bytes, body_bytes: int) -> None:
        payload = self._last_payload
        self._body_bytes += len(piece)
        if body_bytes:
            self._trailer_bytes = self._trailer_lines = 0
        else:
            self._trailer_bytes += len(piece)
            self._trailer_lines += piece.count(b"\n")
        self._note_recent(piece)
        if self._body_bytes * _FRAMING_COST < _MAX_FRAMING_COST_BYTES:
            self._add_cost(_FRAMING_COST * (len(piece) - body_bytes))
        if payload.is_eof():
            self._recent = b""
            self._trailer_bytes = self._trailer_lines = 0
            return
        limit = self._get_limits().header_bytes
        framing_limit = limit + _MAX_FRAMING_RATIO * payload.total_bytes
        if (
            self._body_bytes - payload.total_bytes > framing_limit
            or self._trailer_bytes > 2 * limit
        ):
            self._refused_cost += self._measure_unfinished()
            self._trailer_bytes = self._trailer_lines = 0
            payload.set_exception(
                web.RequestPayloadError("chunk sizes and trailers are too long")
            )

    def _measure_unfinished(self) -> int:
        lines = self.head_lines + self._trailer_lines
        return _LINE_BYTES * lines + _HEAD_COPIES * (self.head_bytes + self._trailer_bytes)

    def _update_charge(self) -> None:
        held = self._refused_cost + len(self._unparsed) + self._queue_cost
        if self.head_bytes or self._trailer_bytes:
            held += self._measure_unfinished()
        if held != self._charged:
            change, self._charged = held - self._charged, held
            self._charge(change)

"""Requests towards backend servers, reduced to what a sub-request needs."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import aiohttp
from aiohttp import hdrs, payload
from aiohttp.http import StreamWriter

__all__ = ["SubRequestBody", "SubRequestPost"]


class SubRequestBody(payload.BytesPayload):
    """Request body that knows whether aiohttp began to write it.

    aiohttp holds the headers back until the first byte of the body, so no byte of the
    request leaves before ``started`` is set. ``blocked`` keeps it that way once the send
    has been reported as not run.
    """

    started = False
    blocked = False

    async def write_with_length(
        self,
        writer: aiohttp.abc.AbstractStreamWriter,
        content_length: int | None,  # noqa: ARG002
    ) -> None:
        """Write the whole body, unless the send was reported as not run."""
        if self.blocked:
            raise ConnectionAbortedError("the send was withdrawn before it was written")
        self.started = True
        await writer.write(self._value)


class SubRequestPost(aiohttp.ClientRequest):
    """POST of a :class:`SubRequestBody` without headers that a backend server ignores."""

    def update_auto_headers(
        self,
        skip_auto_headers: Iterable[str] | None,
    ) -> None:
        """Add none of ``Accept``, ``Accept-Encoding`` and ``User-Agent``."""

    def update_body_from_data(self, body: Any, _stacklevel: int = 3) -> None:
        """Take the body without a look-up of its type."""
        if not isinstance(body, SubRequestBody):
            raise TypeError("the body must be a SubRequestBody")
        self._body = body
        self.headers[hdrs.CONTENT_LENGTH] = str(body.size)

    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        """Write the request without a task for the body.

        Before Python 3.12, aiohttp starts a task and a further turn of the loop for each
        body. Errors while writing reach the response through the protocol, as there.
        """
        writer = StreamWriter(conn.protocol, self.loop)
        await writer.write_headers(f"POST {self.url.raw_path} HTTP/1.1", self.headers)
        await self.write_bytes(writer, conn)
        self.response = self.response_class(
            self.method,
            self.original_url,
            writer=None,
            continue100=None,
            timer=self._timer,
            request_info=self.request_info,
            traces=[],
            loop=self.loop,
            session=self._session,
            stream_writer=writer,
        )
        return self.response

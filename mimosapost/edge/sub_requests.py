"""aiohttp request and body classes for sub-requests to backend servers."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import aiohttp
from aiohttp import hdrs, payload
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import StreamWriter

__all__ = ["SubRequestBody", "SubRequestPost"]


class SubRequestBody(payload.BytesPayload):
    """Request body that records whether aiohttp has started to write it.

    aiohttp delays the headers until the first byte of the body, so no byte of the request
    is written before ``started`` is set. Once a send has been reported as not run,
    ``blocked`` prevents its body from being written. ``protocol`` is the connection that the
    request was written to, or ``None``.
    """

    started = False
    blocked = False
    protocol: ResponseHandler | None = None

    async def write_with_length(
        self,
        writer: aiohttp.abc.AbstractStreamWriter,
        content_length: int | None,  # noqa: ARG002
    ) -> None:
        """Write the whole body.

        :raises ConnectionAbortedError: if the send has been reported as not run.
        """
        if self.blocked:
            raise ConnectionAbortedError(
                "the send was reported as not run; its body must not be written"
            )
        self.started = True
        await writer.write(self._value)


class SubRequestPost(aiohttp.ClientRequest):
    """POST request that omits the headers that backend servers ignore."""

    def update_auto_headers(
        self,
        skip_auto_headers: Iterable[str] | None,
    ) -> None:
        """Add none of ``Accept``, ``Accept-Encoding`` and ``User-Agent``."""

    def update_body_from_data(self, body: Any, _stacklevel: int = 3) -> None:
        """Set the body without aiohttp's look-up of a payload class for its type."""
        if not isinstance(body, SubRequestBody):
            raise TypeError(f"the body must be a SubRequestBody, not {type(body).__name__}")
        self._body = body
        self.headers[hdrs.CONTENT_LENGTH] = str(body.size)

    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        """Write the request without a separate task for the body.

        Before Python 3.12, aiohttp starts a task for each body, which costs another
        iteration of the event loop. Errors while writing reach the response through the
        protocol, as in aiohttp.
        """
        self._body.protocol = conn.protocol
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

"""Responses that are written as fast as the caller reads them."""

from __future__ import annotations

from aiohttp import web

__all__ = ["PIECE_BYTES", "PacedResponse"]

#: Size in bytes of a piece of a body; a smaller body needs no such response.
PIECE_BYTES = 64 * 1024


class PacedResponse(web.Response):
    """Response whose body is held once, and not a second time in the transport's buffer."""

    async def write_eof(self, data: bytes = b"") -> None:
        """Write the body in pieces, each when the caller has read most of the one before."""
        body = self.body
        if self._eof_sent or self._must_be_empty_body:
            await super().write_eof(data)
            return
        connection, view = self._req.protocol, memoryview(body)
        for start in range(0, len(body), PIECE_BYTES):
            await self.write(view[start : start + PIECE_BYTES])
            await self._payload_writer.drain()
            connection.note_progress()
        await web.StreamResponse.write_eof(self)

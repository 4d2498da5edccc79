"""A small HTTP/1.1 parser for the stand-ins; it uses the standard library only."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or a response.

    :param start: words of the first line.
    :param headers: values by lower-case name.
    :param complete: whether head and body arrived completely.
    """

    start: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = True


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message with a length, in chunks or without a body.

    :returns: the message, or ``None`` if the connection ended before its first byte.
    :raises asyncio.IncompleteReadError: if the connection ends within the message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    lines = head.decode("latin-1").split("\r\n")
    message = Message(lines[0].split(" ", 2))
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            message.headers[name.strip().lower()] = value.strip()
    if "content-length" in message.headers:
        message.body = await reader.readexactly(int(message.headers["content-length"]))
    elif message.headers.get("transfer-encoding", "").lower() == "chunked":
        chunks = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            chunks.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        message.body = b"".join(chunks)
    return message


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body

"""Frames of a peer link: a 4-byte big-endian length and a body.

A frame of length 0 keeps a link alive in one direction and acknowledges a frame in the other.
"""

from __future__ import annotations

import asyncio

from mimosapost.membership.codec import MAX_FRAME_BYTES, CodecError, decode_message
from mimosapost.model.peer_messages import Hello

__all__ = [
    "EMPTY_FRAME",
    "LINK_ERRORS",
    "LinkError",
    "create_frame",
    "read_frame",
    "read_hello",
]

EMPTY_FRAME = b"\0\0\0\0"
_PREFIX_BYTES = 4
# A greeting has about 200 bytes. The bound holds before the peer is known.
_MAX_HELLO_BYTES = 1_024


class LinkError(Exception):
    """The other end of a link broke the rules of the peer protocol."""


LINK_ERRORS = (OSError, EOFError, TimeoutError, CodecError, LinkError)


def create_frame(body: bytes) -> bytes:
    r"""Put the length before a body.

    :param body: encoded message.

    >>> create_frame(b"ab")
    b'\x00\x00\x00\x02ab'
    """
    return len(body).to_bytes(_PREFIX_BYTES, "big") + body


async def read_frame(
    reader: asyncio.StreamReader, timeout_s: float, limit: int = MAX_FRAME_BYTES
) -> bytes:
    """Read the body of one whole frame.

    :param reader: stream of the link.
    :param timeout_s: time in seconds within which the whole frame must arrive, so that
        neither silence nor single bytes hold a link open.
    :param limit: largest body in bytes.
    :raises LinkError: if the frame is larger.
    :raises TimeoutError: if the frame does not arrive in time.
    :raises EOFError: if the other end closed the link.
    """
    async with asyncio.timeout(timeout_s):
        size = int.from_bytes(await reader.readexactly(_PREFIX_BYTES), "big")
        if size > limit:
            raise LinkError(f"frame of {size} bytes; at most {limit} allowed")
        return await reader.readexactly(size)


async def read_hello(reader: asyncio.StreamReader, timeout_s: float) -> Hello:
    """Read the greeting that must be the first frame in each direction.

    :param reader: stream of the link.
    :param timeout_s: time in seconds within which it must arrive.
    :raises LinkError: if the first frame is something else.
    """
    hello = decode_message(await read_frame(reader, timeout_s, _MAX_HELLO_BYTES))
    if not isinstance(hello, Hello):
        raise LinkError("the first frame is no Hello")
    if hello.protocol < 1:
        raise LinkError(f"protocol {hello.protocol} is not supported; expected 1 or newer")
    return hello

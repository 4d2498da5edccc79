"""Frames of a peer link: a 4-byte big-endian length and a body.

The connecting side sends an empty frame to keep an idle link alive; the listening side sends
one to acknowledge each frame that it received.
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
# A Hello has about 200 bytes. The limit is small because the sender is not authenticated yet.
_MAX_HELLO_BYTES = 1_024


class LinkError(Exception):
    """The other end of a link violated the peer protocol."""


LINK_ERRORS = (OSError, EOFError, TimeoutError, CodecError, LinkError)


def create_frame(body: bytes) -> bytes:
    r"""Prefix an encoded message with its length.

    :param body: encoded message.

    >>> create_frame(b"ab")
    b'\x00\x00\x00\x02ab'
    """
    return len(body).to_bytes(_PREFIX_BYTES, "big") + body


async def read_frame(
    reader: asyncio.StreamReader, timeout_s: float, limit: int = MAX_FRAME_BYTES
) -> bytes:
    """Read one complete frame and return its body.

    :param reader: stream of the link.
    :param timeout_s: time in seconds within which the whole frame must arrive, so that
        neither a silent peer nor one that sends byte by byte holds a link open.
    :param limit: largest body in bytes.
    :returns: body, empty for a keepalive or an acknowledgement.
    :raises LinkError: if the body is larger than ``limit``.
    :raises TimeoutError: if the frame does not arrive in time.
    :raises EOFError: if the other end closed the link.
    """
    async with asyncio.timeout(timeout_s):
        size = int.from_bytes(await reader.readexactly(_PREFIX_BYTES), "big")
        if size > limit:
            raise LinkError(f"frame has a body of {size} bytes, expected at most {limit}")
        return await reader.readexactly(size)


async def read_hello(reader: asyncio.StreamReader, timeout_s: float) -> Hello:
    """Read the Hello that must be the first frame in each direction.

    :param reader: stream of the link.
    :param timeout_s: time in seconds within which the Hello must arrive.
    :raises LinkError: if the first frame is not a Hello of a supported protocol version.
    """
    hello = decode_message(await read_frame(reader, timeout_s, _MAX_HELLO_BYTES))
    if not isinstance(hello, Hello):
        raise LinkError("first frame of the link is not a Hello")
    if hello.protocol < 1:
        raise LinkError(
            f"peer protocol version {hello.protocol} is not supported; expected 1 or newer"
        )
    return hello

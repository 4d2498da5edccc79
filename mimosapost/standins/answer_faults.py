"""Answers of stand-in backend servers, correct or with a fault."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
from aiohttp import web

from mimosapost.standins.behaviour import Behaviour

__all__ = ["send_answer"]


async def send_answer(
    request: web.BaseRequest, answer: dict[str, Any], fault: str, behaviour: Behaviour
) -> web.StreamResponse:
    """Send an answer, correct or with the given fault.

    :param answer: correct answer in the format of the backend protocol.
    :param fault: one of :data:`~mimosapost.standins.behaviour.FAULTS`, or an empty string for
        a correct answer.
    :param behaviour: settings of the server, for the figures of ``oversized`` and
        ``slow_drip``.
    :returns: response for aiohttp to send; where the function has written it or has closed
        the connection already, aiohttp sends nothing more.
    """
    match fault:
        case "crossed_id":
            answer = answer | {"request_id": "crossed-" + answer["request_id"]}
        case "wrong_version":
            answer = answer | {"index_version": answer["index_version"] + 1}
        case "wrong_leaf":
            answer = answer | {"leaf": answer["leaf"] + "-other"}
        case "oversized":
            answer = answer | {"items": ["x" * behaviour.oversized_bytes]}
    body = msgspec.json.encode(answer)
    match fault:
        case "malformed":
            body = body[:-2]
        case "doubled_body":
            body += body
        case "slow_drip":
            return await _write_slowly(request, body, behaviour.drip_ms)
        case "half_closed":
            return await _write_half(request, body, half_close=True)
        case "truncated":
            return await _write_half(request, body, half_close=False)
        case "close_unanswered":
            if request.transport is not None:
                request.transport.close()
            return web.Response()
        case "doubled_answer":
            head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
            extra_response = head + str(len(body)).encode() + b"\r\n\r\n" + body
            if request.transport is not None:
                request.transport.write(extra_response)
    return web.Response(body=body, content_type="application/json")


async def _write_slowly(
    request: web.BaseRequest, body: bytes, drip_ms: float
) -> web.StreamResponse:
    response = web.StreamResponse(headers={"Content-Length": str(len(body))})
    await response.prepare(request)
    for offset in range(len(body)):
        await response.write(body[offset : offset + 1])
        await asyncio.sleep(drip_ms / 1_000)
    return response


async def _write_half(
    request: web.BaseRequest, body: bytes, half_close: bool
) -> web.StreamResponse:
    """Write half of the body, then close the sending side or the whole connection.

    Return only after the connection is closed.
    """
    response = web.StreamResponse(headers={"Content-Length": str(len(body))})
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    if request.transport is not None:
        if half_close:
            request.transport.write_eof()
        else:
            request.transport.close()
    while request.transport is not None and not request.transport.is_closing():
        await asyncio.sleep(0.01)
    return response

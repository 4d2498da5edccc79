"""Connection pool to one backend server with a variable size limit."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from weakref import WeakSet

import aiohttp

if TYPE_CHECKING:
    from aiohttp.client_proto import ResponseHandler
    from aiohttp.client_reqrep import ConnectionKey

__all__ = ["ServerConnector"]


class ServerConnector(aiohttp.TCPConnector):
    """aiohttp connector whose limit can change while connections are in use.

    It relies on internals of aiohttp 3.14, the pinned version (``_limit``, ``_conns``,
    ``_acquired``, ``_get`` and the waiters). The tests of sends (``test_sends.py``) fail if
    these change.

    :param connections: maximum number of open connections; values below 1 count as 1.
    :param local_host: local IP address of the connections, or ``None`` for any.
    """

    def __init__(self, connections: int, local_host: str | None = None) -> None:
        super().__init__(
            # aiohttp interprets 0 as unlimited.
            limit=max(1, connections),
            ttl_dns_cache=None,
            use_dns_cache=False,
            keepalive_timeout=60,
            local_addr=(local_host, 0) if local_host else None,
            happy_eyeballs_delay=None,
        )
        self._reused: WeakSet[ResponseHandler] = WeakSet()

    @property
    def in_use_count(self) -> int:
        """Number of connections in use."""
        return len(self._acquired)

    def is_reused(self, protocol: ResponseHandler | None) -> bool:
        """Return whether a connection has carried an exchange before the current one."""
        return protocol in self._reused

    def set_limit(self, connections: int) -> None:
        """Change the limit and close the idle connections that exceed it."""
        connections = max(1, connections)
        raised = connections > self._limit
        self._limit = connections
        self.close_idle(max(0, connections - len(self._acquired)))
        if raised:
            for _ in range(max(0, connections - len(self._acquired))):
                self._release_waiter()

    def close_idle(self, max_idle: int) -> None:
        """Close idle connections except the ``max_idle`` most recently used ones."""
        for key in tuple(self._conns):
            idle = self._conns[key]
            while len(idle) > max_idle:
                protocol, _ = idle.popleft()
                protocol.close()
            if not idle:
                del self._conns[key]

    async def _get(self, key: ConnectionKey, traces: list[Any]) -> Any:
        # Bytes that arrive on an idle connection belong to no open request: the server has
        # sent a second answer. Reusing the connection would deliver it to the next request.
        idle = self._conns.get(key)
        while idle and idle[0][0].should_close:
            idle.popleft()[0].close()
        connection = await super()._get(key, traces)
        if connection is not None:
            self._reused.add(connection.protocol)
        return connection

    async def _wait_for_available_connection(
        self, key: ConnectionKey, traces: list[Any]
    ) -> None:
        try:
            await super()._wait_for_available_connection(key, traces)
        except BaseException:
            # If a waiter is cancelled after it was woken, the wake-up is lost and the next
            # waiter would continue to wait although a connection is free.
            self._release_waiter()
            raise

"""Bounded connection pool to one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import aiohttp

if TYPE_CHECKING:
    from aiohttp.client_reqrep import ConnectionKey

__all__ = ["ServerConnector"]


class ServerConnector(aiohttp.TCPConnector):
    """Connector whose bound can change while connections are in use.

    It relies on internals of aiohttp 3.14, the pinned version (``_limit``, ``_conns``,
    ``_acquired``, ``_get`` and the waiters); the tests beside it fail if they change.

    :param connections: largest number of open connections.
    :param local_host: IP number that connections come from, or ``None`` for any.
    """

    def __init__(self, connections: int, local_host: str | None = None) -> None:
        super().__init__(
            # aiohttp takes 0 as unlimited.
            limit=max(1, connections),
            ttl_dns_cache=None,
            use_dns_cache=False,
            keepalive_timeout=60,
            local_addr=(local_host, 0) if local_host else None,
            happy_eyeballs_delay=None,
        )

    @property
    def busy(self) -> int:
        """Connections in use."""
        return len(self._acquired)

    def set_limit(self, connections: int) -> None:
        """Change the bound; idle connections above it are closed at once."""
        connections = max(1, connections)
        raised = connections > self._limit
        self._limit = connections
        self.close_idle(max(0, connections - len(self._acquired)))
        if raised:
            for _ in range(max(0, connections - len(self._acquired))):
                self._release_waiter()

    def close_idle(self, keep: int) -> None:
        """Close idle connections but the ``keep`` ones used last."""
        for key in tuple(self._conns):
            idle = self._conns[key]
            while len(idle) > keep:
                protocol, _ = idle.popleft()
                protocol.close()
            if not idle:
                del self._conns[key]

    async def _get(self, key: ConnectionKey, traces: list[Any]) -> Any:
        # Bytes that arrived on an idle connection answer no request of ours: a second answer
        # of the server. Reusing the connection would hand it to the next request.
        idle = self._conns.get(key)
        while idle and idle[0][0].should_close:
            idle.popleft()[0].close()
        return await super()._get(key, traces)

    async def _wait_for_available_connection(
        self, key: ConnectionKey, traces: list[Any]
    ) -> None:
        try:
            await super()._wait_for_available_connection(key, traces)
        except BaseException:
            # A waiter that is cancelled after it was woken takes the wake-up with it, and the
            # next one would wait although a connection is free.
            self._release_waiter()
            raise

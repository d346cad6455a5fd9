"""Connection pools of servers, by name of the server."""

from __future__ import annotations

from gentianwall.http.connections import ConnectionPool
from gentianwall.membership.messages import ServerNotice

# A connection is set up within two round trips of at most 40 ms between
# regions. A lost SYN is resent only after 1 s, which is too long to wait.
CONNECT_TIMEOUT_S = 0.25


class ServerPools:
    """Connection pools of all servers that an entry uses."""

    def __init__(self, reactor):
        self._reactor = reactor
        self._pools: dict[str, ConnectionPool] = {}

    def pool_of(self, notice: ServerNotice) -> ConnectionPool:
        """Returns the connection pool for a server's current address."""
        name = notice.key.server
        pool = self._pools.get(name)
        if pool is None or (pool.host, pool.port) != (notice.host, notice.port):
            self.close_idle(name)
            pool = ConnectionPool(
                self._reactor, notice.host, notice.port, CONNECT_TIMEOUT_S
            )
            self._pools[name] = pool
        return pool

    def close_idle(self, server: str) -> None:
        """Removes a server's pool and closes its idle connections."""
        pool = self._pools.pop(server, None)
        if pool is not None:
            pool.close_idle()

"""Pool of the servers of one service."""

from __future__ import annotations

import random

import attrs

from gentianwall.membership.messages import ServerNotice
from gentianwall.routing.policies import (
    ExpectedLatency,
    NoServer,
    Policy,
    ServiceAverages,
    choose,
)
from gentianwall.routing.servers import Server

AVERAGE_WEIGHT = 0.05


@attrs.define
class ServerPool:
    """Holds all servers of a service, live or draining.

    Attributes:
        average_service_ms: Moving average of the service time over all servers.
        average_foreign_load: Moving average of the load by other entries.
        servers: Servers by name.
        policy: Policy that chooses among the servers with room.
        is_managed: Whether the limits of servers are enforced and overdue
            calls are reassigned to other servers. False for baselines.
    """

    average_service_ms: float
    average_foreign_load: float = 0.0
    servers: dict[str, Server] = attrs.field(factory=dict)
    policy: Policy = attrs.field(factory=ExpectedLatency)
    is_managed: bool = True

    def put(self, notice: ServerNotice, now_ms: float) -> Server:
        """Adds or updates a server; a new incarnation replaces the old one."""
        known = self.servers.get(notice.key.server)
        if known and known.notice.incarnation == notice.incarnation:
            known.notice = notice
            return known
        server = Server(
            notice=notice,
            first_seen_ms=now_ms,
            service_ms=self.average_service_ms,
            limit=float(notice.slots),
        )
        self.servers[notice.key.server] = server
        return server

    def remove(self, name: str) -> Server | None:
        """Removes and returns a server; returns None if it is unknown."""
        return self.servers.pop(name, None)

    def live_servers(self) -> list[Server]:
        """Returns the servers that may get new calls."""
        return [s for s in self.servers.values() if s.notice.state == "up"]

    def has_live_servers(self) -> bool:
        """Returns whether any server may get new calls."""
        return any(s.notice.state == "up" for s in self.servers.values())

    def has_room(self, now_ms: float) -> bool:
        """Returns whether any server has room for a call of this entry."""
        return any(
            server.notice.state == "up" and server.has_room(now_ms)
            for server in self.servers.values()
        )

    def pick(
        self, avoid: tuple[str, ...], now_ms: float, rng: random.Random
    ) -> Server | NoServer:
        """Chooses the server of the next call.

        Ejected servers are considered only if all untried ones are ejected.

        Args:
            avoid: Names of servers that the call has tried and that are not
                chosen again.
            now_ms: Local clock.
            rng: Random source for ties and samples.
        """
        untried = self.live_servers()
        if avoid:
            untried = [s for s in untried if s.name not in avoid]
        not_ejected = [s for s in untried if s.ejected_until_ms <= now_ms]
        candidates = not_ejected or untried
        if self.is_managed:
            candidates = [s for s in candidates if s.has_room(now_ms)]
        if not candidates:
            return NoServer(has_live_server=bool(untried))
        averages = ServiceAverages(
            self.average_service_ms, self.average_foreign_load
        )
        return choose(self.policy, candidates, averages, now_ms, rng)

    def total_limit(self, now_ms: float) -> float:
        """Returns the sum of the call limits of the servers.

        Ejected servers count only if all live ones are ejected.
        """
        live_servers = self.live_servers()
        not_ejected = [s for s in live_servers if not s.is_ejected(now_ms)]
        return sum(max(1.0, s.limit) for s in not_ejected or live_servers)

    def record_server_answer(
        self, measured_ms: float, foreign_load: float
    ) -> None:
        """Updates the averages of service time and load by other entries."""
        self.average_service_ms += AVERAGE_WEIGHT * (
            measured_ms - self.average_service_ms
        )
        self.average_foreign_load += AVERAGE_WEIGHT * (
            foreign_load - self.average_foreign_load
        )

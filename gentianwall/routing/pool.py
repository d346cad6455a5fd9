"""The servers of one service and the choice among them."""

from __future__ import annotations

import random

import attrs

from gentianwall.membership.messages import ServerNotice
from gentianwall.routing.policies import (
    ExpectedLatency,
    NoServer,
    Policy,
    Usual,
    choose,
)
from gentianwall.routing.servers import Server

USUAL_WEIGHT = 0.05


@attrs.define
class ServerPool:
    """All servers of a service, live or draining.

    Attributes:
        usual_ms: Moving average of the time of a call, over all servers.
        usual_foreign: Moving average of the load by other entries.
        servers: By name.
        policy: How one of the free servers is picked.
        is_managed: Whether servers' limits hold and overdue calls are moved;
            baselines lack both.
    """

    usual_ms: float
    usual_foreign: float = 0.0
    servers: dict[str, Server] = attrs.field(factory=dict)
    policy: Policy = attrs.field(factory=ExpectedLatency)
    is_managed: bool = True

    def put(self, notice: ServerNotice, now_ms: float) -> Server:
        """Adds a server, or replaces an older incarnation of it."""
        known = self.servers.get(notice.key.server)
        if known and known.notice.incarnation == notice.incarnation:
            known.notice = notice
            return known
        server = Server(
            notice=notice,
            since_ms=now_ms,
            service_ms=self.usual_ms,
            limit=float(notice.slots),
        )
        self.servers[notice.key.server] = server
        return server

    def remove(self, name: str) -> Server | None:
        """Removes a server."""
        return self.servers.pop(name, None)

    def live(self) -> list[Server]:
        """Returns the servers that may get new work."""
        return [s for s in self.servers.values() if s.notice.state == "up"]

    def has_live(self) -> bool:
        """Whether any server may get new work."""
        return any(s.notice.state == "up" for s in self.servers.values())

    def has_room(self, now_ms: float) -> bool:
        """Whether any server may get another call of this entry now."""
        return any(
            server.notice.state == "up" and server.has_room(now_ms)
            for server in self.servers.values()
        )

    def pick(
        self, avoid: tuple[str, ...], now_ms: float, rng: random.Random
    ) -> Server | NoServer:
        """Picks the server of the next call.

        Args:
            avoid: Servers that the call has tried; never picked again.
            now_ms: The local clock.
            rng: Breaks ties.
        """
        untried = self.live()
        if avoid:
            untried = [s for s in untried if s.name not in avoid]
        healthy = [s for s in untried if s.ejected_until_ms <= now_ms]
        free = healthy or untried
        if self.is_managed:
            free = [s for s in free if s.has_room(now_ms)]
        if not free:
            return NoServer(is_any_live=bool(untried))
        usual = Usual(self.usual_ms, self.usual_foreign)
        return choose(self.policy, free, usual, now_ms, rng)

    def slots(self, now_ms: float) -> float:
        """Returns how many calls this entry may have outstanding in all."""
        live = self.live()
        healthy = [s for s in live if not s.is_ejected(now_ms)]
        return sum(max(1.0, s.limit) for s in healthy or live)

    def note_answer(self, alone_ms: float, foreign_load: float) -> None:
        """Moves the usual time of a call and the usual foreign load."""
        self.usual_ms += USUAL_WEIGHT * (alone_ms - self.usual_ms)
        self.usual_foreign += USUAL_WEIGHT * (foreign_load - self.usual_foreign)

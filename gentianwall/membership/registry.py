"""Servers that announced themselves to the control instances.

Part of the replicated state: an announcement that changes something binds
every entry, so it is acknowledged only once a majority of replicas holds it.
Announcements order by incarnation, then by sequence; a state never goes back
within an incarnation, however late an announcement comes.
"""

from __future__ import annotations

import attrs

from gentianwall.membership.messages import ServerNotice

# Servers that left are remembered, so that a late announcement does not bring
# one back: over two hours of the 8,900 changes a day that are aimed at.
MAX_LEFT_SERVERS = 1000
STATE_RANKS = {"up": 0, "silent": 0, "draining": 1, "left": 2}


@attrs.frozen
class RegisteredServer:
    """A server as the replicas hold it.

    Attributes:
        notice: What it announced; the state `silent` means that it was not
            heard for long, and may be gone.
        sequence: The announcement that changed it last.
        warmup_ms: How long it stays slow, when it was first heard.
        revision: Revision of the registry that changed it last.
    """

    notice: ServerNotice
    sequence: int
    warmup_ms: float
    revision: int

    @property
    def name(self) -> str:
        """The name it chose."""
        return self.notice.key.server

    @property
    def is_present(self) -> bool:
        """Whether it may still answer at its address."""
        return self.notice.state != "left"


@attrs.define
class ServerRegistry:
    """All servers by name, and a count of the changes."""

    revision: int = 0
    servers: dict[str, RegisteredServer] = attrs.field(factory=dict)

    def copy(self) -> ServerRegistry:
        """Returns a copy that later changes do not touch."""
        return ServerRegistry(self.revision, dict(self.servers))

    def changed_since(self, revision: int) -> tuple[RegisteredServer, ...]:
        """Returns what changed after a revision, in the order of changes."""
        changed = []
        for server in reversed(self.servers.values()):
            if server.revision <= revision:
                break
            changed.append(server)
        return tuple(reversed(changed))


def is_news(
    registry: ServerRegistry, notice: ServerNotice, sequence: int
) -> bool:
    """Whether an announcement says more than that its server is alive."""
    known = registry.servers.get(notice.key.server)
    if known is None:
        owner = _owner_of(registry, notice)
        return owner is None or notice.incarnation >= owner.notice.incarnation
    if notice.incarnation != known.notice.incarnation:
        return notice.incarnation > known.notice.incarnation
    if sequence <= known.sequence:
        return False
    merged = _merge(known.notice, notice)
    return merged != known.notice


def announce_server(
    registry: ServerRegistry,
    notice: ServerNotice,
    sequence: int,
    warmup_ms: float,
) -> None:
    """Records an announcement, unless something newer is known."""
    if not is_news(registry, notice, sequence):
        return
    known = registry.servers.get(notice.key.server)
    if known and known.notice.incarnation == notice.incarnation:
        notice = _merge(known.notice, notice)
        warmup_ms = known.warmup_ms
    owner = _owner_of(registry, notice)
    if owner is not None:
        _put(registry, owner, state="left")
    record = RegisteredServer(notice, sequence, warmup_ms, 0)
    _store(registry, record)
    _forget_oldest(registry)


def remove_server(
    registry: ServerRegistry, server: str, incarnation: int
) -> None:
    """Records that a server leaves; an older incarnation cannot say so."""
    known = registry.servers.get(server)
    if known is None or not known.is_present:
        return
    if incarnation and incarnation < known.notice.incarnation:
        return
    _put(registry, known, state="left")
    _forget_oldest(registry)


def mark_silent(
    registry: ServerRegistry, server: str, incarnation: int
) -> None:
    """Records that a server was not heard for long."""
    known = registry.servers.get(server)
    if known is None or known.notice.incarnation != incarnation:
        return
    if known.notice.state == "up":
        _put(registry, known, state="silent")


def _merge(known: ServerNotice, news: ServerNotice) -> ServerNotice:
    """Takes news of the same incarnation; the state does not go back."""
    if STATE_RANKS[news.state] < STATE_RANKS[known.state]:
        return attrs.evolve(news, state=known.state)
    return news


def _owner_of(
    registry: ServerRegistry, notice: ServerNotice
) -> RegisteredServer | None:
    """Returns another server that is present at the same address."""
    for server in registry.servers.values():
        if (
            server.is_present
            and server.name != notice.key.server
            and (server.notice.host, server.notice.port)
            == (notice.host, notice.port)
        ):
            return server
    return None


def _put(
    registry: ServerRegistry, server: RegisteredServer, state: str
) -> None:
    notice = attrs.evolve(server.notice, state=state)
    _store(registry, attrs.evolve(server, notice=notice))


def _store(registry: ServerRegistry, server: RegisteredServer) -> None:
    """Stores a record as the latest change."""
    registry.revision += 1
    registry.servers.pop(server.name, None)
    registry.servers[server.name] = attrs.evolve(
        server, revision=registry.revision
    )


def _forget_oldest(registry: ServerRegistry) -> None:
    left = [s for s in registry.servers.values() if not s.is_present]
    for server in left[: max(0, len(left) - MAX_LEFT_SERVERS)]:
        del registry.servers[server.name]

"""Registry of the servers that announced themselves to the control instances.

The registry is part of the replicated state. Every entry uses it, so an
announcement that changes it is acknowledged only after a majority of replicas
persisted it. Announcements are ordered by incarnation, then by sequence. A
delayed announcement never moves a state back within an incarnation.
"""

from __future__ import annotations

import attrs

from gentianwall.membership.messages import ServerKey, ServerNotice

# Deregistered servers are kept, so that a delayed announcement does not
# register one again. 1000 of them cover over two hours at the design target of
# 8,900 changes a day.
MAX_DEREGISTERED_SERVERS = 1000
# Below the sequence of every announcement, so that it changes no record of the
# same incarnation.
DEPARTURE_SEQUENCE = -1
STATE_RANKS = {"up": 0, "silent": 0, "draining": 1, "left": 2}
# Heartbeats arrive with different delays; a warm-up that ends this much earlier
# or later than known is news.
WARMUP_TOLERANCE_MS = 1000


@attrs.frozen
class RegisteredServer:
    """Record of a server in the replicated registry.

    Attributes:
        notice: State that the server announced. The state `silent` means that
            no heartbeat was received for a long time and the server may have
            stopped.
        sequence: Sequence number of the announcement that last changed it.
        warmup_ms: Warm-up time that remained at the first announcement of
            this incarnation.
        revision: Revision of the registry that last changed the record.
        cold_until_ms: End of the warm-up that it last stated, by the
            wall-clock time of the leader; 0 if only the first one counts.
    """

    notice: ServerNotice
    sequence: int
    warmup_ms: float
    revision: int
    cold_until_ms: int = 0

    @property
    def name(self) -> str:
        """Name that the server chose."""
        return self.notice.key.server

    @property
    def is_present(self) -> bool:
        """Whether the server may still answer at its address."""
        return self.notice.state != "left"


@attrs.define
class ServerRegistry:
    """Holds all servers by name, in the order of their last changes.

    Attributes:
        revision: Number of changes so far.
        servers: Records by server name.
    """

    revision: int = 0
    servers: dict[str, RegisteredServer] = attrs.field(factory=dict)

    def copy(self) -> ServerRegistry:
        """Returns a copy that is not affected by later changes."""
        return attrs.evolve(self, servers=dict(self.servers))

    def changed_since(self, revision: int) -> tuple[RegisteredServer, ...]:
        """Returns the servers changed after a revision, in order of change."""
        changed = []
        for server in reversed(self.servers.values()):
            if server.revision <= revision:
                break
            changed.append(server)
        return tuple(reversed(changed))


def changes_registry(
    registry: ServerRegistry,
    notice: ServerNotice,
    sequence: int,
    cold_until_ms: int | None = None,
    services: frozenset[str] | None = None,
) -> bool:
    """Returns whether an announcement changes the registry.

    An announcement that changes nothing is a heartbeat or outdated, or it comes
    from another writer.

    Args:
        registry: The registry.
        notice: State that the server announced.
        sequence: Sequence number of the announcement.
        cold_until_ms: End of the warm-up that it states, or the current time
            if it states none; None if only the first statement counts.
        services: Services that the configuration names; None if the start
            times alone decide who takes an address.
    """
    known = registry.servers.get(notice.key.server)
    if services is not None and not _has_address(known, notice):
        if is_address_kept(registry, notice, services):
            return False
    elif known is None:
        previous = _address_owner(registry, notice)
        return (
            previous is None
            or notice.incarnation >= previous.notice.incarnation
        )
    if known is None:
        return True
    if notice.incarnation != known.notice.incarnation:
        return notice.incarnation > known.notice.incarnation
    if sequence <= known.sequence:
        return False
    merged = _merge(known.notice, notice)
    return merged != known.notice or _is_warmup_news(known, cold_until_ms)


def _is_warmup_news(known: RegisteredServer, cold_until_ms: int | None) -> bool:
    """Returns whether a server states another end of its warm-up than known.

    A statement that it is warm comes as the current time, and is news only
    while it is known as cold.
    """
    if cold_until_ms is None:
        return False
    difference_ms = abs(cold_until_ms - known.cold_until_ms)
    return difference_ms > WARMUP_TOLERANCE_MS


def record_announcement(
    registry: ServerRegistry,
    notice: ServerNotice,
    sequence: int,
    warmup_ms: float,
    at_ms: int | None = None,
    services: frozenset[str] | None = None,
) -> None:
    """Records an announcement unless it is outdated or changes nothing.

    Args:
        registry: The registry.
        notice: State that the server announced.
        sequence: Sequence number of the announcement.
        warmup_ms: Remaining warm-up time that it states.
        at_ms: Wall-clock time of the leader; None if only the first statement
            of the warm-up time counts.
        services: Services that the configuration names; None if the start
            times alone decide who takes an address.
    """
    cold_until_ms = warmup_end_ms(registry, notice, warmup_ms, at_ms)
    if not changes_registry(
        registry, notice, sequence, cold_until_ms, services
    ):
        return
    known = registry.servers.get(notice.key.server)
    if known and known.notice.incarnation == notice.incarnation:
        notice = _merge(known.notice, notice)
        warmup_ms = known.warmup_ms
        if not _is_warmup_news(known, cold_until_ms):
            cold_until_ms = known.cold_until_ms
    previous = _address_owner(registry, notice)
    if previous is not None:
        _set_state(registry, previous, state="left")
    record = RegisteredServer(
        notice, sequence, warmup_ms, 0, cold_until_ms or 0
    )
    _store(registry, record)
    _evict_oldest_deregistered(registry)


def warmup_end_ms(
    registry: ServerRegistry,
    notice: ServerNotice,
    warmup_ms: float,
    at_ms: int | None,
) -> int | None:
    """Returns the `cold_until_ms` of an announcement.

    A server that states no warm-up and is known as warm repeats what is known.
    """
    if at_ms is None:
        return None
    known = registry.servers.get(notice.key.server)
    if warmup_ms <= 0.0:
        is_same = known and known.notice.incarnation == notice.incarnation
        known_ms = known.cold_until_ms if is_same else 0
        return min(known_ms, at_ms)
    return at_ms + int(warmup_ms)


def deregister_server(
    registry: ServerRegistry, server: str, incarnation: int
) -> None:
    """Deregisters a server, unless a newer incarnation is registered.

    The incarnation 0 stands for the registered one.
    """
    known = registry.servers.get(server)
    if known is None or not known.is_present:
        return
    if incarnation and incarnation < known.notice.incarnation:
        return
    _set_state(registry, known, state="left")
    _evict_oldest_deregistered(registry)


def unrecorded_departure(
    registry: ServerRegistry, server: str, incarnation: int
) -> ServerNotice | None:
    """Returns a notice that records the end of an unknown start of a server.

    The first announcement of a server that deregisters may still be on its way.
    `deregister_server` records nothing then, and the late announcement would
    register the server again.

    Returns:
        The notice, without an address, or None if this start or a later one is
        registered.
    """
    known = registry.servers.get(server)
    if known is not None and known.notice.incarnation >= incarnation:
        return None
    return ServerNotice(
        key=ServerKey(known.notice.key.service if known else "", server),
        host="",
        port=0,
        slots=0,
        failure_domain="",
        incarnation=incarnation,
        state="left",
    )


def mark_silent(
    registry: ServerRegistry, server: str, incarnation: int
) -> None:
    """Marks a server from which no heartbeat was received for a long time."""
    known = registry.servers.get(server)
    if known is None or known.notice.incarnation != incarnation:
        return
    if known.notice.state == "up":
        _set_state(registry, known, state="silent")


def _merge(known: ServerNotice, update: ServerNotice) -> ServerNotice:
    """Returns an update of the same incarnation; its state never moves back."""
    if STATE_RANKS[update.state] < STATE_RANKS[known.state]:
        return attrs.evolve(update, state=known.state)
    return update


def is_address_kept(
    registry: ServerRegistry, notice: ServerNotice, services: frozenset[str]
) -> bool:
    """Returns whether another server keeps the address that is announced.

    An address in use passes on to a server that started later and whose service
    the configuration names, or from one whose service it does not name. Other
    announcements may come from another writer, or late.

    Args:
        registry: The registry.
        notice: State that the server announced.
        services: Services that the configuration names.
    """
    owner = _address_owner(registry, notice)
    if owner is None:
        return False
    if notice.key.service not in services:
        return True
    if owner.notice.key.service not in services:
        return False
    return notice.incarnation < owner.notice.incarnation


def _has_address(known: RegisteredServer | None, notice: ServerNotice) -> bool:
    """Returns whether a start of a server has the address that it announces."""
    return (
        known is not None
        and known.is_present
        and known.notice.incarnation == notice.incarnation
        and (known.notice.host, known.notice.port) == (notice.host, notice.port)
    )


def _address_owner(
    registry: ServerRegistry, notice: ServerNotice
) -> RegisteredServer | None:
    """Returns another present server with the same address, if any."""
    for server in registry.servers.values():
        if (
            server.is_present
            and server.name != notice.key.server
            and (server.notice.host, server.notice.port)
            == (notice.host, notice.port)
        ):
            return server
    return None


def _set_state(
    registry: ServerRegistry, server: RegisteredServer, state: str
) -> None:
    notice = attrs.evolve(server.notice, state=state)
    _store(registry, attrs.evolve(server, notice=notice))


def _store(registry: ServerRegistry, server: RegisteredServer) -> None:
    """Stores a record as the latest change, under a new revision."""
    registry.revision += 1
    registry.servers.pop(server.name, None)
    registry.servers[server.name] = attrs.evolve(
        server, revision=registry.revision
    )


def _evict_oldest_deregistered(registry: ServerRegistry) -> None:
    deregistered = [s for s in registry.servers.values() if not s.is_present]
    for server in deregistered[
        : max(0, len(deregistered) - MAX_DEREGISTERED_SERVERS)
    ]:
        del registry.servers[server.name]

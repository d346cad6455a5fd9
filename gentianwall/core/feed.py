"""What control instances tell the entries that poll them.

Entries are not listed anywhere: who polled lately is told of each change at
once, and a poll is answered with what the entry lacks. Only a leader under a
valid lease answers, so that nothing older than an acknowledged change is told.
"""

from __future__ import annotations

import attrs

from gentianwall.claims.commands import MarkSilent
from gentianwall.control.messages import (
    FeedNotice,
    FeedPoll,
    FeedRedirect,
    ReadReply,
    ServersHeard,
)
from gentianwall.core.effects import SendMessage
from gentianwall.replication.state import ReplicaState, Role

# Seven polls of an entry; one that missed as many is down or cut off.
SUBSCRIPTION_MS = 3000.0
# An announcement may come seconds late and a restart takes as long, so a
# server counts as silent only after several lost heartbeats.
DEFAULT_SERVER_SILENCE_MS = 8000.0
NO_NUMBER = -1


@attrs.define
class Subscriber:
    """What an entry that polls is known to hold."""

    number: int
    revision: int
    quarantine_version: int
    at_ms: float


@attrs.define
class FeedState:
    """What a control instance knows of entries and servers it heard.

    Attributes:
        subscribers: Entries that polled, by name.
        heard_ms: When a server was last heard, by name; kept by the leader.
        server_silence_ms: Time after which a server counts as silent.
        silence_due_ms: When silent servers are looked for again.
    """

    subscribers: dict[str, Subscriber] = attrs.field(factory=dict)
    heard_ms: dict[str, float] = attrs.field(factory=dict)
    server_silence_ms: float = DEFAULT_SERVER_SILENCE_MS
    silence_due_ms: float = 0.0


def on_poll(
    feed: FeedState,
    replica: ReplicaState,
    sender: str,
    poll: FeedPoll,
    now_ms: float,
    effects: list,
) -> None:
    """Tells an entry what it lacks, or who leads."""
    if not replica.can_read(now_ms):
        if replica.role is not Role.LEADER and replica.leader:
            effects.append(SendMessage(sender, FeedRedirect(replica.leader)))
        return
    subscriber = Subscriber(
        poll.number, poll.revision, poll.quarantine_version, now_ms
    )
    feed.subscribers[sender] = subscriber
    effects.append(
        SendMessage(sender, _notice(feed, replica, subscriber, now_ms))
    )


def push(
    feed: FeedState, replica: ReplicaState, now_ms: float, effects: list
) -> None:
    """Tells every entry that polled lately what has just changed."""
    if not feed.subscribers or not replica.can_read(now_ms):
        return
    register = replica.register
    for name, subscriber in list(feed.subscribers.items()):
        if now_ms - subscriber.at_ms > SUBSCRIPTION_MS:
            del feed.subscribers[name]
            continue
        is_current = (
            subscriber.number == _number(replica)
            and subscriber.revision == register.registry.revision
            and subscriber.quarantine_version == register.quarantine_version
        )
        if not is_current:
            notice = _notice(feed, replica, subscriber, now_ms)
            effects.append(SendMessage(name, notice))


def _number(replica: ReplicaState) -> int:
    numbered = replica.register.numbered
    return NO_NUMBER if numbered is None else numbered.configuration.number


def _notice(
    feed: FeedState,
    replica: ReplicaState,
    subscriber: Subscriber,
    now_ms: float,
) -> FeedNotice:
    """Makes a notice; what it tells counts as held from then on.

    A notice that is lost does no harm: the next poll says what is held.
    """
    register = replica.register
    number = _number(replica)
    has_number = subscriber.number >= number
    has_list = subscriber.quarantine_version == register.quarantine_version
    names = [member.replica for member in replica.applied_members]
    names += [name for name in replica.progress if name not in names]
    notice = FeedNotice(
        term=replica.term,
        number=number,
        configuration=(None if has_number else register.numbered.configuration),
        revision=register.registry.revision,
        servers=register.registry.changed_since(subscriber.revision),
        quarantine_version=register.quarantine_version,
        quarantines=None if has_list else tuple(register.quarantines),
        controls=tuple(names),
        entries=sum(
            now_ms - other.at_ms <= SUBSCRIPTION_MS
            for other in feed.subscribers.values()
        ),
    )
    subscriber.number = number
    subscriber.revision = register.registry.revision
    subscriber.quarantine_version = register.quarantine_version
    return notice


def read_reply(replica: ReplicaState, request_id: str) -> ReadReply:
    """Returns the numbered configuration as the operator wrote it."""
    numbered = replica.register.numbered
    document = b"" if numbered is None else numbered.document
    return ReadReply(request_id, _number(replica), document)


def on_servers_heard(
    feed: FeedState, heard: ServersHeard, now_ms: float
) -> None:
    """Notes that servers are alive."""
    for name in heard.servers:
        feed.heard_ms[name] = now_ms


def silent_servers(
    feed: FeedState, replica: ReplicaState, now_ms: float
) -> list[MarkSilent]:
    """Returns commands for the servers that were not heard for long.

    A new leader gives each the whole time anew.
    """
    if now_ms < feed.silence_due_ms or not replica.can_read(now_ms):
        return []
    feed.silence_due_ms = now_ms + feed.server_silence_ms / 10
    servers = replica.register.registry.servers
    for name in [name for name in feed.heard_ms if name not in servers]:
        del feed.heard_ms[name]
    commands = []
    for server in servers.values():
        if server.notice.state != "up":
            continue
        heard_ms = feed.heard_ms.setdefault(server.name, now_ms)
        since_ms = max(heard_ms, replica.lead_since_ms)
        if now_ms - since_ms > feed.server_silence_ms:
            commands.append(
                MarkSilent(server.name, server.notice.incarnation, 0)
            )
    return commands

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
# The first answer is lost if the link to the entry is not up yet; an entry that
# asks again meanwhile is told no more than this before the news has got there.
FULL_ANSWERS = 2
# A notice of 1000 routes and 300 servers takes an entry 20 ms to read and 20 ms
# on a link of 6 Mbit/s, several times that just after its start. Below the
# time between polls of an entry that has a configuration.
REPEAT_MS = 200.0
# How old the number of entries may be; they use it seconds later.
ENTRIES_MS = 100.0


@attrs.frozen
class Held:
    """What an entry holds."""

    number: int
    revision: int
    quarantine_version: int


@attrs.define
class Subscriber:
    """An entry that polls.

    Attributes:
        held: What it holds, once all that was sent arrives.
        at_ms: When it polled last.
        asked: What it said it holds when it was last told of news.
        answers: How often it was told of news for that.
        told_ms: When it was last told of news.
    """

    held: Held
    at_ms: float
    asked: Held | None = None
    answers: int = 0
    told_ms: float = float("-inf")


@attrs.frozen
class Present:
    """What is in force; notices are made anew when any of it changes."""

    term: int
    held: Held
    controls: tuple[str, ...]
    entries: int


@attrs.define
class FeedState:
    """What a control instance knows of entries and servers it heard.

    Attributes:
        subscribers: Entries that polled, by name.
        heard_ms: When a server was last heard, by name; kept by the leader.
        server_silence_ms: Time after which a server counts as silent.
        silence_due_ms: When silent servers are looked for again.
        entries: How many entries polled lately.
        entries_ms: When they were counted.
        present: What the notices below tell.
        notices: Notices by what their receivers hold, to be packed once.
    """

    subscribers: dict[str, Subscriber] = attrs.field(factory=dict)
    heard_ms: dict[str, float] = attrs.field(factory=dict)
    server_silence_ms: float = DEFAULT_SERVER_SILENCE_MS
    silence_due_ms: float = 0.0
    entries: int = 0
    entries_ms: float = float("-inf")
    present: Present | None = None
    notices: dict[Held, FeedNotice] = attrs.field(factory=dict)


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
    held = Held(poll.number, poll.revision, poll.quarantine_version)
    subscriber = feed.subscribers.get(sender)
    if subscriber is None:
        subscriber = feed.subscribers[sender] = Subscriber(held, now_ms)
    subscriber.held = held
    subscriber.at_ms = now_ms
    if not _is_repeat(replica, subscriber, now_ms):
        _tell(feed, replica, sender, now_ms, effects)


def _is_repeat(
    replica: ReplicaState, subscriber: Subscriber, now_ms: float
) -> bool:
    """Whether the news that an entry asks for is probably on its way."""
    if subscriber.held == _in_force(replica):
        return False
    if subscriber.asked != subscriber.held:
        return False
    due_ms = subscriber.told_ms + REPEAT_MS
    return subscriber.answers >= FULL_ANSWERS and now_ms < due_ms


def _tell(
    feed: FeedState,
    replica: ReplicaState,
    name: str,
    now_ms: float,
    effects: list,
) -> None:
    """Tells an entry what it lacks; that counts as held from then on.

    A notice that is lost does no harm: the next poll says what is held.
    """
    subscriber = feed.subscribers[name]
    in_force = _in_force(replica)
    if subscriber.held != in_force:
        is_again = subscriber.asked == subscriber.held
        subscriber.answers = subscriber.answers + 1 if is_again else 1
        subscriber.asked = subscriber.held
        subscriber.told_ms = now_ms
    notice = _notice(feed, replica, subscriber.held, now_ms)
    subscriber.held = in_force
    effects.append(SendMessage(name, notice))


def push(
    feed: FeedState, replica: ReplicaState, now_ms: float, effects: list
) -> None:
    """Tells every entry that polled lately what has just changed."""
    if not feed.subscribers or not replica.can_read(now_ms):
        return
    in_force = _in_force(replica)
    for name, subscriber in list(feed.subscribers.items()):
        if now_ms - subscriber.at_ms > SUBSCRIPTION_MS:
            del feed.subscribers[name]
        elif subscriber.held != in_force:
            _tell(feed, replica, name, now_ms, effects)


def _number(replica: ReplicaState) -> int:
    numbered = replica.register.numbered
    return NO_NUMBER if numbered is None else numbered.configuration.number


def _in_force(replica: ReplicaState) -> Held:
    register = replica.register
    return Held(
        _number(replica),
        register.registry.revision,
        register.quarantine_version,
    )


def _notice(
    feed: FeedState, replica: ReplicaState, held: Held, now_ms: float
) -> FeedNotice:
    """Returns the notice for what an entry holds; the same for all such."""
    names = [member.replica for member in replica.applied_members]
    names += [name for name in replica.progress if name not in names]
    present = Present(
        replica.term,
        _in_force(replica),
        tuple(names),
        _count_entries(feed, now_ms),
    )
    if present != feed.present:
        feed.present = present
        feed.notices.clear()
    notice = feed.notices.get(held)
    if notice is None:
        notice = feed.notices[held] = _make_notice(replica, present, held)
    return notice


def _make_notice(
    replica: ReplicaState, present: Present, held: Held
) -> FeedNotice:
    register = replica.register
    in_force = present.held
    has_number = held.number >= in_force.number
    has_list = held.quarantine_version == in_force.quarantine_version
    return FeedNotice(
        term=present.term,
        number=in_force.number,
        configuration=(None if has_number else register.numbered.configuration),
        revision=in_force.revision,
        servers=register.registry.changed_since(held.revision),
        quarantine_version=in_force.quarantine_version,
        quarantines=None if has_list else tuple(register.quarantines),
        controls=present.controls,
        entries=present.entries,
    )


def _count_entries(feed: FeedState, now_ms: float) -> int:
    if now_ms - feed.entries_ms > ENTRIES_MS:
        feed.entries_ms = now_ms
        feed.entries = sum(
            now_ms - other.at_ms <= SUBSCRIPTION_MS
            for other in feed.subscribers.values()
        )
    return feed.entries


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

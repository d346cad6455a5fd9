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
NO_CONFIGURATION_NUMBER = -1
# The first answer is lost if the link to the entry is not up yet; an entry that
# asks again meanwhile is told no more than this before the news has got there.
MAX_IMMEDIATE_UPDATES = 2
# A notice of 1000 routes and 300 servers takes an entry 20 ms to read and 20 ms
# on a link of 6 Mbit/s, several times that just after its start. Below the
# time between polls of an entry that has a configuration.
UPDATE_RESEND_MS = 200.0
# How old the number of entries may be; they use it seconds later.
ENTRY_COUNT_MAX_AGE_MS = 100.0


@attrs.frozen
class FeedVersions:
    """What an entry holds."""

    number: int
    revision: int
    quarantine_version: int


@attrs.define
class Subscriber:
    """An entry that polls.

    Attributes:
        versions: What it holds, once all that was sent arrives.
        at_ms: When it polled last.
        update_base: What it said it holds when it was last told of news.
        update_count: How often it was told of news for that.
        update_sent_ms: When it was last told of news.
    """

    versions: FeedVersions
    at_ms: float
    update_base: FeedVersions | None = None
    update_count: int = 0
    update_sent_ms: float = float("-inf")


@attrs.frozen
class FeedContent:
    """What is in force; notices are made anew when any of it changes."""

    term: int
    versions: FeedVersions
    controls: tuple[str, ...]
    entries: int


@attrs.define
class FeedState:
    """What a control instance knows of entries and servers it heard.

    Attributes:
        subscribers: Entries that polled, by name.
        last_contact_ms: When a server was last heard, by name; kept by the
            leader.
        server_silence_ms: Time after which a server counts as silent.
        silence_check_due_ms: When silent servers are looked for again.
        entries: How many entries polled lately.
        entries_counted_ms: When they were counted.
        content: What the notices below tell.
        notices: Notices by what their receivers hold, to be packed once.
    """

    subscribers: dict[str, Subscriber] = attrs.field(factory=dict)
    last_contact_ms: dict[str, float] = attrs.field(factory=dict)
    server_silence_ms: float = DEFAULT_SERVER_SILENCE_MS
    silence_check_due_ms: float = 0.0
    entries: int = 0
    entries_counted_ms: float = float("-inf")
    content: FeedContent | None = None
    notices: dict[FeedVersions, FeedNotice] = attrs.field(factory=dict)


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
    versions = FeedVersions(poll.number, poll.revision, poll.quarantine_version)
    subscriber = feed.subscribers.get(sender)
    if subscriber is None:
        subscriber = feed.subscribers[sender] = Subscriber(versions, now_ms)
    subscriber.versions = versions
    subscriber.at_ms = now_ms
    if not _is_update_in_flight(replica, subscriber, now_ms):
        _send_notice(feed, replica, sender, now_ms, effects)


def _is_update_in_flight(
    replica: ReplicaState, subscriber: Subscriber, now_ms: float
) -> bool:
    """Whether the news that an entry asks for is probably on its way."""
    if subscriber.versions == _current_versions(replica):
        return False
    if subscriber.update_base != subscriber.versions:
        return False
    due_ms = subscriber.update_sent_ms + UPDATE_RESEND_MS
    return subscriber.update_count >= MAX_IMMEDIATE_UPDATES and now_ms < due_ms


def _send_notice(
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
    current = _current_versions(replica)
    if subscriber.versions != current:
        is_same_base = subscriber.update_base == subscriber.versions
        subscriber.update_count = (
            subscriber.update_count + 1 if is_same_base else 1
        )
        subscriber.update_base = subscriber.versions
        subscriber.update_sent_ms = now_ms
    notice = _cached_notice(feed, replica, subscriber.versions, now_ms)
    subscriber.versions = current
    effects.append(SendMessage(name, notice))


def push_changes(
    feed: FeedState, replica: ReplicaState, now_ms: float, effects: list
) -> None:
    """Tells every entry that polled lately what has just changed."""
    if not feed.subscribers or not replica.can_read(now_ms):
        return
    current = _current_versions(replica)
    for name, subscriber in list(feed.subscribers.items()):
        if now_ms - subscriber.at_ms > SUBSCRIPTION_MS:
            del feed.subscribers[name]
        elif subscriber.versions != current:
            _send_notice(feed, replica, name, now_ms, effects)


def _configuration_number(replica: ReplicaState) -> int:
    numbered = replica.register.numbered
    return (
        NO_CONFIGURATION_NUMBER
        if numbered is None
        else numbered.configuration.number
    )


def _current_versions(replica: ReplicaState) -> FeedVersions:
    register = replica.register
    return FeedVersions(
        _configuration_number(replica),
        register.registry.revision,
        register.quarantine_version,
    )


def _cached_notice(
    feed: FeedState,
    replica: ReplicaState,
    versions: FeedVersions,
    now_ms: float,
) -> FeedNotice:
    """Returns the notice for what an entry holds; the same for all such."""
    names = [member.replica for member in replica.applied_members]
    names += [name for name in replica.progress if name not in names]
    content = FeedContent(
        replica.term,
        _current_versions(replica),
        tuple(names),
        _count_entries(feed, now_ms),
    )
    if content != feed.content:
        feed.content = content
        feed.notices.clear()
    notice = feed.notices.get(versions)
    if notice is None:
        notice = feed.notices[versions] = _make_notice(
            replica, content, versions
        )
    return notice


def _make_notice(
    replica: ReplicaState, content: FeedContent, versions: FeedVersions
) -> FeedNotice:
    register = replica.register
    current = content.versions
    has_configuration = versions.number >= current.number
    has_quarantines = versions.quarantine_version == current.quarantine_version
    return FeedNotice(
        term=content.term,
        number=current.number,
        configuration=(
            None if has_configuration else register.numbered.configuration
        ),
        revision=current.revision,
        servers=register.registry.changed_since(versions.revision),
        quarantine_version=current.quarantine_version,
        quarantines=None if has_quarantines else tuple(register.quarantines),
        controls=content.controls,
        entries=content.entries,
    )


def _count_entries(feed: FeedState, now_ms: float) -> int:
    if now_ms - feed.entries_counted_ms > ENTRY_COUNT_MAX_AGE_MS:
        feed.entries_counted_ms = now_ms
        feed.entries = sum(
            now_ms - entry.at_ms <= SUBSCRIPTION_MS
            for entry in feed.subscribers.values()
        )
    return feed.entries


def read_reply(replica: ReplicaState, request_id: str) -> ReadReply:
    """Returns the numbered configuration as the operator wrote it."""
    numbered = replica.register.numbered
    document = b"" if numbered is None else numbered.document
    return ReadReply(request_id, _configuration_number(replica), document)


def record_server_contacts(
    feed: FeedState, message: ServersHeard, now_ms: float
) -> None:
    """Notes that servers are alive."""
    for name in message.servers:
        feed.last_contact_ms[name] = now_ms


def find_silent_servers(
    feed: FeedState, replica: ReplicaState, now_ms: float
) -> list[MarkSilent]:
    """Returns commands for the servers that were not heard for long.

    A new leader gives each the whole time anew.
    """
    if now_ms < feed.silence_check_due_ms or not replica.can_read(now_ms):
        return []
    feed.silence_check_due_ms = now_ms + feed.server_silence_ms / 10
    servers = replica.register.registry.servers
    for name in [name for name in feed.last_contact_ms if name not in servers]:
        del feed.last_contact_ms[name]
    commands = []
    for server in servers.values():
        if server.notice.state != "up":
            continue
        last_contact_ms = feed.last_contact_ms.setdefault(server.name, now_ms)
        since_ms = max(last_contact_ms, replica.lead_since_ms)
        if now_ms - since_ms > feed.server_silence_ms:
            commands.append(
                MarkSilent(server.name, server.notice.incarnation, 0)
            )
    return commands

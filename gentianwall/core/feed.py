"""Feed of updates from the control leader to the entries that poll it.

The feed has no configured list of entries: every entry that polled recently is
sent each change at once, and a poll is answered with what the entry lacks. Only
a leader with a valid lease sends updates, so that no entry receives a state
older than an acknowledged change.
"""

from __future__ import annotations

import attrs

from gentianwall.claims.commands import FEATURE_EVACUATION, MarkSilent
from gentianwall.control.limits import quota_sizes
from gentianwall.control.messages import (
    FEATURE_ORGANISATIONS,
    ConfigurationReply,
    ConfigurationRequest,
    EvacuationStatus,
    FeedNotice,
    FeedPoll,
    FeedRedirect,
    LimitNotice,
    PeerList,
    ServerHeartbeats,
)
from gentianwall.core.effects import RecordEvent, SendMessage
from gentianwall.core.limit_leases import LimitLeases
from gentianwall.core.peers import MOST_PEERS, choose_peers
from gentianwall.core.quarantine_trials import QuarantineTrials
from gentianwall.core.rate_shares import RateShares
from gentianwall.replication.state import ReplicaState, Role
from gentianwall.timeline import EventKind

# Seven poll intervals; an entry that missed seven polls is down or
# disconnected.
SUBSCRIPTION_MS = 3000.0
# Announcements may be delayed by seconds and a restart takes as long, so a
# server is marked silent only after several missed heartbeats.
DEFAULT_SERVER_SILENCE_MS = 8000.0
NO_CONFIGURATION_NUMBER = -1
# After a kill of all control instances one of them leads within this time of
# its start.
RESTART_ELECTION_MS = 5000.0
# Updates sent without a delay to an entry that polls repeatedly with the same
# versions: more than one, as the first is lost if the link is not up yet.
MAX_IMMEDIATE_UPDATES = 2
# Delay before further updates to such an entry, so that the last one can
# arrive: a notice of 1000 routes and 300 servers takes 20 ms on a link of
# 6 Mbit/s and 20 ms to read, several times that just after the start of the
# entry. The delay is shorter than the poll interval of an entry that has a
# configuration.
UPDATE_RESEND_MS = 200.0
# An entry polls every 400 ms, so one that missed three polls is not named to
# others as a peer.
PEER_MAX_AGE_MS = 1500.0
# Maximum age of the entry count in a notice; entries use the count only seconds
# later.
ENTRY_COUNT_MAX_AGE_MS = 100.0
# Cached notices are made anew after this time, since entries compute from them
# for how long servers are still cold: a server that is warm is spared for up to
# this long.
NOTICE_MAX_AGE_MS = 250.0


@attrs.frozen
class FeedVersions:
    """Versions of everything that notices report."""

    number: int
    revision: int
    quarantine_version: int
    rate_limits_version: int
    evacuation_version: int


@attrs.define
class Subscriber:
    """A polling entry.

    Attributes:
        versions: Versions that the entry has once everything sent to it has
            arrived.
        at_ms: Time of its last poll.
        update_base: Versions that the last update was based on.
        update_count: Number of updates sent in a row for that base.
        update_sent_ms: Time of the last update.
        can_relay: Whether it is ready and reaches servers.
        lacks_peers: Whether it asked for peers and was named fewer than the
            usual number.
        features: What the entry understands, as its last poll stated.
        withheld_number: Number of the last configuration that was not sent
            to it because it would not understand it.
    """

    versions: FeedVersions
    at_ms: float
    update_base: FeedVersions | None = None
    update_count: int = 0
    update_sent_ms: float = float("-inf")
    can_relay: bool = False
    lacks_peers: bool = False
    features: int = 0
    withheld_number: int = NO_CONFIGURATION_NUMBER


@attrs.frozen
class FeedContent:
    """State that notices are made from; a change invalidates cached notices."""

    term: int
    versions: FeedVersions
    controls: tuple[str, ...]
    entries: int
    wall_ms: int


@attrs.define
class FeedState:
    """State of the feed at a control instance.

    Attributes:
        subscribers: Entries that polled, by name.
        last_contact_ms: Last contact of each server, by name; maintained by
            the leader.
        server_silence_ms: Time without contact after which a server is marked
            silent.
        silence_check_due_ms: Time of the next check for silent servers.
        entries: Number of entries that polled recently.
        entries_counted_ms: Time of that count.
        content: State that `notices` were made from.
        notices: Notices by the versions of their receivers, so that each is
            encoded once.
        wall_offset_ms: Wall clock minus monotonic clock.
        rate_shares: Rate limits of servers and the entries that share them.
        relay_key: Key with which entries sign requests that they relay, drawn
            anew by each process.
        started_ms: When the process started.
        limit_leases: Tokens of limits over all entries that are leased to them.
        trials: Permissions to try quarantined requests again.
    """

    subscribers: dict[str, Subscriber] = attrs.field(factory=dict)
    last_contact_ms: dict[str, float] = attrs.field(factory=dict)
    server_silence_ms: float = DEFAULT_SERVER_SILENCE_MS
    silence_check_due_ms: float = 0.0
    entries: int = 0
    entries_counted_ms: float = float("-inf")
    content: FeedContent | None = None
    notices: dict[FeedVersions, FeedNotice] = attrs.field(factory=dict)
    wall_offset_ms: float = 0.0
    rate_shares: RateShares = attrs.field(factory=RateShares)
    relay_key: bytes = attrs.field(default=b"", repr=False)
    started_ms: float = float("-inf")
    limit_leases: LimitLeases = attrs.field(factory=LimitLeases)
    trials: QuarantineTrials = attrs.field(factory=QuarantineTrials)


def on_poll(
    feed: FeedState,
    replica: ReplicaState,
    sender: str,
    poll: FeedPoll,
    now_ms: float,
    effects: list,
) -> None:
    """Sends an entry what it lacks, or the name of the leader."""
    if not replica.can_read(now_ms):
        if replica.role is not Role.LEADER and replica.leader:
            effects.append(SendMessage(sender, FeedRedirect(replica.leader)))
        return
    versions = FeedVersions(
        poll.number,
        poll.revision,
        poll.quarantine_version,
        poll.rate_limits_version,
        poll.evacuation_version,
    )
    subscriber = feed.subscribers.get(sender)
    if subscriber is None:
        subscriber = feed.subscribers[sender] = Subscriber(versions, now_ms)
    subscriber.versions = versions
    subscriber.at_ms = now_ms
    could_relay = subscriber.can_relay
    subscriber.can_relay = poll.is_ready and not poll.is_partitioned
    subscriber.features = poll.features
    if poll.wants_peers:
        subscriber.lacks_peers = True
    if subscriber.can_relay and not could_relay:
        _send_missing_peers(feed, now_ms, effects)
    elif poll.wants_peers:
        _send_peers(feed, sender, now_ms, effects)
    feed.rate_shares.record_reports(
        sender,
        poll.rate_limits,
        feed.subscribers,
        replica.leader_since_ms,
        now_ms,
    )
    leased = None
    leases = _current_leases(feed, replica)
    if poll.limits is not None:
        leased = leases.on_poll(sender, poll.limits, now_ms)
        for name, recall in leases.recalls.items():
            if name in feed.subscribers:
                _send_notice(feed, replica, name, now_ms, effects, recall)
    trials = _permit_trials(feed, replica, poll, now_ms)
    is_in_flight = _is_update_in_flight(feed, replica, subscriber, now_ms)
    if leased is not None or trials or not is_in_flight:
        _send_notice(
            feed, replica, sender, now_ms, effects, leased, is_in_flight, trials
        )


def _permit_trials(
    feed: FeedState, replica: ReplicaState, poll: FeedPoll, now_ms: float
) -> tuple[str, ...]:
    """Returns the quarantined requests that an entry may try again."""
    if not poll.refused:
        return ()
    if feed.trials.term != replica.term:
        feed.trials = QuarantineTrials(replica.term)
    return feed.trials.permit(replica.register, poll.refused, now_ms)


def _current_leases(feed: FeedState, replica: ReplicaState) -> LimitLeases:
    """Returns the leases of the current term, with the limits in force."""
    leases = feed.limit_leases
    if leases.term != replica.term:
        since_ms = replica.leader_since_ms
        leases = LimitLeases(
            replica.term,
            since_ms,
            is_restarted=since_ms - feed.started_ms <= RESTART_ELECTION_MS,
        )
        feed.limit_leases = leases
    numbered = replica.register.numbered
    number = _configuration_number(replica)
    if leases.number != number:
        sizes = {} if numbered is None else quota_sizes(numbered.configuration)
        leases.apply_sizes(number, sizes)
    return leases


def _send_peers(
    feed: FeedState, name: str, now_ms: float, effects: list
) -> None:
    """Names to an entry some others that relay requests."""
    names = [
        other_name
        for other_name, other in feed.subscribers.items()
        if other.can_relay and now_ms - other.at_ms <= PEER_MAX_AGE_MS
    ]
    hosts = choose_peers(name, names)
    feed.subscribers[name].lacks_peers = len(hosts) < MOST_PEERS
    effects.append(SendMessage(name, PeerList(hosts)))


def _send_missing_peers(feed: FeedState, now_ms: float, effects: list) -> None:
    """Names an entry that became able to relay to those that lack peers.

    Load pattern: all entries start at once, some of them are partitioned within
    a second, and then the leader is lost. Whoever asked before the others were
    ready would have no peers until there is another leader.
    """
    for name, subscriber in feed.subscribers.items():
        if subscriber.lacks_peers:
            _send_peers(feed, name, now_ms, effects)


def _is_update_in_flight(
    feed: FeedState,
    replica: ReplicaState,
    subscriber: Subscriber,
    now_ms: float,
) -> bool:
    """Returns whether the update that an entry lacks is probably in flight."""
    if subscriber.versions == _current_versions(feed, replica):
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
    leased: LimitNotice | None = None,
    is_in_flight: bool = False,
    trials: tuple[str, ...] = (),
) -> None:
    """Sends an entry what it lacks and assumes that the notice arrives.

    A lost notice does no harm: the next poll resets the assumed versions. An
    entry whose update is in flight is sent its lease and its trials only.
    """
    subscriber = feed.subscribers[name]
    current = _current_versions(feed, replica)
    if is_in_flight:
        notice = _cached_notice(feed, replica, current, now_ms)
        notice = attrs.evolve(
            notice, revision=0, base_revision=0, limits=leased, trials=trials
        )
        effects.append(SendMessage(name, notice))
        return
    if subscriber.versions != current:
        is_same_base = subscriber.update_base == subscriber.versions
        subscriber.update_count = (
            subscriber.update_count + 1 if is_same_base else 1
        )
        subscriber.update_base = subscriber.versions
        subscriber.update_sent_ms = now_ms
    versions = subscriber.versions
    if not _may_receive_configuration(replica, subscriber):
        # The notice for an entry with the current number has no configuration.
        versions = attrs.evolve(versions, number=current.number)
        if subscriber.withheld_number != current.number:
            subscriber.withheld_number = current.number
            detail = f"number {current.number}: a build without organisations"
            effects.append(RecordEvent(EventKind.CONFIG_WITHHELD, name, detail))
    notice = _cached_notice(feed, replica, versions, now_ms)
    if leased is not None or trials:
        notice = attrs.evolve(notice, limits=leased, trials=trials)
    subscriber.versions = current
    effects.append(SendMessage(name, notice))


def _may_receive_configuration(
    replica: ReplicaState, subscriber: Subscriber
) -> bool:
    """Returns whether an entry understands the configuration in force.

    A build that does not know organisations would serve requests without keys,
    so it keeps the configuration that it has.
    """
    numbered = replica.register.numbered
    return (
        numbered is None
        or not numbered.configuration.organisations
        or bool(subscriber.features & FEATURE_ORGANISATIONS)
    )


def count_withheld(feed: FeedState, replica: ReplicaState) -> int:
    """Counts entries that must not receive the configuration in force."""
    return sum(
        not _may_receive_configuration(replica, subscriber)
        for subscriber in feed.subscribers.values()
    )


def push_changes(
    feed: FeedState, replica: ReplicaState, now_ms: float, effects: list
) -> None:
    """Sends the latest changes to the entries that polled recently.

    Entries that did not are removed from the subscribers.
    """
    if not replica.can_read(now_ms):
        return
    _current_leases(feed, replica)
    current = _current_versions(feed, replica)
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


def _current_versions(feed: FeedState, replica: ReplicaState) -> FeedVersions:
    register = replica.register
    return FeedVersions(
        _configuration_number(replica),
        register.registry.revision,
        register.quarantine_version,
        feed.rate_shares.version(replica.term),
        register.evacuation_version,
    )


def _cached_notice(
    feed: FeedState,
    replica: ReplicaState,
    versions: FeedVersions,
    now_ms: float,
) -> FeedNotice:
    """Returns the notice for an entry with these versions, from the cache."""
    names = [member.replica for member in replica.applied_members]
    names += [name for name in replica.progress if name not in names]
    content = FeedContent(
        replica.term,
        _current_versions(feed, replica),
        tuple(names),
        _count_entries(feed, now_ms),
        int(feed.wall_offset_ms + now_ms - now_ms % NOTICE_MAX_AGE_MS),
    )
    if content != feed.content:
        feed.content = content
        feed.notices.clear()
    notice = feed.notices.get(versions)
    if notice is None:
        notice = feed.notices[versions] = _make_notice(
            feed, replica, content, versions
        )
    return notice


def _make_notice(
    feed: FeedState,
    replica: ReplicaState,
    content: FeedContent,
    versions: FeedVersions,
) -> FeedNotice:
    register = replica.register
    current = content.versions
    has_configuration = versions.number >= current.number
    has_quarantines = versions.quarantine_version == current.quarantine_version
    has_evacuations = versions.evacuation_version == current.evacuation_version
    has_shares = (
        versions.rate_limits_version == current.rate_limits_version
        or not feed.rate_shares.is_complete
    )
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
        rate_limits_version=current.rate_limits_version,
        rate_limits=None if has_shares else feed.rate_shares.shares,
        base_revision=versions.revision,
        relay_key=feed.relay_key,
        evacuation_version=current.evacuation_version,
        evacuated_domains=(
            None if has_evacuations else tuple(register.evacuations)
        ),
        finished_domains=(
            None
            if has_evacuations
            else tuple(register.finished_evacuations.items())
        ),
        wall_ms=content.wall_ms,
    )


def _count_entries(feed: FeedState, now_ms: float) -> int:
    if now_ms - feed.entries_counted_ms > ENTRY_COUNT_MAX_AGE_MS:
        feed.entries_counted_ms = now_ms
        feed.entries = sum(
            now_ms - entry.at_ms <= SUBSCRIPTION_MS
            for entry in feed.subscribers.values()
        )
    return feed.entries


def make_configuration_reply(
    replica: ReplicaState, request: ConfigurationRequest
) -> ConfigurationReply:
    """Returns a reply with the original document and the evacuations."""
    register = replica.register
    document = b""
    if register.numbered is not None and request.wants_document:
        document = register.numbered.document
    evacuations = None
    if replica.can_propose(FEATURE_EVACUATION):
        evacuations = EvacuationStatus(
            register.evacuation_version, tuple(register.evacuations.items())
        )
    return ConfigurationReply(
        request.request_id,
        _configuration_number(replica),
        document,
        evacuations,
    )


def record_server_contacts(
    feed: FeedState, message: ServerHeartbeats, now_ms: float
) -> None:
    """Records the last contact of the servers that a message names."""
    for name in message.servers:
        feed.last_contact_ms[name] = now_ms


def find_silent_servers(
    feed: FeedState, replica: ReplicaState, now_ms: float
) -> list[MarkSilent]:
    """Returns commands that mark servers without recent contact as silent.

    A new leader counts the full time from the start of its leadership.
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
        since_ms = max(last_contact_ms, replica.leader_since_ms)
        if now_ms - since_ms > feed.server_silence_ms:
            commands.append(
                MarkSilent(server.name, server.notice.incarnation, 0)
            )
    return commands

"""Tests for the feed of updates from the control leader to the entries.

Only a leader with a valid lease answers polls and reads.
"""

from __future__ import annotations

import pytest

from gentianwall.claims.commands import (
    AnnounceServer,
    MarkSilent,
    PutConfiguration,
    ReportCrash,
)
from gentianwall.claims.register import apply_command
from gentianwall.config.routes import (
    CallerLimits,
    Organisation,
    RouteConfiguration,
)
from gentianwall.control.messages import (
    FEATURE_ORGANISATIONS,
    CommandRefused,
    ConfigurationReply,
    ConfigurationRequest,
    FeedNotice,
    FeedPoll,
    FeedRedirect,
    PeerList,
    ServerHeartbeats,
)
from gentianwall.core import feed
from gentianwall.core.control import ControlState, reduce_control
from gentianwall.core.effects import RecordEvent, SendMessage
from gentianwall.core.events import MessageArrived
from gentianwall.core.quarantine_trials import FIRST_TRIAL_MS
from gentianwall.membership.messages import ServerKey, ServerNotice
from gentianwall.replication.replica import BatchEnded
from gentianwall.replication.state import Role
from gentianwall.timeline import EventKind
from harness.leader import leading_replica

NOW_MS = 10_000.0
SERVER = ServerNotice(ServerKey("s", "i-1"), "10.0.0.1", 80, 2, "z", 1, "up")


@pytest.fixture
def control():
    """A leader with a valid lease, configuration 7 and one server."""
    replica = leading_replica(NOW_MS)
    configuration = RouteConfiguration(7, (), (), CallerLimits())
    put = PutConfiguration(configuration, b"seven", 0)
    apply_command(replica.register, put)
    apply_command(replica.register, AnnounceServer(SERVER, 1, 0.0, 0))
    return ControlState(replica, ())


def _send(control, message, at_ms=NOW_MS, sender="e"):
    event = MessageArrived(at_ms, 0, sender, "boot", 0.0, message)
    return [effect.message for effect in reduce_control(control, event)]


def _after_lease_ms(control):
    return NOW_MS + control.replica.timing.lease_ms + 1.0


def test_a_read_within_the_lease_returns_the_original_document(control):
    (reply,) = _send(control, ConfigurationRequest("q"))
    assert reply == ConfigurationReply("q", 7, b"seven")


def test_a_leader_whose_lease_expired_refuses_reads(control):
    (reply,) = _send(
        control, ConfigurationRequest("q"), _after_lease_ms(control)
    )
    assert isinstance(reply, CommandRefused)


def test_a_leader_whose_lease_expired_does_not_answer_polls(control):
    poll = FeedPoll(-1, 0, 0, False)
    assert _send(control, poll, _after_lease_ms(control)) == []


def test_a_follower_redirects_to_the_leader(control):
    control.replica.role = Role.FOLLOWER
    control.replica.leader = "b"
    (reply,) = _send(control, FeedPoll(-1, 0, 0, False))
    assert reply == FeedRedirect("b")
    (reply,) = _send(control, ConfigurationRequest("q"))
    assert reply == CommandRefused("q", "b", False)


def test_an_entry_that_lacks_peers_is_named_those_that_become_ready(control):
    """The leader may be lost before the entry asks again."""
    first = FeedPoll(7, 1, 0, True, wants_peers=True)
    assert PeerList(()) in _send(control, first, sender="10.0.0.1:9")
    starting = FeedPoll(-1, 0, 0, False, wants_peers=True)
    messages = _send(control, starting, sender="10.0.0.2:9")
    assert PeerList(("10.0.0.1",)) in messages
    ready = FeedPoll(7, 1, 0, True)
    messages = _send(control, ready, sender="10.0.0.2:9")
    assert PeerList(("10.0.0.2",)) in messages
    messages = _send(control, ready, sender="10.0.0.2:9")
    assert not [m for m in messages if isinstance(m, PeerList)]


def test_an_entry_is_sent_only_what_it_lacks(control):
    (full,) = _send(control, FeedPoll(-1, 0, 0, False))
    assert isinstance(full, FeedNotice)
    assert full.configuration.number == 7
    assert [server.name for server in full.servers] == ["i-1"]
    (empty,) = _send(control, FeedPoll(7, 1, 0, True))
    assert empty.configuration is None
    assert empty.servers == ()


def test_a_change_is_sent_at_once_to_entries_that_polled_recently(control):
    _send(control, FeedPoll(7, 1, 0, True))
    apply_command(control.replica.register, MarkSilent("i-1", 1, 0))
    effects = reduce_control(control, BatchEnded(NOW_MS + 50.0))
    (notice,) = [e.message for e in effects if hasattr(e, "message")]
    assert notice.servers[0].notice.state == "silent"
    assert reduce_control(control, BatchEnded(NOW_MS + 60.0)) == []


def test_a_server_is_silent_only_after_the_full_time_under_one_leader(control):
    replica = control.replica
    state = control.feed
    state.server_silence_ms = 1000.0
    assert feed.find_silent_servers(state, replica, NOW_MS) == []
    late_ms = NOW_MS + 1200.0
    replica.lease_start_ms = late_ms
    (command,) = feed.find_silent_servers(state, replica, late_ms)
    assert command == MarkSilent("i-1", 1, 0)
    feed.record_server_contacts(state, ServerHeartbeats(("i-1",)), late_ms)
    state.silence_check_due_ms = 0.0
    assert feed.find_silent_servers(state, replica, late_ms) == []
    replica.leader_since_ms = late_ms + 500.0
    replica.lease_start_ms = late_ms + 1200.0
    state.silence_check_due_ms = 0.0
    assert feed.find_silent_servers(state, replica, late_ms + 1200.0) == []


def test_entries_with_the_same_versions_share_one_notice(control):
    poll = FeedPoll(-1, 0, 0, False)
    notices = [_send(control, poll, sender=f"e-{n}")[0] for n in range(20)]
    # All entries poll at once after an election; their notice is encoded once.
    assert all(notice is notices[0] for notice in notices)
    counted_ms = NOW_MS + feed.ENTRY_COUNT_MAX_AGE_MS + 1.0
    control.replica.lease_start_ms = counted_ms
    (first,) = _send(control, poll, counted_ms, "e-3")
    (second,) = _send(control, poll, counted_ms, "e-4")
    assert first is second
    assert first.entries == 20
    # An entry with other versions, or changed content, needs another notice.
    (other,) = _send(control, FeedPoll(7, 0, 0, True), counted_ms, "e-5")
    assert other.configuration is None
    apply_command(control.replica.register, MarkSilent("i-1", 1, 0))
    (later,) = _send(control, poll, counted_ms, "e-6")
    assert later.revision > first.revision


def test_an_update_in_flight_is_not_resent_at_each_poll(control):
    poll = FeedPoll(-1, 0, 0, False)
    answered_ms = []
    for at_ms in range(0, 400, 50):
        control.replica.lease_start_ms = NOW_MS + at_ms
        if _send(control, poll, NOW_MS + at_ms):
            answered_ms.append(at_ms)
    # The first two notices are sent without a delay, because the first is lost
    # if the link is not up yet.
    assert answered_ms == [0, 50, 250]


def test_a_poll_of_an_entry_that_lacks_nothing_is_always_answered(control):
    for at_ms in range(0, 400, 50):
        control.replica.lease_start_ms = NOW_MS + at_ms
        (notice,) = _send(control, FeedPoll(7, 1, 0, True), NOW_MS + at_ms)
        assert notice.servers == ()


def test_one_entry_that_refuses_a_quarantined_request_may_try_it(control):
    register = control.replica.register
    for name in ("a#1", "b#1"):
        apply_command(register, ReportCrash("s", "f", name, 0))
    poll = FeedPoll(7, 1, 1, True, refused=("f", "g"))

    def permitted(sender, at_ms):
        control.replica.lease_start_ms = at_ms
        notices = _send(control, poll, at_ms, sender)
        return [notice.trials for notice in notices]

    assert permitted("e1", NOW_MS) == [()]
    trial_ms = NOW_MS + FIRST_TRIAL_MS
    assert permitted("e1", trial_ms) == [("f",)]
    assert permitted("e2", trial_ms) == [()]
    # A new leader does not know the trials of the one before.
    control.feed.trials.term -= 1
    assert permitted("e2", trial_ms) == [()]
    assert permitted("e2", trial_ms + FIRST_TRIAL_MS) == [("f",)]


def test_an_older_build_receives_no_configuration_with_organisations(control):
    """Guards against an entry that serves such a configuration without keys."""
    configuration = RouteConfiguration(
        8, (), (), CallerLimits(), (Organisation("acme"),)
    )
    old, new = (
        FeedPoll(7, 0, 0, True),
        FeedPoll(7, 0, 0, True, features=FEATURE_ORGANISATIONS),
    )
    for sender, poll in (("old", old), ("new", new)):
        _send(control, poll, sender=sender)
    apply_command(
        control.replica.register, PutConfiguration(configuration, b"eight", 0)
    )
    effects = reduce_control(control, BatchEnded(NOW_MS + 50.0))
    sent = [e for e in effects if isinstance(e, SendMessage)]
    pushed = {e.receiver: e.message for e in sent}
    (event,) = [e for e in effects if isinstance(e, RecordEvent)]
    assert (event.kind, event.subject) == (EventKind.CONFIG_WITHHELD, "old")
    assert feed.count_withheld(control.feed, control.replica) == 1
    assert pushed["new"].configuration == configuration
    assert pushed["old"].configuration is None
    # Polls get the same, also of an entry that has no configuration yet, and
    # the servers as before.
    for poll in (old, FeedPoll(-1, 0, 0, False)):
        (notice,) = _send(control, poll, sender="old")
        assert notice.configuration is None
        assert [server.name for server in notice.servers] == ["i-1"]
    (notice,) = _send(control, new, sender="new")
    assert notice.configuration == configuration
    # The next one without organisations is sent to both.
    apply_command(
        control.replica.register,
        PutConfiguration(
            RouteConfiguration(9, (), (), CallerLimits()), b"nine", 0
        ),
    )
    (notice,) = _send(control, old, sender="old")
    assert notice.number == notice.configuration.number == 9
    assert feed.count_withheld(control.feed, control.replica) == 0

"""Only a leader under its lease tells what is in force."""

from __future__ import annotations

import pytest

from gentianwall.claims.commands import (
    AnnounceServer,
    MarkSilent,
    PutConfiguration,
)
from gentianwall.claims.register import apply_command
from gentianwall.config.routes import CallerLimits, RouteConfiguration
from gentianwall.control.messages import (
    CommandRefused,
    ConfigurationReply,
    ConfigurationRequest,
    FeedNotice,
    FeedPoll,
    FeedRedirect,
    ServerHeartbeats,
)
from gentianwall.core import feed
from gentianwall.core.control import ControlState, reduce_control
from gentianwall.core.events import MessageArrived
from gentianwall.membership.messages import ServerKey, ServerNotice
from gentianwall.replication.replica import BatchEnded
from gentianwall.replication.state import Role
from harness.leader import leading_replica

NOW_MS = 10_000.0
SERVER = ServerNotice(ServerKey("s", "i-1"), "10.0.0.1", 80, 2, "z", 1, "up")


@pytest.fixture
def control():
    """A leader under its lease that holds configuration 7 and a server."""
    replica = leading_replica(NOW_MS)
    configuration = RouteConfiguration(7, (), (), CallerLimits())
    put = PutConfiguration(configuration, b"seven", 0)
    apply_command(replica.register, put)
    apply_command(replica.register, AnnounceServer(SERVER, 1, 0.0, 0))
    return ControlState(replica, ())


def _send(control, message, at_ms=NOW_MS, sender="e"):
    event = MessageArrived(at_ms, 0, sender, "boot", 0.0, message)
    return [effect.message for effect in reduce_control(control, event)]


def _lease_over(control):
    return NOW_MS + control.replica.timing.lease_ms + 1.0


def test_a_read_under_the_lease_is_the_operators_own_text(control):
    (reply,) = _send(control, ConfigurationRequest("q"))
    assert reply == ConfigurationReply("q", 7, b"seven")


def test_a_leader_whose_lease_is_over_answers_no_read(control):
    (reply,) = _send(control, ConfigurationRequest("q"), _lease_over(control))
    assert isinstance(reply, CommandRefused)


def test_a_leader_whose_lease_is_over_tells_entries_nothing(control):
    poll = FeedPoll(-1, 0, 0, False)
    assert _send(control, poll, _lease_over(control)) == []


def test_a_follower_names_the_leader(control):
    control.replica.role = Role.FOLLOWER
    control.replica.leader = "b"
    (reply,) = _send(control, FeedPoll(-1, 0, 0, False))
    assert reply == FeedRedirect("b")
    (reply,) = _send(control, ConfigurationRequest("q"))
    assert reply == CommandRefused("q", "b", False)


def test_an_entry_is_told_only_what_it_lacks(control):
    (all_of_it,) = _send(control, FeedPoll(-1, 0, 0, False))
    assert isinstance(all_of_it, FeedNotice)
    assert all_of_it.configuration.number == 7
    assert [server.name for server in all_of_it.servers] == ["i-1"]
    (nothing,) = _send(control, FeedPoll(7, 1, 0, True))
    assert nothing.configuration is None
    assert nothing.servers == ()


def test_a_change_is_pushed_to_those_that_polled_lately(control):
    _send(control, FeedPoll(7, 1, 0, True))
    apply_command(control.replica.register, MarkSilent("i-1", 1, 0))
    effects = reduce_control(control, BatchEnded(NOW_MS + 50.0))
    (notice,) = [e.message for e in effects if hasattr(e, "message")]
    assert notice.servers[0].notice.state == "silent"
    assert reduce_control(control, BatchEnded(NOW_MS + 60.0)) == []


def test_a_server_is_silent_only_after_the_whole_time_under_one_leader(control):
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


def test_entries_that_hold_the_same_are_told_by_one_notice(control):
    poll = FeedPoll(-1, 0, 0, False)
    told = [_send(control, poll, sender=f"e-{n}")[0] for n in range(20)]
    # Just after an election all of them ask at once.
    assert all(notice is told[0] for notice in told)
    counted_ms = NOW_MS + feed.ENTRY_COUNT_MAX_AGE_MS + 1.0
    control.replica.lease_start_ms = counted_ms
    (first,) = _send(control, poll, counted_ms, "e-3")
    (second,) = _send(control, poll, counted_ms, "e-4")
    assert first is second
    assert first.entries == 20
    # Who holds something else, or is told of something else, gets another.
    (other,) = _send(control, FeedPoll(7, 0, 0, True), counted_ms, "e-5")
    assert other.configuration is None
    apply_command(control.replica.register, MarkSilent("i-1", 1, 0))
    (later,) = _send(control, poll, counted_ms, "e-6")
    assert later.revision > first.revision


def test_news_on_its_way_is_not_sent_at_each_poll(control):
    poll = FeedPoll(-1, 0, 0, False)
    told = []
    for at_ms in range(0, 400, 50):
        control.replica.lease_start_ms = NOW_MS + at_ms
        if _send(control, poll, NOW_MS + at_ms):
            told.append(at_ms)
    # The first is lost where the link is not up yet, so it counts not.
    assert told == [0, 50, 250]


def test_a_poll_without_need_of_news_is_always_answered(control):
    for at_ms in range(0, 400, 50):
        control.replica.lease_start_ms = NOW_MS + at_ms
        (notice,) = _send(control, FeedPoll(7, 1, 0, True), NOW_MS + at_ms)
        assert notice.servers == ()

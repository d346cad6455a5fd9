"""Tests that entries divide the rate limits of servers, without sockets.

The replay has many entries that each send to one server whenever they may, and
a leader that divides the limit of that server among them.
"""

from __future__ import annotations

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentianwall.claims.commands import PutConfiguration
from gentianwall.claims.register import apply_command
from gentianwall.config.routes import CallerLimits, RouteConfiguration
from gentianwall.control.messages import FeedPoll, RateLimitReport
from gentianwall.core.control import ControlState, reduce_control
from gentianwall.core.events import MessageArrived
from gentianwall.core.rate_shares import RateShares, choose_holders
from gentianwall.core.refusals import RefusalReason
from gentianwall.gateway import effects as fx
from gentianwall.gateway.rate_limits import RateLimits
from gentianwall.routing.reports import parse_rate_limit
from harness.gateway_entry import (
    IDLE,
    Entry,
    effects_of_type,
    server,
    single_refusal,
)
from harness.leader import leading_replica

POLL_MS = 400.0
STEP_MS = 25.0
SETTLING_MS = 3000.0
WINDOW_MS = 4000.0
REPLAY_MS = 30_000.0
LEADERSHIP_MS = 8000.0
ELECTION_MS = 1000.0


@attrs.define
class SimulatedEntry:
    """An entry that sends to the limited server whenever it may."""

    name: str
    poll_phase_ms: float
    limits: RateLimits = attrs.field(factory=RateLimits)


def _replay(entries, per_second):
    """Returns when the server gets requests from entries without a pause.

    The server answers within one step and names its limit from the start. The
    leader is lost three times, and another one stands a second later.
    """
    shares = RateShares()
    term = 1
    leader_since_ms = -LEADERSHIP_MS
    fleet = [
        SimulatedEntry(f"e{number}", number * POLL_MS / entries)
        for number in range(entries)
    ]
    names = [entry.name for entry in fleet]
    arrived_ms = []
    now_ms = 0.0
    while now_ms < REPLAY_MS:
        now_ms += STEP_MS
        if now_ms >= term * LEADERSHIP_MS:
            term += 1
            shares = RateShares()
            leader_since_ms = now_ms
        has_leader = now_ms % LEADERSHIP_MS < LEADERSHIP_MS - ELECTION_MS
        for entry in fleet:
            if entry.limits.may_send("s", now_ms):
                arrived_ms.append(now_ms)
                entry.limits.spend("s")
                entry.limits.record_statement("s", per_second, entries, now_ms)
            is_poll_due = (now_ms + entry.poll_phase_ms) % POLL_MS < STEP_MS
            if is_poll_due and has_leader:
                reports = entry.limits.make_reports(now_ms)
                shares.record_reports(
                    entry.name, reports, names, leader_since_ms, now_ms
                )
                if shares.is_complete:
                    entry.limits.apply_shares(
                        shares.version(term), shares.shares, entry.name, now_ms
                    )
    return arrived_ms


@pytest.mark.parametrize("entries", [1, 7, 44, 119])
@pytest.mark.parametrize("per_second", [0.5, 1.0, 6.0, 40.0])
def test_entries_that_always_send_keep_to_the_limit(entries, per_second):
    arrived_ms = [t for t in _replay(entries, per_second) if t >= SETTLING_MS]
    most = max(
        sum(start <= t < start + WINDOW_MS for t in arrived_ms)
        for start in arrived_ms
    )
    assert most <= 1.5 * per_second * WINDOW_MS / 1000.0 + 5
    # The server gets most of what it takes.
    allowed = per_second * (REPLAY_MS - SETTLING_MS) / 1000.0
    assert len(arrived_ms) >= 0.75 * allowed


@given(
    per_second=st.floats(0.1, 100.0),
    entries=st.sets(st.text(min_size=1, max_size=4), min_size=1, max_size=30),
)
def test_the_saved_up_requests_of_all_holders_stay_below_the_slack(
    per_second, entries
):
    holders = choose_holders("s", per_second, entries)
    assert set(holders) <= entries
    assert len(holders) <= 4 + per_second
    left = entries - {holders[0]}
    if left:
        kept = set(choose_holders("s", per_second, left))
        assert set(holders) - {holders[0]} <= kept


def test_an_entry_without_a_share_sends_nothing():
    limits = RateLimits()
    limits.record_statement("s", 2.0, 4, 0.0)
    shares = RateShares()
    shares.record_reports(
        "other", (RateLimitReport("s", 2.0, 0.0),), ["other"], 0.0, 1000.0
    )
    limits.apply_shares(1, shares.shares, "this", 1000.0)
    assert limits.wait_ms(["s"], 60_000.0) == float("inf")


def test_without_the_leader_a_limit_is_divided_among_all_entries():
    limits = RateLimits()
    limits.record_statement("s", 2.0, 4, 0.0)
    assert limits.wait_ms(["s"], 0.0) == 2000.0


def test_a_limit_ends_when_an_answer_does_not_name_it():
    shares = RateShares()
    limits = {name: RateLimits() for name in "ab"}

    def poll(name, now_ms):
        reports = limits[name].make_reports(now_ms)
        shares.record_reports(name, reports, "ab", -1000.0, now_ms)
        limits[name].apply_shares(
            shares.version(1), shares.shares, name, now_ms
        )

    limits["a"].record_statement("s", 0.1, 2, 0.0)
    poll("a", 100.0)
    poll("b", 100.0)
    assert not limits["b"].may_send("s", 1000.0)
    limits["a"].record_statement("s", None, 2, 2000.0)
    assert limits["a"].may_send("s", 2000.0)
    poll("a", 2100.0)
    poll("b", 2100.0)
    assert limits["b"].may_send("s", 2100.0)
    # A report that was on its way does not restore the limit.
    late = (RateLimitReport("s", 0.1, 500.0),)
    shares.record_reports("b", late, "ab", -1000.0, 2200.0)
    assert not shares.shares


def test_a_new_leader_gives_out_shares_only_after_all_entries_have_polled():
    shares = RateShares()
    reports = (RateLimitReport("s", 2.0, 0.0),)
    shares.record_reports("a", reports, "ab", 0.0, 100.0)
    assert not shares.is_complete
    shares.record_reports("b", reports, "ab", 0.0, 500.0)
    shares.record_reports("a", (), "ab", 0.0, 1000.0)
    assert shares.is_complete
    assert [share.holders for share in shares.shares] == [("a", "b")]


def test_an_unconfirmed_limit_outlasts_a_notice_sent_before_its_report():
    limits = RateLimits()
    limits.record_statement("s", 0.1, 2, 0.0)
    limits.apply_shares(1, (), "e", 100.0)
    assert not limits.may_send("s", 200.0)


@pytest.fixture
def entry():
    """An entry with two idle servers and fresh load reports of both."""
    entry = Entry()
    entry.deliver_update(server("a", 1), server("b", 2), entries=2)
    for name in "ab":
        entry.deliver_load_report(name, IDLE)
    return entry


def test_a_server_whose_limit_is_used_up_gets_no_requests(entry):
    entry.state.rate_limits.record_statement("a", 1.0, 2, entry.now_ms)
    for _ in range(4):
        effects = entry.deliver_request()
        sent = effects_of_type(effects, fx.SendRequest)
        assert [request.notice.key.server for request in sent] == ["b"]
        entry.deliver_answer()


def test_retry_after_names_the_time_of_the_next_allowed_request(entry):
    for name in "ab":
        entry.state.rate_limits.record_statement(name, 1.0, 2, entry.now_ms)
    refusal = single_refusal(entry.deliver_request())
    assert refusal.reason is RefusalReason.OVERLOADED
    assert refusal.retry_after_ms > 2000.0


def test_the_leader_tells_every_entry_the_shares_once():
    replica = leading_replica(1000.0)
    configuration = RouteConfiguration(7, (), (), CallerLimits())
    apply_command(replica.register, PutConfiguration(configuration, b"", 0))
    control = ControlState(replica, ())

    def poll(sender, version=0, reports=()):
        message = FeedPoll(7, 0, 0, True, version, reports)
        event = MessageArrived(1000.0, 0, sender, "boot", 0.0, message)
        (effect,) = reduce_control(control, event)
        return effect.message

    assert poll("other").rate_limits is None
    first = poll("e", reports=(RateLimitReport("s", 2.0, 0.0),))
    assert [share.holders for share in first.rate_limits] == [("e",)]
    assert poll("e", first.rate_limits_version).rate_limits is None
    assert poll("other").rate_limits == first.rate_limits


@pytest.mark.parametrize(
    ("text", "per_second"),
    [
        ("1", 1.0),
        (" 0.25 ", 0.25),
        ("0", 0.0),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("many", None),
        ("", None),
    ],
)
def test_a_malformed_rate_limit_is_ignored(text, per_second):
    assert parse_rate_limit(text) == per_second

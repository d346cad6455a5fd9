"""Tests for what entries together send to cold servers, without a network."""

from __future__ import annotations

import bisect
import random

import attrs
import pytest
from twisted.web.http_headers import Headers

from gentianwall.claims.commands import (
    FEATURE_REPEATED_WARMUP,
    AnnounceServer,
    Noop,
    PutConfiguration,
)
from gentianwall.claims.register import RegisterState, apply_command
from gentianwall.control.messages import FeedNotice, FeedPoll
from gentianwall.core.control import ControlState, reduce_control
from gentianwall.core.events import MessageArrived, Tick
from gentianwall.gateway import effects as fx
from gentianwall.gateway import state as gateway_state
from gentianwall.gateway.budget import RetryLimits
from gentianwall.gateway.cold_servers import ColdLimits, ColdPlan
from gentianwall.gateway.events import FeedArrived, LoadQueryEnded
from gentianwall.gateway.servers import RoutedServer
from gentianwall.gateway.state import GatewayState
from gentianwall.http.connections import ServerAnswer
from gentianwall.platform.process import DIALECT
from gentianwall.runtime.answers import AnswerReader
from harness.gateway_entry import (
    CONFIGURATION,
    IDLE,
    Entry,
    effects_of_type,
    server,
    single_refusal,
)
from harness.leader import leading_replica

STEP_MS = 100.0
LIMITS = ColdLimits(1.5, 8.0)


class Fleet:
    """Entries that send to cold servers whenever they may.

    After 10 s a third of them hears no leader any more, and one of the others
    starts anew each second. The others count the third no more once they may.
    """

    def __init__(self, entries, servers, per_second, seed):
        self.rng = random.Random(seed)
        self.per_second = per_second
        self.names = [f"i-{n}" for n in range(servers)]
        self.total = entries
        self.now_ms = 0.0
        self.sent_ms = {name: [] for name in self.names}
        self.entries = [self._start(n) for n in range(entries)]

    def _start(self, number):
        state = GatewayState(
            f"e-{number}",
            "z",
            random.Random(1),
            RetryLimits(0.2, 20.0, 1e4),
            (),
        )
        state.first_notice_ms = self.now_ms
        service = state.service("s")
        service.warmup_per_s = self.per_second
        state.entries = self.total
        for name in self.names:
            added = RoutedServer(server(name, 1), self.now_ms)
            service.servers[name] = added
            state.service_by_server[name] = "s"
            state.set_cold(added, 1e9, self.now_ms)
        return state

    def _is_cut_off(self, number):
        return self.now_ms > 10_000.0 and number % 3 == 0

    def step(self):
        self.now_ms += STEP_MS
        connected = sum(not self._is_cut_off(n) for n in range(self.total))
        for number, state in enumerate(self.entries):
            if not self._is_cut_off(number):
                state.feed_received_ms = self.now_ms
                if self.now_ms > 10_000.0 + gateway_state.ENTRIES_DECREASE_MS:
                    state.entries = connected
        restarted = self.rng.randrange(self.total)
        is_due = self.now_ms > 10_000.0 and self.now_ms % 1000.0 < STEP_MS
        if is_due and not self._is_cut_off(restarted):
            self.entries[restarted] = self._start(restarted)
        for state in self.entries:
            self._send(state)

    def _send(self, state):
        plan = state.cold_plan(state.service("s"))
        for name, known in state.service("s").servers.items():
            if known.cold_draw.rank >= plan.sender_share:
                continue  # `may_send` is slow, and false.
            if state.may_send(name, self.now_ms):
                state.record_sent(known, self.now_ms)
                delay_ms = self.rng.uniform(0.0, 150.0)
                self.sent_ms[name].append(self.now_ms + delay_ms)

    def most_in_a_second(self):
        most = 0
        for times_ms in map(sorted, self.sent_ms.values()):
            for index, time_ms in enumerate(times_ms):
                end = bisect.bisect_left(times_ms, time_ms + 1000.0)
                most = max(most, end - index)
        return most


@pytest.mark.parametrize("per_second", [3.2, 3.8])
@pytest.mark.parametrize("entries", [6, 12, 13, 20, 52, 119, 194, 200])
def test_all_entries_together_keep_to_what_a_cold_server_withstands(
    entries, per_second
):
    """Guards against servers that crash while they warm up."""
    fleet = Fleet(entries, 40, per_second, seed=entries)
    while fleet.now_ms < 44_000.0:
        fleet.step()
    limit = per_second * LIMITS.overage + LIMITS.slack
    assert fleet.most_in_a_second() <= limit
    early = [
        sum(4000.0 < ms <= 10_000.0 for ms in times_ms) / 6.0
        for times_ms in fleet.sent_ms.values()
    ]
    # Servers that warm up are of use, and get less than they withstand.
    assert 0.25 * per_second < sum(early) / len(early) < 1.2 * per_second


def test_the_replay_finds_entries_that_do_not_share(monkeypatch):
    monkeypatch.setattr(
        gateway_state, "make_plan", lambda *_: ColdPlan(0.2, 1250.0)
    )
    fleet = Fleet(120, 5, 3.2, seed=1)
    while fleet.now_ms < 12_000.0:
        fleet.step()
    assert fleet.most_in_a_second() > 12.8


def test_entries_that_become_senders_together_do_not_send_together():
    """Guards against a burst when the number of entries falls."""
    fleet = Fleet(20, 1, 3.2, seed=1)
    fleet.now_ms = 20_000.0
    waits_ms = []
    for state in fleet.entries:
        state.feed_received_ms = fleet.now_ms
        was_sender = state.may_send("i-0", fleet.now_ms)
        state.entries = 12
        waits_ms.append(state.cold_wait_ms("i-0", fleet.now_ms))
        assert was_sender or waits_ms[-1] >= 1000.0
    assert max(waits_ms) > 3000.0


def test_chosen_senders_are_rarely_more_than_a_server_withstands():
    """Guards against a share that only fits the servers of the replay."""
    plan = gateway_state.make_plan(194, 3.2, LIMITS)
    counts = [
        sum(
            gateway_state.draw(f"e{e}", "i", incarnation).rank
            < plan.sender_share
            for e in range(194)
        )
        for incarnation in range(2000)
    ]
    assert max(counts) <= 12
    assert 1.5 < sum(counts) / len(counts) < 4.0


# What servers state by heartbeats.

CONFIGURED = attrs.evolve(
    CONFIGURATION,
    services=(
        attrs.evolve(
            CONFIGURATION.services[0], warmup_ms=20_000.0, warmup_per_s=3.2
        ),
    ),
)
AT_MS = 1_700_000_000_000


@pytest.fixture
def register():
    """A register with a warm server whose service limits cold ones."""
    register = RegisterState()
    apply_command(register, Noop(FEATURE_REPEATED_WARMUP))
    apply_command(register, PutConfiguration(CONFIGURED, b"", AT_MS))
    _announce(register, 1, 0.0, AT_MS)
    return register


def _announce(register, sequence, warmup_ms, at_ms):
    notice = server("a", 0).notice
    command = AnnounceServer(notice, sequence, warmup_ms, at_ms)
    before = register.registry.revision
    apply_command(register, command)
    return register.registry.revision > before


def test_a_known_server_that_is_cold_again_is_a_change(register):
    assert not _announce(register, 2, 0.0, AT_MS + 1500)
    assert _announce(register, 3, 20_000.0, AT_MS + 3000)
    # Further heartbeats of the same warm-up state less and less time.
    assert not _announce(register, 4, 18_700.0, AT_MS + 4500)
    assert not _announce(register, 2, 20_000.0, AT_MS + 9000)
    assert _announce(register, 5, 0.0, AT_MS + 6000)
    assert not _announce(register, 6, 0.0, AT_MS + 7500)
    assert _announce(register, 7, 5000.0, AT_MS + 90_000)
    record = register.registry.servers["a"]
    assert record.cold_until_ms == AT_MS + 95_000
    assert record.notice.state == "up"


def test_only_the_first_statement_counts_without_limit_or_feature(register):
    """Guards against registries that differ between builds."""
    register.features = 0
    assert not _announce(register, 3, 20_000.0, AT_MS + 3000)
    register.features = FEATURE_REPEATED_WARMUP
    unlimited = attrs.evolve(CONFIGURATION, number=8)
    apply_command(register, PutConfiguration(unlimited, b"", AT_MS))
    assert not _announce(register, 3, 20_000.0, AT_MS + 3000)


def test_a_notice_states_the_time_by_which_warm_ups_end(register):
    leader = leading_replica(10_000.0)
    leader.register = register
    control = ControlState(leader, ())
    for later_ms in (0, 50):
        assert _poll(control, later_ms).wall_ms == AT_MS


def test_a_notice_that_is_sent_later_states_a_later_time(register):
    """Guards against warm servers that still get as little as cold ones."""
    leader = leading_replica(10_000.0)
    leader.register = register
    control = ControlState(leader, ())
    for later_ms in range(0, 300, 50):
        stated_ms = _poll(control, later_ms).wall_ms
        assert AT_MS + later_ms - 250 < stated_ms <= AT_MS + later_ms


def _poll(control, later_ms):
    """Returns the notice that answers an entry without a configuration."""
    poll = MessageArrived(
        10_000.0 + later_ms, AT_MS + later_ms, f"e{later_ms}", "b", 0.0,
        FeedPoll(-1, 0, 0, True),
    )  # fmt: skip
    (effect,) = reduce_control(control, poll)
    return effect.message


# The entry.


def _deliver(entry, *records, **fields):
    revision = max((r.revision for r in records), default=1)
    notice = FeedNotice(
        3, 7, CONFIGURED, revision, records, 0, None, ("c1",), 1,
        wall_ms=AT_MS, **fields,
    )  # fmt: skip
    return entry.reduce(FeedArrived(entry.now_ms, "c1", notice))


@pytest.fixture
def entry():
    """An entry that knows the number of entries and a warm server."""
    entry = Entry()
    _deliver(entry, server("a", 1))
    entry.now_ms += 4000.0
    _deliver(entry)
    entry.deliver_load_report("a", IDLE)
    return entry


def _is_sent(entry):
    entry.deliver_load_report("a", IDLE)
    effects = entry.deliver_request()
    if effects_of_type(effects, fx.SendRequest):
        entry.deliver_answer()
        return True
    assert single_refusal(effects).status == 503
    return False


def _state_warmup(entry, warmup_ms):
    entry.reduce(
        LoadQueryEnded(
            entry.now_ms, "a", True, True, False, IDLE, warmup_ms=warmup_ms
        )
    )


def test_a_server_that_is_cold_again_gets_requests_at_a_bounded_rate(entry):
    assert _is_sent(entry)
    record = attrs.evolve(server("a", 2), cold_until_ms=AT_MS + 9000)
    _deliver(entry, record)
    sent = []
    for _ in range(100):
        entry.now_ms += 100.0
        if _is_sent(entry):
            sent.append(entry.now_ms)
    cold_end_ms = 5000.0 + 9000.0
    cold = [ms for ms in sent if ms < cold_end_ms]
    # Nothing in the first second, then 3.2 requests a second.
    assert cold[0] >= 6000.0
    assert 15 <= len(cold) <= 26
    assert len(sent) - len(cold) >= 9


def test_a_health_answer_states_at_once_that_a_server_is_cold_or_warm(entry):
    _state_warmup(entry, 5000.0)
    assert not _is_sent(entry)
    _state_warmup(entry, 0.0)
    assert _is_sent(entry)


def test_an_entry_that_does_not_know_the_number_of_entries_sends_nothing():
    """Guards against each started entry taking itself for the only one."""
    entry = Entry()
    _deliver(entry, attrs.evolve(server("a", 1), cold_until_ms=AT_MS + 9000))
    entry.now_ms += 2500.0
    assert not _is_sent(entry)


def test_an_entry_that_hears_no_leader_for_long_sends_nothing(entry):
    _state_warmup(entry, 60_000.0)
    entry.now_ms += 27_000.0
    assert _is_sent(entry)
    entry.now_ms += 2000.0
    assert not _is_sent(entry)


def test_servers_of_a_returned_domain_count_as_cold_until_they_say_so(entry):
    changes = {"evacuation_version": 1, "evacuated_domains": ()}
    long_ago = (("z", AT_MS - 21_000),)
    _deliver(entry, finished_domains=long_ago, **changes)
    assert _is_sent(entry)
    finished = (("z", AT_MS - 3000),)
    changes["evacuation_version"] = 2
    _deliver(entry, finished_domains=finished, **changes)
    assert not _is_sent(entry)
    (check,) = effects_of_type(
        entry.reduce(Tick(entry.now_ms)), fx.CheckOverdue
    )
    assert check.notice.key.server == "a"
    _state_warmup(entry, 0.0)
    assert _is_sent(entry)
    # A later change of another domain does not make it cold again.
    changes["evacuation_version"] = 3
    _deliver(entry, finished_domains=finished, **changes)
    assert _is_sent(entry)


@pytest.mark.parametrize(
    ("text", "expected"),
    [("2500", 2500.0), ("0", 0.0), ("-1", None), ("nan", None), ("x", None)],
)
def test_the_header_of_health_answers_is_read(text, expected):
    headers = Headers({b"X-Gentianwall-Warmup-Ms": [text.encode()]})
    answer = ServerAnswer(200, headers, b"")
    assert AnswerReader(DIALECT).warmup_ms(answer) == expected
    assert (
        AnswerReader(DIALECT).warmup_ms(ServerAnswer(200, Headers(), b""))
        is None
    )

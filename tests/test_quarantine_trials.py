"""Tests that a quarantine ends by a trial, and that few trials crash servers.

The last test replays the load that the decision answers: a page that many read,
a request that crashes servers, and servers that end for other reasons.
"""

from __future__ import annotations

import random

import pytest

from gentianwall.claims.commands import (
    ReleaseQuarantine,
    ReportCrash,
)
from gentianwall.claims.quarantines import TRIAL_MS
from gentianwall.claims.register import RegisterState, apply_command
from gentianwall.control.messages import CommandRequest, FeedPoll
from gentianwall.core.events import CallerDisconnected, FailureKind, Tick
from gentianwall.core.quarantine_trials import (
    FIRST_TRIAL_MS,
    TRIAL_PAUSE_MS,
    QuarantineTrials,
)
from gentianwall.core.refusals import RefusalReason
from gentianwall.gateway import effects as fx
from gentianwall.gateway.events import (
    DeadlineExpired,
    LoadQueryEnded,
    ReachChecked,
    ServerAnswered,
    ServerCrashed,
)
from harness.gateway_entry import IDLE, Entry, effects_of_type, server

PAGE, CRASHER = "f" * 32, "e" * 32
SERVERS = "abcdef"
STEP_MS = 50.0
# What the callers need: few further crashes by a request that crashed three
# servers, and a page that is served again soon after its servers are back.
MAX_LATE_RUNS = 3
LATE_AFTER_MS = 3000.0
SERVED_AGAIN_MS = 3000.0
MAX_REFUSED_SHARE = 0.05


@pytest.fixture
def register():
    """A register with one quarantined request."""
    register = RegisterState()
    for name in ("a#1", "b#1"):
        apply_command(register, ReportCrash("s", PAGE, name, 0))
    return register


def test_one_trial_at_a_time_is_permitted_to_those_who_ask(register):
    trials = QuarantineTrials()
    first_ms = FIRST_TRIAL_MS
    assert trials.permit(register, (PAGE,), 0.0) == ()
    assert trials.permit(register, (PAGE,), first_ms - 1.0) == ()
    assert trials.permit(register, (), first_ms) == ()
    assert trials.permit(register, (PAGE, CRASHER), first_ms) == (PAGE,)
    second_ms = first_ms + TRIAL_PAUSE_MS
    assert trials.permit(register, (PAGE,), second_ms - 1.0) == ()
    assert trials.permit(register, (PAGE,), second_ms) == (PAGE,)


@pytest.mark.parametrize("crashes", [1, 2])
def test_no_trial_is_permitted_after_a_crash_in_one(register, crashes):
    trials = QuarantineTrials()
    trials.permit(register, (PAGE,), 0.0)
    # Runs that were in flight when the quarantine began are no trials.
    apply_command(register, ReportCrash("s", PAGE, "c#1", 0))
    assert trials.permit(register, (PAGE,), FIRST_TRIAL_MS) == (PAGE,)
    for name in ("d#1", "e#1")[:crashes]:
        apply_command(register, ReportCrash("s", PAGE, name, 1000))
    assert not trials.permit(register, (PAGE,), 10 * TRIAL_PAUSE_MS)
    apply_command(register, ReleaseQuarantine(PAGE, 1000))
    assert not trials.permit(register, (PAGE,), 20 * TRIAL_PAUSE_MS)
    assert not trials.records


class Deployment:
    """Entries that share a register, and servers that crash or end."""

    def __init__(self, seed, entries=3):
        self.rng = random.Random(seed)
        self.now_ms = 1000.0
        self.register = RegisterState()
        self.trials = QuarantineTrials()
        self.entries = [Entry() for _ in range(entries)]
        self.ended = set()
        self.down = set()
        self.crashes_ms = []
        self.starts = dict.fromkeys(SERVERS, 0)
        for entry in self.entries:
            servers = (server(name, i) for i, name in enumerate(SERVERS, 1))
            entry.deliver_update(*servers, entries=entries)

    def step(self, ended):
        """Advances the time; some servers end for reasons of their own.

        They end after they have reported their load, with requests in flight.
        """
        self.now_ms += STEP_MS
        for entry in self.entries:
            entry.now_ms = self.now_ms
            self._carry_out(entry, entry.reduce(Tick(self.now_ms)))
            for name in set(SERVERS) - self.ended:
                entry.deliver_load_report(name, IDLE)
        self.down = self.ended & set(ended)
        self.ended = set(ended)
        for name in ended:
            self.starts[name] += 1

    def _carry_out(self, entry, effects):
        """Applies what an entry sends to control, and replies to its polls."""
        for sent in effects_of_type(effects, fx.SendToControl):
            if sent.receiver != "c1":
                continue
            if isinstance(sent.message, CommandRequest):
                apply_command(self.register, sent.message.command)
            elif isinstance(sent.message, FeedPoll):
                self._reply(entry, sent.message)

    def _reply(self, entry, poll):
        trials = self.trials.permit(self.register, poll.refused, self.now_ms)
        entry.deliver_quarantines(self.register, trials, len(self.entries))

    def request(self, entry, fingerprint):
        """Sends a request; returns whether it is served, and its refusal."""
        effects = entry.deliver_request(fingerprint=fingerprint)
        while effects:
            (sent,) = effects_of_type(effects, fx.SendRequest) or (None,)
            if sent is None:
                effects = self._answer_queries(entry, effects)
                continue
            name = sent.notice.key.server
            if fingerprint == PAGE and name not in self.ended:
                self._complete(entry, sent.attempt)
                return True, None
            if name in self.down:
                kind = FailureKind.NOT_CONNECTED
                effects = entry.fail_attempt(kind, sent.attempt)
            else:
                effects = self._crash(entry, sent, fingerprint)
            refused = effects_of_type(effects, fx.RefuseRequest)
            if refused:
                return False, refused[0].refusal.reason
        event = CallerDisconnected(self.now_ms, entry.last_call_id)
        self._carry_out(entry, entry.reduce(event))
        return False, None

    def _answer_queries(self, entry, effects):
        """Answers load queries; servers that have ended do not answer."""
        for query in effects_of_type(effects, fx.QueryLoad):
            for name in sorted(n.key.server for n in query.notices):
                event = LoadQueryEnded(
                    self.now_ms, name, name not in self.ended, True, False, IDLE
                )
                following = entry.reduce(event)
                if following:
                    return following
        return []

    def _complete(self, entry, attempt):
        event = ServerAnswered(
            self.now_ms,
            entry.last_call_id,
            attempt,
            200,
            False,
            True,
            IDLE,
            fingerprint=PAGE,
        )
        self._carry_out(entry, entry.reduce(event))

    def _crash(self, entry, sent, fingerprint):
        name = sent.notice.key.server
        if fingerprint == CRASHER:
            self.crashes_ms.append(self.now_ms)
            self.starts[name] += 1
        effects = entry.fail_attempt(FailureKind.LOST, sent.attempt)
        crash = ServerCrashed(
            self.now_ms, name, "s", fingerprint, self.starts[name]
        )
        effects += entry.reduce(crash)
        other = next(n for n in SERVERS if n != name)
        effects += entry.reduce(ReachChecked(self.now_ms, other, True))
        self._carry_out(entry, effects)
        return effects


def _refused_as_quarantined(deployment, fingerprint=PAGE):
    outcomes = [
        deployment.request(entry, fingerprint) for entry in deployment.entries
    ]
    return sum(
        reason is RefusalReason.QUARANTINED for _, reason in outcomes
    ), len(outcomes)


# A page whose servers had all ended at once was refused for ten minutes.
@pytest.mark.parametrize("seed", range(5))
def test_a_page_is_served_again_after_all_its_servers_ended(seed):
    deployment = Deployment(seed)
    for _ in range(20):
        deployment.step(())
        _refused_as_quarantined(deployment)
    for _ in range(40):
        deployment.step(SERVERS)
        _refused_as_quarantined(deployment)
    assert PAGE in deployment.register.quarantines
    back_ms = deployment.now_ms
    served = 0
    while served < len(deployment.entries):
        deployment.step(())
        served = sum(
            deployment.request(entry, PAGE)[0] for entry in deployment.entries
        )
        assert deployment.now_ms < back_ms + SERVED_AGAIN_MS + TRIAL_PAUSE_MS
    assert not deployment.register.quarantines


@pytest.mark.parametrize("seed", range(10))
def test_a_crashing_request_is_stopped_beside_a_page_that_is_served(seed):
    deployment = Deployment(seed)
    rng = deployment.rng
    refused = requests = 0
    for number in range(1200):
        ended = [name for name in SERVERS if rng.random() < 0.03]
        deployment.step(ended)
        if number % 10 == 0:
            deployment.request(rng.choice(deployment.entries), CRASHER)
        counts = _refused_as_quarantined(deployment)
        refused += counts[0]
        requests += counts[1]
    crashes_ms = deployment.crashes_ms
    late = [at for at in crashes_ms[3:] if at > crashes_ms[2] + LATE_AFTER_MS]
    assert len(crashes_ms) >= 2
    assert len(late) <= MAX_LATE_RUNS
    assert CRASHER in deployment.register.quarantines
    assert refused <= MAX_REFUSED_SHARE * requests


@pytest.fixture
def permitted():
    """An entry that may try a quarantined request."""
    entry = Entry()
    entry.deliver_update(*(server(n, i) for i, n in enumerate(SERVERS, 1)))
    for name in SERVERS:
        entry.deliver_load_report(name, IDLE)
    entry.state.quarantines = frozenset({PAGE})
    entry.state.trials.permit((PAGE,), entry.now_ms)
    return entry


def _is_quarantined(entry):
    effects = entry.deliver_request(fingerprint=PAGE)
    refused = effects_of_type(effects, fx.RefuseRequest)
    return [r.refusal.reason for r in refused] == [RefusalReason.QUARANTINED]


def test_a_permission_is_used_once(permitted):
    assert not _is_quarantined(permitted)
    assert _is_quarantined(permitted)


def test_a_permission_ends(permitted):
    permitted.now_ms += TRIAL_MS
    assert _is_quarantined(permitted)


def test_a_trial_crashes_one_server_at_most(permitted):
    assert not _is_quarantined(permitted)
    effects = permitted.fail_attempt(FailureKind.LOST)
    assert not effects_of_type(effects, fx.SendRequest | fx.QueryLoad)
    assert _is_quarantined(permitted)


@pytest.mark.parametrize("is_caller_gone", [True, False])
def test_a_permission_is_kept_until_a_server_gets_the_request(
    permitted, is_caller_gone
):
    permitted.now_ms += 100.0  # The load reports are outdated.
    assert not _is_quarantined(permitted)
    call_id = permitted.last_call_id
    if is_caller_gone:
        permitted.reduce(CallerDisconnected(permitted.now_ms, call_id))
    else:
        permitted.reduce(DeadlineExpired(permitted.now_ms, call_id))
    assert not _is_quarantined(permitted)

"""Tests that overdue calls are answered by whichever server is first."""

from __future__ import annotations

import pytest

from gentianwall.claims.commands import ReleaseQuarantine
from gentianwall.claims.quarantines import quarantine_key
from gentianwall.config.declaration import (
    Declaration,
    ServiceSettings,
    TierSettings,
)
from gentianwall.core import configuration
from gentianwall.core.effects import (
    AnswerCaller,
    CancelAttempt,
    Dispatch,
    RefuseCaller,
    SendMessage,
)
from gentianwall.core.entry import reduce_entry
from gentianwall.core.events import (
    AttemptAnswered,
    AttemptFailed,
    CallArrived,
    CallerDisconnected,
    FailureKind,
    ServerAnnounced,
    Tick,
)
from gentianwall.core.refusals import Executed
from gentianwall.core.retrying import OVERDUE_FACTOR
from gentianwall.membership.messages import ServerKey, ServerNotice

SERVICE_MS = 10.0
SENT_MS = 5000.0
OVERDUE_MS = SENT_MS + OVERDUE_FACTOR * SERVICE_MS
WAIT_MS = 500.0


@pytest.fixture
def entry(entry_state):
    """An entry with three servers, and an overdue call at two of them."""
    state = entry_state
    settings = ServiceSettings(
        expected_service_ms=SERVICE_MS, retry_budget_ratio=1.0
    )
    tier = TierSettings(name="only", max_wait_ms=5000.0, price=1.0)
    declaration = Declaration(tiers=(tier,), services={"s": settings})
    configuration.apply_declaration(state, declaration, 0.0, [])
    state.is_config_known = True
    for name in "abc":
        notice = ServerNotice(ServerKey("s", name), "h", 1, 1, "", 1, "up")
        reduce_entry(state, ServerAnnounced(SENT_MS, notice))
    effects = reduce_entry(state, _arrival())
    assert len(_of_type(effects, Dispatch)) == 1
    effects = reduce_entry(state, Tick(OVERDUE_MS))
    assert len(_of_type(effects, Dispatch)) == 1
    return state


def _arrival(caller="", call_id=1):
    return CallArrived(
        at_ms=SENT_MS,
        wall_ms=0,
        call_id=call_id,
        request_id=str(call_id),
        service="s",
        method="GET",
        caller=caller,
        max_wait_ms=WAIT_MS,
        idempotency_key="",
        fingerprint="f",
        is_nested=False,
    )


def _of_type(effects, effect_class):
    return [effect for effect in effects if isinstance(effect, effect_class)]


def _answer(entry, attempt, status=200, retry_after_ms=None):
    return reduce_entry(
        entry,
        AttemptAnswered(
            OVERDUE_MS, 1, attempt, status, retry_after_ms, None, None
        ),
    )


def _fail(entry, attempt, kind):
    return reduce_entry(entry, AttemptFailed(OVERDUE_MS, 1, attempt, kind))


def _outstanding(entry):
    servers = entry.services["s"].pool.servers.values()
    return sum(server.outstanding for server in servers)


@pytest.mark.parametrize("attempt", [1, 2])
def test_the_answer_of_either_server_cancels_the_other(entry, attempt):
    effects = _answer(entry, attempt)
    assert _of_type(effects, CancelAttempt) == [CancelAttempt(1, 3 - attempt)]
    (answer,) = _of_type(effects, AnswerCaller)
    assert answer.attempt == attempt
    assert not _outstanding(entry)


# The first server was given up before the other one had answered, and callers
# got 502 or 503 although it was at work.
@pytest.mark.parametrize("kind", [*FailureKind, None])
def test_an_overdue_call_is_not_refused_while_a_server_works(entry, kind):
    if kind is None:
        effects = _answer(entry, 2, 503, 100.0)
    else:
        effects = _fail(entry, 2, kind)
    assert not _of_type(effects, RefuseCaller | CancelAttempt | Dispatch)
    assert _of_type(_answer(entry, 1), AnswerCaller)
    assert not _outstanding(entry)


# The loss of a server that a call had left did not count as a crash.
def test_an_overdue_call_that_crashes_both_servers_is_quarantined(entry):
    _fail(entry, 2, FailureKind.LOST)
    effects = _fail(entry, 1, FailureKind.LOST)
    assert not _of_type(effects, Dispatch)
    (refused,) = _of_type(effects, RefuseCaller)
    assert refused.refusal.executed is Executed.UNKNOWN
    assert entry.quarantines == {"f"}


# Such a call went on to the third server and crashed that one too.
def test_an_overdue_call_that_crashed_a_server_runs_at_one_other_server(entry):
    _fail(entry, 1, FailureKind.LOST)
    effects = reduce_entry(entry, Tick(SENT_MS + 3 * (OVERDUE_MS - SENT_MS)))
    assert not _of_type(effects, Dispatch)
    effects = _fail(entry, 2, FailureKind.LOST)
    assert not _of_type(effects, Dispatch)
    assert entry.quarantines == {"f"}


# A request that completed at the other servers was refused for ten minutes.
@pytest.mark.parametrize(("status", "is_released"), [(200, True), (500, False)])
def test_a_completed_call_ends_the_quarantine_of_its_request(
    entry, status, is_released
):
    entry.quarantines = frozenset({"f", "g"})
    effects = _answer(entry, 1, status)
    assert entry.quarantines == ({"g"} if is_released else {"f", "g"})
    commands = [
        effect.message.command for effect in _of_type(effects, SendMessage)
    ]
    release = ReleaseQuarantine("f", int(OVERDUE_MS - SENT_MS))
    assert commands == ([release] if is_released else [])


# One caller's request that crashed servers was refused to all others as well.
def test_a_quarantine_holds_for_the_caller_whose_request_crashes_servers(entry):
    entry.calls[1].caller = "acme"
    for attempt in (1, 2):
        _fail(entry, attempt, FailureKind.LOST)
    assert entry.quarantines == {quarantine_key("f", "acme")}
    for caller, is_refused in (("acme", True), ("emca", False), ("", False)):
        effects = reduce_entry(entry, _arrival(caller, call_id=2))
        assert bool(_of_type(effects, RefuseCaller)) == is_refused


@pytest.mark.parametrize(
    "event", [CallerDisconnected(OVERDUE_MS, 1), Tick(SENT_MS + WAIT_MS)]
)
def test_both_attempts_end_with_the_wait_of_the_caller(entry, event):
    effects = reduce_entry(entry, event)
    numbers = [effect.attempt for effect in _of_type(effects, CancelAttempt)]
    assert numbers == [1, 2]
    assert not _outstanding(entry)
    for refused in _of_type(effects, RefuseCaller):
        assert refused.refusal.executed is Executed.UNKNOWN


# The answer was dropped for another attempt, whose end the caller got as 502.
@pytest.mark.parametrize("first", [1, 2])
@pytest.mark.parametrize("kind", [FailureKind.LOST, None])
def test_an_error_of_a_server_is_forwarded_if_the_other_fails(
    entry, first, kind
):
    assert not _answer(entry, first, 502)
    if kind is None:
        # The third server gets the call, which is its last attempt.
        (sent,) = _of_type(_answer(entry, 3 - first, 503, 100.0), Dispatch)
        effects = _fail(entry, sent.attempt, FailureKind.NOT_CONNECTED)
    else:
        (sent,) = _of_type(_fail(entry, 3 - first, kind), Dispatch)
        effects = reduce_entry(entry, Tick(SENT_MS + WAIT_MS))
    assert not _of_type(effects, RefuseCaller)
    (answer,) = _of_type(effects, AnswerCaller)
    assert answer.attempt == first
    assert not _outstanding(entry)

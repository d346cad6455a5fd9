"""Tests for the queue order, the choice of price tiers and refusals.

Calls with a short wait start first, but no call may starve; a refusal states
correctly that the call was not executed.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentianwall.admission.prices import choose_tier
from gentianwall.admission.queue import (
    START_SHARE,
    WaitingCalls,
    start_target_ms,
)
from gentianwall.config.declaration import (
    Declaration,
    ServiceSettings,
    TierSettings,
)
from gentianwall.core import configuration
from gentianwall.core.effects import Dispatch, RefuseCaller
from gentianwall.core.entry import reduce_entry
from gentianwall.core.events import (
    AttemptAnswered,
    CallArrived,
    ServerAnnounced,
    Tick,
)
from gentianwall.core.refusals import Executed, RefusalReason
from gentianwall.membership.messages import ServerKey, ServerNotice

TIERS = (
    TierSettings(name="quick", max_wait_ms=100.0, price=9.0),
    TierSettings(name="slow", max_wait_ms=5000.0, price=1.0),
)


@pytest.fixture
def entry(entry_state):
    """An entry with one server of one slot."""
    state = entry_state
    settings = ServiceSettings(expected_service_ms=10.0, max_queued_calls=50)
    declaration = Declaration(tiers=TIERS, services={"s": settings})
    configuration.apply_declaration(state, declaration, 0.0, [])
    state.is_config_known = True
    notice = ServerNotice(ServerKey("s", "a"), "h", 1, 1, "", 1, "up")
    reduce_entry(state, ServerAnnounced(0.0, notice))
    return state


def _deliver_call(state, call_id, at_ms, wait_ms):
    event = CallArrived(
        at_ms=at_ms,
        wall_ms=0,
        call_id=call_id,
        request_id=str(call_id),
        service="s",
        method="POST",
        caller="",
        max_wait_ms=wait_ms,
        idempotency_key="",
        fingerprint="",
        is_nested=False,
    )
    return reduce_entry(state, event)


def _deliver_answer(state, call_id, at_ms):
    event = AttemptAnswered(at_ms, call_id, 1, 200, None, None, None)
    return reduce_entry(state, event)


def _dispatched(effects):
    return [e.call_id for e in effects if isinstance(e, Dispatch)]


def test_a_call_with_a_short_wait_overtakes_calls_with_a_long_wait(entry):
    _deliver_call(entry, 1, 5000.0, 5000.0)
    _deliver_call(entry, 2, 5001.0, 5000.0)
    _deliver_call(entry, 3, 5002.0, 100.0)
    started = []
    for number, call_id in enumerate((1, 3)):
        started += _dispatched(
            _deliver_answer(entry, call_id, 5010.0 + number * 10)
        )
    assert started == [3, 2]


def test_a_call_whose_wait_cannot_be_met_is_refused_on_arrival(entry):
    for call_id in range(1, 30):
        _deliver_call(entry, call_id, 5000.0, 5000.0)
    effects = _deliver_call(entry, 30, 5000.0, 5000.0)
    assert not [e for e in effects if isinstance(e, RefuseCaller)]
    for call_id in range(31, 60):
        effects = _deliver_call(entry, call_id, 5000.0, 60.0)
    (refused,) = [e for e in effects if isinstance(e, RefuseCaller)]
    assert refused.refusal.reason is RefusalReason.OVERLOADED
    assert refused.refusal.executed is Executed.NO
    assert refused.refusal.retry_after_ms > 0


def test_a_call_is_refused_on_arrival_when_the_queue_is_full(entry):
    refusals = []
    for call_id in range(1, 70):
        effects = _deliver_call(entry, call_id, 5000.0, 5000.0)
        refusals += [e for e in effects if isinstance(e, RefuseCaller)]
    assert refusals[0].refusal.reason is RefusalReason.QUEUE_FULL


def test_a_queued_call_is_refused_and_not_executed_at_its_deadline(entry):
    _deliver_call(entry, 1, 5000.0, 5000.0)
    _deliver_call(entry, 2, 5000.0, 50.0)
    effects = reduce_entry(entry, Tick(5050.0))
    (refused,) = [e for e in effects if isinstance(e, RefuseCaller)]
    assert refused.call_id == 2
    assert refused.refusal.reason is RefusalReason.DEADLINE
    assert refused.refusal.executed is Executed.NO


@given(
    arrivals=st.lists(
        st.tuples(st.floats(0, 10_000), st.sampled_from([100.0, 5000.0])),
        min_size=2,
        max_size=60,
    )
)
def test_a_call_is_overtaken_for_at_most_half_its_wait(arrivals):
    waiting = WaitingCalls()
    for number, (at_ms, wait_ms) in enumerate(arrivals):
        waiting.put(start_target_ms(at_ms, wait_ms), number)
    order = [waiting.pop() for _ in arrivals]
    for position, number in enumerate(order):
        at_ms, wait_ms = arrivals[number]
        for earlier in order[:position]:
            assert arrivals[earlier][0] <= at_ms + wait_ms * START_SHARE


@pytest.mark.parametrize(
    ("wait_ms", "name"),
    [(10, "quick"), (100, "quick"), (4999, "quick"), (5000, "slow")],
)
def test_a_caller_pays_the_cheapest_tier_that_fits_its_wait(wait_ms, name):
    assert choose_tier(TIERS, wait_ms).name == name

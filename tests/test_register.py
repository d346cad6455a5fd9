"""Tests for the register: declarations, claims and quarantines."""

from __future__ import annotations

import random

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from gentianwall.claims import register
from gentianwall.claims.commands import (
    ApplyDeclaration,
    ClaimGranted,
    ClaimHeld,
    ClaimKey,
    ClaimMismatch,
    ClaimOutOfWindow,
    DeclarationAccepted,
    DeclarationConflict,
    DeclarationInvalid,
    Outcome,
    RecordClaim,
    RecordOutcome,
    ReleaseClaim,
    ReleaseQuarantine,
    ReportCrash,
)
from gentianwall.claims.register import (
    MAX_CLOCK_SKEW_MS,
    RegisterState,
    apply_command,
)
from gentianwall.claims.snapshot_codec import decode_register, encode_register
from gentianwall.utils.uuid7 import make_uuid7

TEXT = """
claim_retention_ms = %d
[[tiers]]
name = "only"
max_wait_ms = 100
price = 1
[services.s]
"""
START_MS = 1_700_000_000_000
HOUR_MS = 3_600_000
KEY = ClaimKey("s", "ann", "k")
OUTCOME = Outcome(200, "text/plain", b"ok", "00", True)


@pytest.fixture
def state():
    return RegisterState()


def _apply_declaration(
    state, change_id, base, retention_ms=HOUR_MS, at_ms=START_MS
):
    text = TEXT % retention_ms
    command = ApplyDeclaration(change_id, base, text, "ann", at_ms)
    return apply_command(state, command)


def test_only_the_first_of_two_changes_with_one_base_version_is_accepted(state):
    assert _apply_declaration(state, "a", 0) == DeclarationAccepted(1, "a")
    assert _apply_declaration(state, "b", 0) == DeclarationConflict(
        1, "a", "ann"
    )


def test_a_resent_change_gets_its_first_result(state):
    _apply_declaration(state, "a", 0)
    _apply_declaration(state, "b", 1, 2 * HOUR_MS)
    assert _apply_declaration(state, "a", 0) == DeclarationAccepted(1, "a")
    assert state.version == 2


def test_a_used_change_id_with_another_text_is_invalid(state):
    _apply_declaration(state, "a", 0)
    assert isinstance(
        _apply_declaration(state, "a", 0, 2 * HOUR_MS), DeclarationInvalid
    )


def test_a_released_claim_is_granted_again_but_not_to_its_old_token(state):
    _record_claim(state, "t1")
    apply_command(state, ReleaseClaim(KEY, "t1", START_MS))
    assert _record_claim(state, "t1") == ClaimHeld(None)
    assert _record_claim(state, "t2") == ClaimGranted()
    apply_command(state, ReleaseClaim(KEY, "t1", START_MS))
    assert _record_claim(state, "t3") == ClaimHeld(None)


def test_a_claim_that_arrives_after_its_release_is_not_granted(state):
    apply_command(state, ReleaseClaim(KEY, "t1", START_MS))
    assert _record_claim(state, "t1") == ClaimHeld(None)


def test_another_request_under_the_same_key_is_a_mismatch(state):
    _record_claim(state, "t1")
    command = RecordClaim(KEY, "other", "t2", START_MS)
    assert apply_command(state, command) == ClaimMismatch()


def test_a_repeated_claim_returns_the_recorded_outcome(state):
    _record_claim(state, "t1")
    apply_command(state, RecordOutcome(KEY, "t1", OUTCOME, START_MS))
    assert _record_claim(state, "t2") == ClaimHeld(OUTCOME)


def _record_claim(state, token, key=KEY, at_ms=START_MS):
    return apply_command(state, RecordClaim(key, "h", token, at_ms))


def test_two_crashed_servers_quarantine_a_request_until_its_release(state):
    apply_command(state, ReportCrash("s", "f", "a", START_MS))
    apply_command(state, ReportCrash("s", "f", "a", START_MS))
    assert not state.quarantines
    apply_command(state, ReportCrash("s", "f", "b", START_MS))
    assert list(state.quarantines) == ["f"]
    apply_command(state, ReleaseQuarantine("f", START_MS))
    assert not state.quarantines


def test_a_quarantine_expires(state):
    apply_command(state, ReportCrash("s", "f", "a", START_MS))
    apply_command(state, ReportCrash("s", "f", "b", START_MS))
    _record_claim(state, "t", at_ms=START_MS + state.quarantine_ms)
    assert not state.quarantines


def test_a_decoded_register_equals_the_encoded_one(state):
    _apply_declaration(state, "a", 0)
    _record_claim(state, "t1")
    apply_command(state, RecordOutcome(KEY, "t1", OUTCOME, START_MS))
    apply_command(state, ReportCrash("s", "f", "a", START_MS))
    assert decode_register(encode_register(state)) == state


class TimedKeys(RuleBasedStateMachine):
    """Checks that a UUIDv7 key is granted at most once.

    The clock advances, the claim retention changes and keys carry timestamps
    from skewed clocks.
    """

    def __init__(self):
        super().__init__()
        self.state = RegisterState()
        self.rng = random.Random(7)
        self.at_ms = START_MS
        self.keys = []
        self.granted = {}
        self.number = 0

    @rule(hours=st.sampled_from([0.0, 0.02, 0.5, 1.0, 3.0]))
    def wait(self, hours):
        self.at_ms += int(hours * HOUR_MS)

    @rule(retention=st.sampled_from([60_000, HOUR_MS, 24 * HOUR_MS]))
    def declare(self, retention):
        self.number += 1
        _apply_declaration(
            self.state,
            f"c{self.number}",
            self.state.version,
            retention,
            self.at_ms,
        )

    @rule(skew=st.integers(-HOUR_MS, 2 * MAX_CLOCK_SKEW_MS))
    def new_key(self, skew):
        self.keys.append(make_uuid7(self.at_ms + skew, self.rng))
        self.claim(len(self.keys) - 1)

    @rule(index=st.integers(0, 50))
    def claim(self, index):
        if not self.keys:
            return
        key = self.keys[index % len(self.keys)]
        self.number += 1
        token = f"t{self.number}"
        claim = ClaimKey("s", "ann", key)
        result = _record_claim(self.state, token, claim, self.at_ms)
        assert isinstance(result, ClaimGranted | ClaimHeld | ClaimOutOfWindow)
        if isinstance(result, ClaimGranted):
            assert key not in self.granted, "granted twice"
            self.granted[key] = token


TestTimedKeys = TimedKeys.TestCase
TestTimedKeys.settings = settings(max_examples=150, stateful_step_count=30)


def _retention_floor_may_fall(state):
    state.forgotten_before_ms = state.now_ms - state.claim_retention_ms
    _delete_claims(state, state.forgotten_before_ms - MAX_CLOCK_SKEW_MS)


def _clock_skew_not_added(state):
    state.forgotten_before_ms = max(
        state.forgotten_before_ms, state.now_ms - state.claim_retention_ms
    )
    _delete_claims(state, state.forgotten_before_ms)


def _delete_claims(state, before_ms):
    for key in list(state.claims):
        if state.claims[key].at_ms <= before_ms:
            del state.claims[key]


@pytest.mark.parametrize(
    "mutant", [_retention_floor_may_fall, _clock_skew_not_added]
)
def test_each_mutant_that_deletes_claims_too_early_is_caught(
    mutant, monkeypatch
):
    monkeypatch.setattr(register, "_delete_expired", mutant)
    with pytest.raises(AssertionError, match="granted twice"):
        run_state_machine_as_test(
            TimedKeys,
            settings=settings(
                max_examples=2000,
                stateful_step_count=30,
                print_blob=False,
                phases=[Phase.generate],
            ),
        )

"""Tests that only entries of the deployment can relay requests to a peer."""

from __future__ import annotations

import attrs
import pytest

from gentianwall.gateway.relay_signatures import (
    MAX_CLOCK_DIFFERENCE_MS,
    MAX_NONCES,
    RelayKeys,
    SignedRequest,
    decode_signature,
    sign,
)
from gentianwall.runtime.relay_headers import add_signature, split_signature

REQUEST = SignedRequest(
    peer="10.0.0.7",
    method=b"GET",
    uri=b"/a?b",
    host="a.example",
    request_id="id",
    deadline="900",
    relay='{"service":"s"}',
    body_digest="0" * 64,
)
KEY, NEXT_KEY = b"k" * 32, b"n" * 32


@pytest.fixture
def keys():
    """Keys of an entry that has heard one leader."""
    keys = RelayKeys()
    keys.add(KEY)
    return keys


def _signature(*signing_keys, nonce="n1", at_ms=0):
    return sign(REQUEST, signing_keys, nonce, at_ms)


def test_a_signature_is_accepted_once(keys):
    """A request that was recorded and sent again would run twice."""
    assert keys.accept(REQUEST, _signature(KEY), 0.0)
    assert not keys.accept(REQUEST, _signature(KEY), 0.0)
    assert keys.accept(REQUEST, _signature(KEY, nonce="n2"), 0.0)


@pytest.mark.parametrize("field", attrs.fields(SignedRequest))
def test_no_part_of_a_signed_request_can_be_changed(keys, field):
    value = getattr(REQUEST, field.name)
    other = value + (b"x" if isinstance(value, bytes) else "x")
    changed = attrs.evolve(REQUEST, **{field.name: other})
    assert not keys.accept(changed, _signature(KEY), 0.0)


def test_values_do_not_run_into_each_other(keys):
    moved = attrs.evolve(REQUEST, host="a.exampl", request_id="eid")
    assert not keys.accept(moved, _signature(KEY), 0.0)


def test_requests_are_accepted_while_the_leader_changes():
    """Some entries hear the new leader before others do."""
    behind, ahead, older = RelayKeys(), RelayKeys(), RelayKeys()
    behind.add(KEY)
    for key in (KEY, NEXT_KEY):
        ahead.add(key)
    assert behind.accept(REQUEST, _signature(*ahead.keys), 0.0)
    assert ahead.accept(REQUEST, _signature(*behind.keys), 0.0)
    assert not older.accept(REQUEST, _signature(*ahead.keys), 0.0)
    for key in (b"a", b"b"):
        ahead.add(key)
    assert not ahead.accept(REQUEST, _signature(KEY, nonce="n3"), 0.0)


def test_an_entry_without_a_key_is_not_accepted(keys):
    """The leader of an earlier build gives no key."""
    keys.add(b"")
    assert keys.keys == (KEY,)
    assert decode_signature(_signature().encode()) is None
    assert not keys.accept(REQUEST, _signature(), 0.0)


def test_old_signatures_are_refused_and_nonces_are_bounded(keys):
    late_ms = MAX_CLOCK_DIFFERENCE_MS + 1.0
    assert not keys.accept(REQUEST, _signature(KEY), late_ms)
    keys.nonces = dict.fromkeys(map(str, range(MAX_NONCES)))
    assert keys.accept(REQUEST, _signature(KEY), 0.0)
    assert len(keys.nonces) == MAX_NONCES
    assert "0" not in keys.nonces


@pytest.mark.parametrize("text", ["", "1.n", "x.n.d.m", "-1.n.d.m", "1.n.d"])
def test_malformed_signatures_are_recognized(text):
    assert decode_signature(text) is None


def test_the_header_holds_the_signature_beside_the_relay():
    signature = _signature(KEY, NEXT_KEY)
    value = add_signature(REQUEST.relay.encode(), signature.encode()).decode()
    assert split_signature(value) == (REQUEST.relay, signature.encode())
    assert decode_signature(signature.encode()) == signature
    assert split_signature(REQUEST.relay) == (REQUEST.relay, "")

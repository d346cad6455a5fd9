"""Tests for requests of partitioned entries that peers relay."""

from __future__ import annotations

import collections
import random

import attrs
import pytest

from gentianwall.config.routes import Organisation, RouteKind, digest_key
from gentianwall.control.messages import CommandRequest, FeedPoll, PeerList
from gentianwall.core.events import CallerDisconnected, FailureKind, Tick
from gentianwall.core.peers import MOST_PEERS, choose_peers
from gentianwall.core.refusals import Executed, Refusal, RefusalReason
from gentianwall.gateway import effects as fx
from gentianwall.gateway import relaying
from gentianwall.gateway.events import (
    FeedArrived,
    PeerAnswered,
    PeerFailed,
    ReachChecked,
    Relay,
    RequestArrived,
    ServerCrashed,
)
from gentianwall.gateway.peers import UNLISTED_MS
from gentianwall.gateway.placement import QUERIES_PER_ROUND
from gentianwall.gateway.reachability import (
    CHECKS_PER_ROUND,
    ROUND_INTERVAL_MS,
    Reachability,
)
from gentianwall.runtime.relay_headers import (
    RelayOutcome,
    decode_outcome,
    decode_relay,
    encode,
)
from harness.gateway_entry import (
    CONFIGURATION,
    IDLE,
    Entry,
    effects_of_type,
    route,
    server,
    single_refusal,
)

PEERS = ("10.0.0.7", "10.0.0.8", "10.0.0.9")
RELAY = Relay("s", RouteKind.SAFE, 400.0, 300.0, 2)


@pytest.fixture
def partitioned():
    """An entry that knows three peers and has just lost all its servers."""
    entry = Entry()
    entry.state.has_peers = True
    entry.deliver_update(*(server(name, i) for i, name in enumerate("abcd", 1)))
    entry.reduce(FeedArrived(entry.now_ms, "c1", PeerList(PEERS)))
    entry.state.reachability.is_partitioned = True
    return entry


def _relayed(effects):
    (relayed,) = effects_of_type(effects, fx.RelayRequest)
    return relayed


def _answer(entry, refusal=None, attempt=1, status=200):
    return entry.reduce(
        PeerAnswered(
            entry.now_ms, entry.last_call_id, attempt, status, "a", refusal
        )
    )


def test_a_few_crashed_servers_are_no_partition():
    rng = random.Random(1)
    servers = [f"i-{n}" for n in range(22)]
    reachability = Reachability()
    reachability.record_failure("i-0", 0.0)
    assert not reachability.start_round(servers, rng, 0.0)
    reachability.record_failure("i-1", 1.0)
    checked = reachability.start_round(servers, rng, 1.0)
    assert len(checked) == CHECKS_PER_ROUND
    for name in checked[:-1]:
        assert not reachability.record_check(name, False)
    assert not reachability.record_check(checked[-1], True)
    assert not reachability.is_partitioned
    # Neither is a server that fails again and again.
    for at_ms in range(0, 5000, 50):
        reachability.record_failure("i-0", float(at_ms))
        reachability.failed_ms.pop("i-1", None)
        assert not reachability.start_round(servers, rng, float(at_ms))


@pytest.mark.parametrize("count", [1, 2, 22])
def test_an_entry_that_reaches_no_server_is_partitioned_until_it_does(count):
    rng = random.Random(2)
    servers = [f"i-{n}" for n in range(count)]
    reachability = Reachability()
    for name in servers[:2]:
        reachability.record_failure(name, 10.0)
    changes = [
        reachability.record_check(name, False)
        for name in reachability.start_round(servers, rng, 10.0)
    ]
    assert changes.count(True) == 1
    assert reachability.is_partitioned
    # Checks go on without any request.
    assert not reachability.start_round(servers, rng, 11.0)
    checked = reachability.start_round(servers, rng, 10.0 + ROUND_INTERVAL_MS)
    assert checked
    assert reachability.record_check(checked[0], True)
    assert not reachability.is_partitioned
    assert not reachability.start_round(servers, rng, 1000.0)


def test_connections_that_fail_at_two_servers_lead_to_checks():
    entry = Entry()
    entry.state.has_peers = True
    entry.deliver_update(*(server(name, i) for i, name in enumerate("abcd", 1)))
    entry.reduce(FeedArrived(entry.now_ms, "c1", PeerList(PEERS)))
    effects = entry.deliver_request(RouteKind.NON_IDEMPOTENT)
    for query in effects_of_type(effects, fx.QueryLoad)[0].notices:
        effects = entry.deliver_load_report(query.key.server, IDLE)
        if effects_of_type(effects, fx.SendRequest):
            break
    checks = []
    while not checks:
        assert effects_of_type(effects, fx.SendRequest)
        effects = entry.fail_attempt(FailureKind.NOT_CONNECTED)
        checks = effects_of_type(effects, fx.CheckReach)
        for query in effects_of_type(effects, fx.QueryLoad):
            for notice in query.notices:
                effects += entry.deliver_load_report(notice.key.server, IDLE)
    assert len(checks) == CHECKS_PER_ROUND
    for check in checks:
        name = check.notice.key.server
        entry.reduce(ReachChecked(entry.now_ms, name, False))
    assert entry.state.reachability.is_partitioned
    assert _relayed(entry.deliver_request()).peer in PEERS


@pytest.mark.parametrize("kind", list(RouteKind))
def test_a_partitioned_entry_relays_requests_evenly(partitioned, kind):
    relayed = [_relayed(partitioned.deliver_request(kind)) for _ in range(9)]
    by_peer = collections.Counter(effect.peer for effect in relayed)
    assert set(by_peer.values()) == {3}
    assert {effect.relay.kind for effect in relayed} == {kind}
    assert {effect.relay.attempts_left for effect in relayed} == {2}
    effects = _answer(partitioned)
    assert effects == [fx.ForwardAnswer(9)]


def test_a_request_that_waits_is_relayed_when_the_partition_begins(
    partitioned,
):
    partitioned.state.reachability.is_partitioned = False
    partitioned.deliver_request()
    reachability = partitioned.state.reachability
    reachability.unanswered = {"a"}
    effects = partitioned.reduce(ReachChecked(partitioned.now_ms, "a", False))
    assert _relayed(effects).call_id == 1
    assert not partitioned.state.querying


def test_servers_are_used_again_at_once_when_the_partition_ends(partitioned):
    for name in "bcd":
        partitioned.state.server(name).pause(partitioned.now_ms)
    partitioned.state.service("s").has_load_reports = True
    partitioned.reduce(ReachChecked(partitioned.now_ms, "a", True))
    effects = partitioned.deliver_request()
    (query,) = effects_of_type(effects, fx.QueryLoad)
    assert len(query.notices) == QUERIES_PER_ROUND
    assert not effects_of_type(effects, fx.RelayRequest)


def test_a_peer_that_has_no_server_either_is_replaced_by_another(partitioned):
    first = _relayed(partitioned.deliver_request(RouteKind.NON_IDEMPOTENT))
    refusal = Refusal(RefusalReason.NO_SERVER, Executed.NO)
    second = _relayed(_answer(partitioned, refusal, status=503))
    assert second.peer != first.peer
    assert second.relay.attempts_left == 2
    third = _relayed(
        partitioned.reduce(
            PeerFailed(partitioned.now_ms, 1, 1, FailureKind.NOT_CONNECTED)
        )
    )
    assert third.peer not in (first.peer, second.peer)
    effects = _answer(partitioned, refusal, status=503)
    assert single_refusal(effects).executed is Executed.NO


@pytest.mark.parametrize("kind", list(RouteKind))
def test_a_request_is_not_sent_again_after_its_peer_was_lost(partitioned, kind):
    partitioned.deliver_request(kind)
    effects = partitioned.reduce(
        PeerFailed(partitioned.now_ms, 1, 1, FailureKind.LOST)
    )
    refusal = single_refusal(effects)
    assert refusal.executed is Executed.UNKNOWN
    assert refusal.status == 502


@pytest.mark.parametrize(
    ("reason", "executed", "status"),
    [
        (RefusalReason.OVERLOADED, Executed.NO, 503),
        (RefusalReason.SERVER_LOST, Executed.UNKNOWN, 502),
        (RefusalReason.SERVER_REFUSED, Executed.UNKNOWN, 502),
    ],
)
def test_the_refusal_of_a_peer_reaches_the_caller(
    partitioned, reason, executed, status
):
    partitioned.deliver_request()
    refusal = Refusal(reason, executed, 250.0)
    passed_on = single_refusal(_answer(partitioned, refusal, status=503))
    assert (passed_on.reason, passed_on.executed) == (reason, executed)
    assert passed_on.status == status
    assert (passed_on.retry_after_ms >= 250.0) is (executed is Executed.NO)


def test_a_caller_that_leaves_ends_the_relay(partitioned):
    relayed = _relayed(partitioned.deliver_request())
    effects = partitioned.reduce(CallerDisconnected(partitioned.now_ms, 1))
    assert effects == [fx.CancelRequest(1, 1)]
    assert not partitioned.state.peers.by_host[relayed.peer].outstanding


def test_the_poll_reports_the_partition_and_asks_for_peers(partitioned):
    partitioned.now_ms += 10.0
    effects = partitioned.reduce(Tick(partitioned.now_ms))
    (poll,) = {e.message for e in effects_of_type(effects, fx.SendToControl)}
    assert isinstance(poll, FeedPoll)
    assert poll.is_partitioned
    assert poll.wants_peers


def _deliver_relayed(entry, relay=RELAY, path="/safe/x"):
    entry.last_call_id += 1
    return entry.reduce(
        RequestArrived(
            entry.now_ms,
            entry.last_call_id,
            "id",
            "a.example",
            path,
            1000.0,
            "",
            relay,
        )
    )


@pytest.fixture
def peer():
    """An entry with two idle servers and fresh load reports of both."""
    entry = Entry()
    entry.deliver_update(server("a", 1), server("b", 2))
    for name in "ab":
        entry.deliver_load_report(name, IDLE)
    return entry


def test_a_peer_follows_the_decisions_of_the_first_entry(peer):
    (sent,) = effects_of_type(_deliver_relayed(peer), fx.SendRequest)
    assert sent.notice.key.service == "s"
    assert sent.is_idempotent
    assert sent.left_ms == 1000.0


@pytest.mark.parametrize(
    "relay",
    [
        pytest.param(attrs.evolve(RELAY, service="t"), id="another-service"),
        pytest.param(attrs.evolve(RELAY, service=""), id="no-service"),
    ],
)
def test_a_peer_runs_nothing_that_its_own_routes_do_not_allow(peer, relay):
    refusal = single_refusal(_deliver_relayed(peer, relay))
    assert refusal.reason is RefusalReason.NO_SERVER
    assert refusal.executed is Executed.NO


def test_a_peer_runs_nothing_without_a_route(peer):
    """A stranger's request named a service, past the routes, and was run."""
    refusal = single_refusal(_deliver_relayed(peer, path="/unknown/"))
    assert refusal.reason is RefusalReason.NO_SERVER
    assert refusal.executed is Executed.NO


def test_a_peer_bounds_attempts_kind_and_wait_by_its_own_route():
    own = attrs.evolve(
        route(RouteKind.NON_IDEMPOTENT), most_attempts=2, timeout_ms=700.0
    )
    relay = attrs.evolve(RELAY, attempts_left=99)
    event = RequestArrived(0.0, 1, "id", "h", "/p/", 5000.0, "", relay)
    bounded = relaying.make_route(event, relay, own)
    assert not bounded.kind.is_idempotent
    assert bounded.most_attempts == 2
    assert bounded.timeout_ms == 700.0
    upload = attrs.evolve(relay, kind=RouteKind.UPLOAD)
    safe = attrs.evolve(own, kind=RouteKind.SAFE)
    assert relaying.make_route(event, upload, safe).kind is RouteKind.UPLOAD


def test_a_relayed_request_has_no_more_attempts_than_are_left(peer):
    _deliver_relayed(peer, attrs.evolve(RELAY, attempts_left=1))
    effects = peer.deliver_answer(status=500)
    assert effects_of_type(effects, fx.ForwardAnswer)
    assert not effects_of_type(effects, fx.SendRequest)


def test_a_relayed_request_is_not_relayed_again(peer):
    peer.state.has_peers = True
    peer.reduce(FeedArrived(peer.now_ms, "c1", PeerList(PEERS)))
    peer.state.reachability.is_partitioned = True
    effects = _deliver_relayed(peer)
    assert not effects_of_type(effects, fx.RelayRequest)
    refusal = single_refusal(effects)
    assert refusal.reason is RefusalReason.NO_SERVER
    assert refusal.executed is Executed.NO


def test_a_relayed_request_stays_where_it_is_when_its_peer_is_partitioned(peer):
    peer.state.has_peers = True
    peer.reduce(FeedArrived(peer.now_ms, "c1", PeerList(PEERS)))
    _deliver_relayed(peer)
    peer.state.reachability.is_partitioned = True
    effects = peer.fail_attempt(FailureKind.NOT_CONNECTED)
    assert not effects_of_type(effects, fx.RelayRequest)


def test_relayed_requests_do_not_extend_the_limit_on_retries(peer):
    for _ in range(30):
        _deliver_relayed(peer)
    assert not peer.state.service("s").retry_window.spend(peer.now_ms)


@pytest.mark.parametrize("entries", [1, 2, 7, 119, 400])
def test_peers_are_named_evenly_and_never_the_entry_itself(entries):
    names = [f"10.0.{n // 250}.{n % 250}:7555" for n in range(entries)]
    # Every second entry is partitioned and relays for nobody.
    usable = names[::2]
    named = collections.Counter()
    for name in names:
        peers = choose_peers(name, usable)
        assert len(peers) == min(MOST_PEERS, len(usable) - (name in usable))
        assert name.rpartition(":")[0] not in peers
        named.update(peers)
    if entries > 2 * MOST_PEERS:
        mean = sum(named.values()) / len(usable)
        assert max(named.values()) <= 2.5 * mean


@pytest.mark.parametrize("text", ["", "{}", "[1]", "null", '{"service": 1'])
def test_malformed_relay_headers_are_recognized(text):
    assert decode_relay(text) is None
    assert decode_outcome(text) is None


def test_relay_headers_survive_encoding():
    refusal = Refusal(RefusalReason.OVERLOADED, Executed.NO, 12.5, "detail")
    for outcome in (RelayOutcome("i-1"), RelayOutcome("", refusal)):
        assert decode_outcome(encode(outcome).decode()) == outcome
    assert decode_relay(encode(RELAY).decode()) == RELAY


def _crash_reports(effects):
    return [
        effect
        for effect in effects_of_type(effects, fx.SendToControl)
        if isinstance(effect.message, CommandRequest)
    ]


@pytest.mark.parametrize("is_reached", [True, False])
def test_a_partition_is_not_reported_as_a_crash_by_requests(is_reached):
    # Two such reports quarantine a request at all entries.
    entry = Entry()
    entry.deliver_update(*(server(name, i) for i, name in enumerate("abcd", 1)))
    effects = entry.reduce(ServerCrashed(entry.now_ms, "a", "s", "f" * 32))
    checks = effects_of_type(effects, fx.CheckReach)
    assert not _crash_reports(effects)
    assert checks
    for check in checks:
        name = check.notice.key.server
        effects += entry.reduce(ReachChecked(entry.now_ms, name, is_reached))
    assert len(_crash_reports(effects)) == is_reached


def test_a_crash_is_reported_where_no_other_server_could_confirm_it():
    entry = Entry()
    entry.deliver_update(server("a", 1))
    event = ServerCrashed(entry.now_ms, "a", "s", "f" * 32)
    assert len(_crash_reports(entry.reduce(event))) == 1


def test_a_new_leader_that_knows_few_entries_takes_no_peers_away(partitioned):
    """Its first list named none, and requests were refused until the next."""
    partitioned.reduce(FeedArrived(partitioned.now_ms, "c2", PeerList(())))
    assert _relayed(partitioned.deliver_request()).peer in PEERS
    partitioned.now_ms += 10.0
    named = PeerList(("10.0.0.4",))
    partitioned.reduce(FeedArrived(partitioned.now_ms, "c2", named))
    for _ in range(3):
        assert _relayed(partitioned.deliver_request()).peer == "10.0.0.4"
    partitioned.now_ms += UNLISTED_MS
    partitioned.reduce(FeedArrived(partitioned.now_ms, "c2", named))
    assert set(partitioned.state.peers.by_host) == {"10.0.0.4"}


def test_a_relayed_request_spends_no_second_token_of_its_quota(peer):
    """The peer counted it too, and refused what the first entry had allowed."""
    organisation = Organisation("o", (digest_key(b"key"),), None, 1.0, 1.0)
    configuration = attrs.evolve(
        CONFIGURATION, number=8, organisations=(organisation,)
    )
    peer.deliver_update(number=8, configuration=configuration)
    relay = attrs.evolve(RELAY, organisation="o")
    (sent,) = effects_of_type(_deliver_relayed(peer, relay), fx.SendRequest)
    assert sent.organisation == "o"
    unknown = attrs.evolve(RELAY, organisation="x")
    refusal = single_refusal(_deliver_relayed(peer, unknown))
    assert refusal.executed is Executed.NO


# Its attempt was taken back, so that the request was sent to more servers than
# its route allows.
@pytest.mark.parametrize("is_lost", [True, False])
def test_a_peer_that_may_have_run_a_request_uses_up_its_attempts(
    partitioned, is_lost
):
    partitioned.now_ms += 4000.0
    partitioned.deliver_update(configuration=None)
    partitioned.state.reachability.is_partitioned = False
    for name in "abcd":
        partitioned.deliver_load_report(name, IDLE)
    assert effects_of_type(partitioned.deliver_request(), fx.SendRequest)
    call = partitioned.state.calls[1]
    call.route = attrs.evolve(call.route, most_attempts=3)
    partitioned.state.reachability.is_partitioned = True
    partitioned.now_ms += 700.0
    relayed = _relayed(partitioned.reduce(Tick(partitioned.now_ms)))
    assert (relayed.attempt, relayed.relay.attempts_left) == (2, 2)
    if is_lost:
        event = PeerFailed(partitioned.now_ms, 1, 2, FailureKind.LOST)
        assert not partitioned.reduce(event)
    else:
        refusal = Refusal(RefusalReason.SERVER_LOST, Executed.UNKNOWN)
        assert not _answer(partitioned, refusal, attempt=2, status=502)
    partitioned.now_ms += 100.0
    effects = partitioned.reduce(Tick(partitioned.now_ms))
    assert not effects_of_type(effects, fx.RelayRequest | fx.SendRequest)
    assert partitioned.deliver_answer(attempt=1) == [fx.ForwardAnswer(1)]

"""Checks the attempts of requests at an entry over random events."""

from __future__ import annotations

import math
import random

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianwall.config.routes import RouteKind
from gentianwall.control.messages import PeerList
from gentianwall.core.events import (
    CallerDisconnected,
    DrainStarted,
    FailureKind,
    Tick,
)
from gentianwall.core.refusals import Executed, Refusal, RefusalReason
from gentianwall.gateway import effects as fx
from gentianwall.gateway.events import (
    DeadlineExpired,
    DrainEnded,
    FeedArrived,
    LoadQueryEnded,
    PeerAnswered,
    PeerFailed,
    ReachChecked,
    RecheckDue,
    ServerAnswered,
    ServerFailed,
)
from gentianwall.gateway.stopping import LIKELY_FACTOR
from gentianwall.routing.reports import SpeedReport
from harness.gateway_entry import CONFIGURATION, IDLE, Entry, server

SERVERS = "abc"
PEERS = ("10.0.0.7", "10.0.0.8")
MOST_ATTEMPTS = 3
# So short that requests are overdue long before their deadlines.
SERVICE_MS = 10.0
REPORTS = (IDLE, SpeedReport(1, 0, 2), SpeedReport(2, 9, 2))
KINDS = (RouteKind.SAFE, RouteKind.SAFE, RouteKind.NON_IDEMPOTENT)
STEPS_MS = (1.0, 20.0, 60.0, 250.0)
EXAMPLES = 800
STEPS = 60
# Operations with their weights.
OPERATIONS = (
    *("arrive",) * 2,
    *("report",) * 8,
    *("tick",) * 8,
    *("answer", "error", "refusal", "foreign", "fail"),
    *("recheck", "leave", "replace", "partition"),
)


@attrs.define
class _Request:
    """A request as seen from outside of the reducer."""

    is_idempotent: bool
    deadline_ms: float
    live: dict = attrs.field(factory=dict)
    sends: int = 0
    runs: int = 0
    is_answered: bool = False
    has_ended: bool = False


class _Driver:
    """Performs the effects of an entry and checks them."""

    def __init__(self):
        self.requests: dict[int, _Request] = {}
        self.end_ms = math.inf
        self.entry = Entry()
        self.entry.state.has_peers = True
        routes = tuple(
            attrs.evolve(route, most_attempts=MOST_ATTEMPTS)
            for route in CONFIGURATION.routes
        )
        self.revision = len(SERVERS)
        self.entry.deliver_update(
            *(server(name, i) for i, name in enumerate(SERVERS, 1)),
            configuration=attrs.evolve(CONFIGURATION, routes=routes),
        )
        self.entry.now_ms += 4000.0
        self.entry.deliver_update(configuration=None)
        self.entry.state.service("s").service_ms = SERVICE_MS
        self.handle(FeedArrived(self.entry.now_ms, "c1", PeerList(PEERS)))

    def handle(self, event):
        """Reduces an event, performs its effects and checks the state."""
        for effect in self.entry.reduce(event):
            self.perform(effect)
        self.check()

    def perform(self, effect):
        """Performs an effect."""
        match effect:
            case fx.StartDeadlineTimer(call_id, at_ms):
                self.requests[call_id].deadline_ms = at_ms
            case fx.SendRequest() | fx.RelayRequest():
                request = self.requests[effect.call_id]
                assert not request.has_ended
                assert effect.attempt not in request.live
                assert self.is_over_in_time(request)
                request.live[effect.attempt] = effect
                request.sends += 1
            case fx.CancelRequest(call_id, attempt):
                request = self.requests[call_id]
                request.runs += _most_runs(request.live.pop(attempt))
            case fx.ForwardAnswer(call_id):
                self.end(self.requests[call_id])
            case fx.RefuseRequest(call_id, refusal):
                request = self.requests[call_id]
                self.end(request)
                assert not request.is_answered
                assert refusal.executed is not Executed.NO or not request.runs

    def is_over_in_time(self, request):
        """Returns whether a request may be sent before a planned stop."""
        is_likely = (
            request.is_idempotent
            and self.entry.now_ms + LIKELY_FACTOR * SERVICE_MS <= self.end_ms
        )
        return is_likely or request.deadline_ms <= self.end_ms

    def stop(self, grace_ms):
        """Begins a planned stop."""
        self.end_ms = self.entry.now_ms + grace_ms
        self.handle(DrainStarted(self.entry.now_ms, self.end_ms))

    def end(self, request):
        """Ends a request, once, with nothing left to run for it."""
        assert not request.has_ended
        assert not request.live
        request.has_ended = True

    def check(self):
        """Checks the state of the entry against its effects."""
        state = self.entry.state
        retries = 0
        for call_id, request in self.requests.items():
            limit = MOST_ATTEMPTS if request.is_idempotent else 1
            live = sum(_most_runs(effect) for effect in request.live.values())
            assert request.runs + live <= limit
            retries += max(0, request.sends - 1)
            assert request.has_ended == (call_id not in state.calls)
            if not request.has_ended:
                call = state.calls[call_id]
                assert call.running.keys() == request.live.keys()
                assert call.running or call_id in state.querying
                assert call.deadline_ms >= self.entry.now_ms
        outstanding = {
            call_id
            for places in (
                *(s.own_requests for s in state.service("s").servers.values()),
                *(peer.outstanding for peer in state.peers.by_host.values()),
                state.querying,
            )
            for call_id in places
        }
        assert outstanding <= state.calls.keys()
        window = state.service("s").retry_window
        assert retries <= sum(bucket[2] for bucket in window._buckets)

    def finish_attempt(self, operation, choice):
        """Ends an attempt of a request."""
        running = [
            (call_id, attempt)
            for call_id, request in self.requests.items()
            for attempt in request.live
        ]
        if not running:
            return
        call_id, attempt = running[choice % len(running)]
        request = self.requests[call_id]
        effect = request.live.pop(attempt)
        end = self.end_at_peer if _is_relay(effect) else self.end_at_server
        event = end(request, effect, operation, choice // len(running))
        self.handle(event)

    def end_at_server(self, request, sent, operation, choice):
        """Returns the event that ends an attempt at a server."""
        number = sent.attempt
        now_ms = self.entry.now_ms
        kinds = tuple(FailureKind)
        if operation == "fail":
            kind = kinds[choice % len(kinds)]
            if kind is FailureKind.NOT_CONNECTED:
                request.sends -= 1
            else:
                request.runs += 1
            return ServerFailed(now_ms, sent.call_id, number, kind)
        is_refusal = operation == "refusal"
        request.runs += not is_refusal
        request.is_answered |= operation in ("answer", "error")
        return ServerAnswered(
            now_ms,
            sent.call_id,
            number,
            {"answer": 200, "refusal": 503}.get(operation, 500),
            is_refusal,
            operation != "foreign",
            REPORTS[choice % len(REPORTS)],
        )

    def end_at_peer(self, request, sent, operation, choice):
        """Returns the event that ends an attempt at a peer."""
        number = sent.attempt
        now_ms = self.entry.now_ms
        refusal = None
        if operation == "fail":
            kind = (FailureKind.NOT_CONNECTED, FailureKind.LOST)[choice % 2]
            if kind is FailureKind.NOT_CONNECTED:
                request.sends -= 1
            else:
                request.runs += _most_runs(sent)
            return PeerFailed(now_ms, sent.call_id, number, kind)
        if operation == "refusal":
            refusal = Refusal(
                (RefusalReason.NO_SERVER, RefusalReason.OVERLOADED)[choice % 2],
                Executed.NO,
            )
            request.sends -= refusal.reason is RefusalReason.NO_SERVER
        elif operation == "foreign":
            refusal = Refusal(RefusalReason.SERVER_LOST, Executed.UNKNOWN)
            request.runs += _most_runs(sent)
        else:
            request.runs += _most_runs(sent)
            request.is_answered = True
        status = 200 if operation == "answer" else 500
        return PeerAnswered(now_ms, sent.call_id, number, status, "a", refusal)

    def advance(self, later_ms):
        """Lets time pass, and with it deadlines."""
        self.entry.now_ms += later_ms
        for call_id, request in list(self.requests.items()):
            if request.has_ended or request.deadline_ms > self.entry.now_ms:
                continue
            self.entry.now_ms = max(self.entry.now_ms, request.deadline_ms)
            effects = self.entry.reduce(
                DeadlineExpired(self.entry.now_ms, call_id)
            )
            for effect in effects:
                self.perform(effect)
            assert request.has_ended
        self.handle(Tick(self.entry.now_ms))

    def step(self, operation, choice):
        """Performs one operation."""
        entry = self.entry
        name = SERVERS[choice % len(SERVERS)]
        choice //= len(SERVERS)
        waiting = list(entry.state.querying)
        open_ids = [i for i, r in self.requests.items() if not r.has_ended]
        match operation:
            case "arrive":
                kind = KINDS[choice % len(KINDS)]
                self.requests[entry.last_call_id + 1] = _Request(
                    kind.is_idempotent, entry.now_ms
                )
                for effect in entry.deliver_request(kind):
                    self.perform(effect)
                self.check()
            case "report":
                report = REPORTS[choice % len(REPORTS)]
                self.handle(
                    LoadQueryEnded(
                        entry.now_ms, name, choice % 7 > 0, True, False, report
                    )
                )
            case "tick":
                self.advance(STEPS_MS[choice % len(STEPS_MS)])
            case "recheck" if waiting:
                call_id = waiting[choice % len(waiting)]
                self.handle(RecheckDue(entry.now_ms, call_id))
            case "leave" if open_ids:
                call_id = open_ids[choice % len(open_ids)]
                request = self.requests[call_id]
                for effect in entry.reduce(
                    CallerDisconnected(entry.now_ms, call_id)
                ):
                    self.perform(effect)
                self.end(request)
                self.check()
            case "replace":
                self.revision += 1
                update = server(name, self.revision, incarnation=self.revision)
                for effect in entry.deliver_update(update):
                    self.perform(effect)
                self.check()
            case "partition":
                reach = entry.state.reachability
                is_reached = reach.is_partitioned
                reach.unanswered = {name}
                self.handle(ReachChecked(entry.now_ms, name, is_reached))
            case "answer" | "error" | "refusal" | "foreign" | "fail":
                self.finish_attempt(operation, choice)


def _is_relay(effect):
    return isinstance(effect, fx.RelayRequest)


def _most_runs(effect):
    """Returns at how many servers an attempt may run."""
    if _is_relay(effect) and effect.relay.kind.is_idempotent:
        return effect.relay.attempts_left
    return 1


@settings(max_examples=EXAMPLES)
@given(st.integers(0, 2**32 - 1))
def test_every_attempt_ends_and_every_request_ends_once(seed):
    rng = random.Random(seed)
    driver = _Driver()
    for _ in range(STEPS):
        driver.step(rng.choice(OPERATIONS), rng.randrange(1000))
    driver.advance(2000.0)
    assert all(request.has_ended for request in driver.requests.values())


# Requests that waited inside the entry were passed on shortly before its end.
@settings(max_examples=EXAMPLES)
@given(st.integers(0, 2**32 - 1))
def test_every_request_that_a_stop_leaves_too_little_time_is_refused(seed):
    rng = random.Random(seed)
    driver = _Driver()
    for _ in range(STEPS // 2):
        driver.step(rng.choice(OPERATIONS), rng.randrange(1000))
    driver.stop(rng.choice((10.0, 100.0, 400.0, 1500.0)))
    for _ in range(STEPS):
        driver.step(rng.choice(OPERATIONS), rng.randrange(1000))
        if driver.entry.now_ms >= driver.end_ms:
            break
    driver.advance(max(0.0, driver.end_ms - driver.entry.now_ms))
    driver.handle(DrainEnded(driver.entry.now_ms))
    assert all(request.has_ended for request in driver.requests.values())
    for _ in range(STEPS // 4):
        driver.step("arrive", rng.randrange(1000))
    assert all(request.has_ended for request in driver.requests.values())

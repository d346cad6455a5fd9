"""Tests which requests are quarantined because of crashed servers."""

from __future__ import annotations

import attrs
import pytest

from gentianwall.claims.commands import (
    CRASH_WINDOW_MS,
    ReleaseQuarantine,
    ReportCrash,
)
from gentianwall.claims.quarantines import quarantine_key
from gentianwall.claims.register import RegisterState, apply_command
from gentianwall.config.routes import Organisation, RouteKind, digest_key
from gentianwall.control.messages import CommandRequest
from gentianwall.core.events import FailureKind, Tick
from gentianwall.core.refusals import RefusalReason
from gentianwall.gateway import effects as fx
from gentianwall.gateway.events import (
    ReachChecked,
    Relay,
    RequestArrived,
    ServerAnswered,
    ServerCrashed,
)
from harness.gateway_entry import (
    CONFIGURATION,
    IDLE,
    Entry,
    effects_of_type,
    server,
    single_refusal,
)

PAGE = "f" * 32
KEYS = {"acme": b"Bearer k-1", "emca": b"Bearer k-2"}
SERVERS = "abcd"


class Deployment:
    """An entry whose commands a register applies at once."""

    def __init__(self):
        self.entry = Entry()
        self.register = RegisterState()
        self.entry.deliver_update(
            *(server(name, i) for i, name in enumerate(SERVERS, 1))
        )
        self.renew_reports()

    def renew_reports(self):
        """Delivers load reports, so that requests are sent without queries."""
        for name in SERVERS:
            self.entry.deliver_load_report(name, IDLE)

    def apply(self, effects):
        """Applies the commands among effects; returns the commands."""
        commands = [
            effect.message.command
            for effect in effects_of_type(effects, fx.SendToControl)
            if isinstance(effect.message, CommandRequest)
        ]
        for command in commands:
            apply_command(self.register, command)
        return commands

    def deliver_quarantines(self):
        """Delivers the quarantines of the register to the entry."""
        self.entry.deliver_quarantines(self.register)

    def crash(self, name, fingerprint=PAGE, incarnation=1):
        """Ends a server that runs a request; others are reached after it."""
        now_ms = self.entry.now_ms
        effects = self.entry.reduce(
            ServerCrashed(now_ms, name, "s", fingerprint, incarnation)
        )
        other = next(n for n in SERVERS if n != name)
        effects += self.entry.reduce(ReachChecked(now_ms, other, True))
        return self.apply(effects)

    def start_request(self):
        """Sends a request to a server; returns its call id."""
        self.renew_reports()
        effects = self.entry.deliver_request()
        assert effects_of_type(effects, fx.SendRequest)
        return self.entry.last_call_id

    def complete(self, call_id, fingerprint=PAGE, status=200):
        """Completes a request; returns the commands that follow from it."""
        event = ServerAnswered(
            self.entry.now_ms,
            call_id,
            1,
            status,
            False,
            True,
            IDLE,
            fingerprint=fingerprint,
        )
        return self.apply(self.entry.reduce(event))


@pytest.fixture
def deployment():
    return Deployment()


@pytest.fixture
def organisations(deployment):
    """A deployment whose requests belong to two organisations."""
    configuration = attrs.evolve(
        CONFIGURATION,
        number=8,
        organisations=tuple(
            Organisation(name, (digest_key(key.split()[1]),))
            for name, key in KEYS.items()
        ),
    )
    deployment.entry.deliver_update(number=8, configuration=configuration)
    return deployment


# A page that many read was refused for ten minutes after two servers had ended.
def test_servers_that_end_while_others_run_a_request_do_not_quarantine_it(
    deployment,
):
    for name in SERVERS:
        call_id = deployment.start_request()
        deployment.crash(name)
        deployment.complete(call_id)
    assert not deployment.register.quarantines


def test_a_completed_run_ends_the_quarantine_after_simultaneous_crashes(
    deployment,
):
    call_id = deployment.start_request()
    for name in "ab":
        deployment.crash(name)
    deployment.deliver_quarantines()
    entry = deployment.entry
    refusal = single_refusal(entry.deliver_request(fingerprint=PAGE))
    assert refusal.reason is RefusalReason.QUARANTINED
    assert deployment.complete(call_id) == [ReleaseQuarantine(PAGE, 0)]
    # Served again before the release comes back with the feed.
    assert effects_of_type(
        entry.deliver_request(fingerprint=PAGE), fx.SendRequest
    )
    deployment.deliver_quarantines()
    assert not entry.state.quarantines
    assert not entry.state.is_fingerprint_needed


def test_a_request_that_only_crashes_servers_is_quarantined(deployment):
    other_id = deployment.start_request()
    deployment.crash("a")
    deployment.complete(other_id, fingerprint="e" * 32)
    assert deployment.crash("b") == [ReportCrash("s", PAGE, "b#1", 0)]
    assert list(deployment.register.quarantines) == [PAGE]


@pytest.mark.parametrize(
    ("status", "fingerprint"), [(500, PAGE), (504, PAGE), (200, "")]
)
def test_only_a_completed_run_withdraws_a_suspicion(
    deployment, status, fingerprint
):
    """Without a fingerprint, the answer may have been cut by a crash."""
    call_id = deployment.start_request()
    deployment.crash("a")
    commands = deployment.complete(call_id, fingerprint, status)
    assert ReleaseQuarantine(PAGE, 0) not in commands
    assert PAGE in deployment.register.suspects


def test_a_crash_that_is_not_reported_yet_is_dropped_by_a_completed_run(
    deployment,
):
    entry = deployment.entry
    call_id = deployment.start_request()
    entry.reduce(ServerCrashed(entry.now_ms, "a", "s", PAGE))
    assert deployment.complete(call_id) == []
    effects = entry.reduce(ReachChecked(entry.now_ms, "b", True))
    assert deployment.apply(effects) == []


def test_a_lost_release_is_sent_again_by_a_later_completed_run(deployment):
    entry = deployment.entry
    for name in "ab":
        deployment.crash(name)
    deployment.deliver_quarantines()
    release = [ReleaseQuarantine(PAGE, 0)]
    call_ids = [deployment.start_request() for _ in range(3)]
    assert deployment.complete(call_ids[0]) == release
    assert deployment.complete(call_ids[1]) == []
    entry.now_ms += 600.0
    assert deployment.complete(call_ids[2]) == release


def test_a_new_crash_after_a_withdrawal_is_taken_into_account(deployment):
    call_id = deployment.start_request()
    for name in "ab":
        deployment.crash(name)
    deployment.deliver_quarantines()
    deployment.complete(call_id)
    for name in "cd":
        deployment.crash(name)
    assert list(deployment.register.quarantines) == [PAGE]
    deployment.deliver_quarantines()
    refusal = single_refusal(deployment.entry.deliver_request(fingerprint=PAGE))
    assert refusal.reason is RefusalReason.QUARANTINED


# One tenant's request that crashed servers blocked its path for all others.
def test_a_quarantine_holds_for_the_organisation_whose_request_crashes_servers(
    organisations,
):
    entry = organisations.entry
    entry.deliver_request(fingerprint=PAGE, authorization=(KEYS["acme"],))
    effects = entry.fail_attempt(FailureKind.LOST)
    (check,) = effects_of_type(effects, fx.CheckServer)
    assert check.organisation == "acme"
    for name in "ab":
        organisations.crash(name, quarantine_key(PAGE, "acme"))
    organisations.deliver_quarantines()
    organisations.renew_reports()
    refusal = single_refusal(
        entry.deliver_request(fingerprint=PAGE, authorization=(KEYS["acme"],))
    )
    assert refusal.reason is RefusalReason.QUARANTINED
    effects = entry.deliver_request(
        fingerprint=PAGE, authorization=(KEYS["emca"],)
    )
    assert effects_of_type(effects, fx.SendRequest)
    # A run for one organisation says nothing about those of the other.
    assert not organisations.complete(entry.last_call_id)


def test_a_relayed_request_is_quarantined_as_at_its_first_entry(organisations):
    entry = organisations.entry
    for name in "ab":
        organisations.crash(name, quarantine_key(PAGE, "acme"))
    organisations.deliver_quarantines()
    for number, name in enumerate(KEYS, 101):
        relay = Relay("s", RouteKind.SAFE, 400.0, 400.0, 2, name)
        effects = entry.reduce(
            RequestArrived(
                entry.now_ms,
                number,
                f"relayed-{name}",
                "a.example",
                "/safe/x",
                1000.0,
                PAGE,
                relay,
            )
        )
        refused = effects_of_type(effects, fx.RefuseRequest)
        assert bool(refused) == (name == "acme")


@pytest.mark.parametrize("caller", ["", "acme"])
def test_a_request_that_is_not_fingerprinted_has_no_name(caller):
    assert quarantine_key("", caller) == ""
    assert (quarantine_key(PAGE, caller) == PAGE) == (caller == "")


# A request that crashed servers in the middle of answers was never quarantined.
@pytest.mark.parametrize("kind", FailureKind)
def test_a_server_that_ends_its_connection_is_checked(deployment, kind):
    deployment.start_request()
    effects = deployment.entry.fail_attempt(kind)
    is_checked = bool(effects_of_type(effects, fx.CheckServer))
    assert is_checked == (kind in (FailureKind.LOST, FailureKind.TRUNCATED))


# The only server of a service was crashed again whenever the request came.
def test_starts_of_one_server_count_each(deployment):
    for _ in range(2):
        deployment.crash("a", incarnation=1)
    assert not deployment.register.quarantines
    deployment.crash("a", incarnation=2)
    assert list(deployment.register.quarantines) == [PAGE]


def test_a_suspect_is_forgotten_once_its_crash_does_not_count(deployment):
    deployment.crash("a")
    entry = deployment.entry
    crashed_ms = entry.now_ms
    for at_ms, is_needed in (
        (crashed_ms + CRASH_WINDOW_MS - 1.0, True),
        (crashed_ms + CRASH_WINDOW_MS, False),
    ):
        entry.reduce(Tick(at_ms))
        assert entry.state.is_fingerprint_needed == is_needed

"""Tests that unreadable announcements of servers are refused."""

from __future__ import annotations

import json
import types

import pytest

from gentianwall.claims.commands import (
    FEATURE_ADDRESS_OWNERS,
    AnnounceServer,
    Noop,
    PutConfiguration,
)
from gentianwall.claims.register import apply_command
from gentianwall.config.routes import (
    CallerLimits,
    RouteConfiguration,
    RoutedService,
)
from gentianwall.http.announcements import (
    InvalidAnnouncement,
    parse_announcement,
)
from gentianwall.membership.messages import ServerKey, ServerNotice
from gentianwall.runtime.leader_client import LeaderClient, UnknownService
from gentianwall.timers import monotonic_ms
from harness.leader import following_runtime

KEY = ServerKey("orders", "i-1")
CONTENT = {
    "address": "127.0.0.1",
    "port": 80,
    "slots": 2,
    "failure_domain": "pa",
    "incarnation": 7,
}


def _parse(body, method=b"PUT"):
    request = types.SimpleNamespace(method=method, body=body)
    return parse_announcement(KEY, request)


def test_a_complete_announcement_is_parsed():
    notice = _parse(json.dumps(CONTENT).encode())
    assert notice == ServerNotice(KEY, "127.0.0.1", 80, 2, "pa", 7, "up")


@pytest.mark.parametrize(
    "body",
    [
        json.dumps(CONTENT).encode().replace(b"pa", b"\xed\xa0\xbd"),
        json.dumps(CONTENT).encode().replace(b"pa", b"\\ud83d"),
        json.dumps(CONTENT).encode().replace(b'"pa"', b"[" * 100_000),
        b"",
        b"[]",
        b"\xff",
    ],
)
@pytest.mark.parametrize("method", [b"PUT", b"DELETE"])
def test_an_unreadable_announcement_is_refused(body, method):
    if not body and method == b"DELETE":
        body = b" "
    assert isinstance(_parse(body, method), InvalidAnnouncement)


@pytest.mark.parametrize(
    "change",
    [
        {"address": 5},
        {"address": "fe80::1%x"},
        {"address": "a\0b"},
        {"address": None},
        {"failure_domain": "z" * 300},
        {"failure_domain": "z\0"},
        {"port": 0},
        {"slots": 10**6},
    ],
)
def test_an_announcement_with_an_invalid_value_is_refused(change):
    body = json.dumps({**CONTENT, **change}).encode()
    assert isinstance(_parse(body), InvalidAnnouncement)


def test_a_deregistration_keeps_only_its_incarnation():
    body = json.dumps({**CONTENT, "address": [5], "slots": "x"}).encode()
    left = ServerNotice(KEY, "", 0, 0, "", 7, "left")
    assert _parse(body, b"DELETE") == left


@pytest.fixture
def runtime():
    """A control instance with a configuration and a registered server."""
    runtime = following_runtime(monotonic_ms())
    register = runtime.state.replica.register
    configuration = RouteConfiguration(
        1, (), (RoutedService("orders", "", 0),), CallerLimits()
    )
    apply_command(register, PutConfiguration(configuration, b"", 0))
    notice = _parse(json.dumps(CONTENT).encode())
    apply_command(register, AnnounceServer(notice, 1, 0.0, 0))
    return runtime


# A report of another writer took a server out of its service for good.
@pytest.mark.parametrize(
    ("service", "server", "is_refused"),
    [
        ("unknown", "i-1", True),
        ("orders", "i-1", False),
        ("unknown", "i-2", False),
    ],
)
def test_a_registered_server_is_not_moved_to_an_unknown_service(
    service, server, is_refused, runtime
):
    notice = ServerNotice(
        ServerKey(service, server), "127.0.0.2", 80, 2, "pa", 8, "up"
    )
    results = []
    LeaderClient(runtime).announce(notice, 1, 0.0, results.append)
    assert results == ([UnknownService(service)] if is_refused else [])
    assert len(runtime.links.sent) == (0 if is_refused else 1)


def _announce(runtime, service, server, address="127.0.0.1", incarnation=8):
    """Announces a server to a control instance; returns the results."""
    notice = ServerNotice(
        ServerKey(service, server), address, 80, 2, "pa", incarnation, "up"
    )
    results = []
    LeaderClient(runtime).announce(notice, 1, 0.0, results.append)
    return results


# A report of another writer took the server at its address out for good.
@pytest.mark.parametrize("is_configured", [True, False])
def test_a_server_of_an_unknown_service_takes_no_address_in_use(
    is_configured, runtime
):
    if not is_configured:
        runtime.state.replica.register.numbered = None
    assert _announce(runtime, "unknown", "i-2") == [UnknownService("unknown")]
    assert not runtime.links.sent
    assert _announce(runtime, "unknown", "i-2", "127.0.0.2") == []
    assert len(runtime.links.sent) == 1


def test_a_server_takes_its_address_back_from_an_unknown_service(runtime):
    register = runtime.state.replica.register
    apply_command(register, Noop(FEATURE_ADDRESS_OWNERS))
    address = "127.0.0.3"
    foreign = ServerNotice(
        ServerKey("unknown", "i-3"), address, 80, 2, "pa", 99, "up"
    )
    apply_command(register, AnnounceServer(foreign, 1, 0.0, 0))
    assert _announce(runtime, "orders", "i-4", address) == []
    ((_, request),) = runtime.links.sent
    apply_command(register, request.command)
    states = {
        name: server.notice.state
        for name, server in register.registry.servers.items()
    }
    assert states == {"i-1": "up", "i-3": "left", "i-4": "up"}

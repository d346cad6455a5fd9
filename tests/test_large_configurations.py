"""Tests that a change of many routes is committed once and acknowledged.

Committing such a change takes seconds, in which it must neither be sent nor
proposed over and over.
"""

from __future__ import annotations

import attrs
import pytest

from gentianwall.claims.commands import (
    FEATURE_STORED_ORGANISATIONS,
    ConfigurationHeld,
    MarkSilent,
    PutConfiguration,
)
from gentianwall.claims.register import apply_command
from gentianwall.config.routes import (
    CallerLimits,
    Organisation,
    RouteConfiguration,
)
from gentianwall.control.messages import (
    CommandRefused,
    CommandRequest,
)
from gentianwall.core.control import ControlState, reduce_control
from gentianwall.core.events import MessageArrived
from gentianwall.replication.messages import AppendReply, AppendRequest
from gentianwall.replication.replica import (
    ReplicaMessageArrived,
    reduce_replica,
)
from gentianwall.runtime import leader_client
from gentianwall.runtime.leader_client import LeaderClient, LeaderTimeout
from harness.leader import following_runtime, leading_replica

NOW_MS = 10_000.0
LARGE_DOCUMENT = b"x" * 1024 * 1024


def _configuration(number):
    return RouteConfiguration(number, (), (), CallerLimits())


@attrs.define
class Clock:
    """The local clock of the client."""

    now_ms: float = NOW_MS


@pytest.fixture
def clock(monkeypatch):
    """A clock that replaces the one of the client."""
    clock = Clock()
    monkeypatch.setattr(leader_client, "monotonic_ms", lambda: clock.now_ms)
    return clock


@pytest.fixture
def follower(clock):
    """The runtime of a control instance that follows the leader b."""
    return following_runtime(NOW_MS)


def test_a_repeated_command_is_proposed_once_until_it_is_committed():
    control = ControlState(leading_replica(NOW_MS), ())
    request = CommandRequest("command-1", MarkSilent("i-1", 1, 0))
    last_index = control.replica.log.last_index
    for boot_id in ("boot-1", "boot-1", "boot-2"):
        event = MessageArrived(NOW_MS, 0, "e", boot_id, 0.0, request)
        reduce_control(control, event)
    # A restarted client counts its requests from 1 again.
    assert control.replica.log.last_index == last_index + 2


def test_a_large_configuration_is_sent_at_most_once_a_second(follower, clock):
    client = LeaderClient(follower)
    client.put_configuration(_configuration(7), LARGE_DOCUMENT, lambda _: None)
    while clock.now_ms < NOW_MS + leader_client.LARGE_DOCUMENT_TIMEOUT_MS:
        clock.now_ms += leader_client.LEADER_CLIENT_TICK_MS
        client.tick()
    assert 1 < len(follower.links.sent) <= 3


def test_a_configuration_in_force_is_acknowledged_without_a_commit(follower):
    register = follower.state.replica.register
    apply_command(register, PutConfiguration(_configuration(7), b"seven", 0))
    client = LeaderClient(follower)
    results = []
    client.put_configuration(_configuration(7), LARGE_DOCUMENT, results.append)
    assert results == [ConfigurationHeld(7, False)]
    assert not follower.links.sent


@pytest.mark.parametrize(
    ("features", "is_proposed"),
    [(None, True), (FEATURE_STORED_ORGANISATIONS, True), (0, False)],
)
def test_organisations_are_proposed_only_where_no_replica_drops_them(
    features, is_proposed
):
    """Guards against an older replica that stores and sends them stripped.

    One that is down must not stop changes.
    """
    control = ControlState(leading_replica(NOW_MS), ())
    replica = control.replica
    if features is not None:
        reply = AppendReply(1, True, 1, "d-b", NOW_MS, features)
        reduce_replica(replica, ReplicaMessageArrived(NOW_MS, "b", reply))
    configuration = attrs.evolve(
        _configuration(7), organisations=(Organisation("acme"),)
    )
    put = CommandRequest("q", PutConfiguration(configuration, b"", 0))
    event = MessageArrived(NOW_MS, 0, "e", "boot", 0.0, put)
    last_index = replica.log.last_index
    effects = reduce_control(control, event)
    assert (replica.log.last_index > last_index) == is_proposed
    refused = [e for e in effects if hasattr(e, "message")]
    assert [type(e.message) for e in refused] == (
        [] if is_proposed else [CommandRefused]
    )


@pytest.mark.parametrize("features", [0, FEATURE_STORED_ORGANISATIONS])
def test_organisations_are_sent_only_to_a_leader_that_knows_them(
    follower, features
):
    """Guards against an older leader that commits them stripped."""
    replica = follower.state.replica
    heartbeat = AppendRequest(2, 0, 0, (), 0, NOW_MS, features)
    reduce_replica(replica, ReplicaMessageArrived(NOW_MS, "b", heartbeat))
    configuration = attrs.evolve(
        _configuration(7), organisations=(Organisation("acme"),)
    )
    results = []
    client = LeaderClient(follower)
    client.put_configuration(configuration, b"seven", results.append)
    assert bool(follower.links.sent) == bool(features)
    assert results == ([] if features else [LeaderTimeout()])

"""Tests that large configurations do not fill the memory of replicas.

Memory is counted in the replicas' logs and disks, which are read into memory at
a start, and in the messages on their way.
"""

from __future__ import annotations

import attrs
import pytest

from gentianwall.claims.commands import (
    MarkSilent,
    PutConfiguration,
    approximate_bytes,
)
from gentianwall.config.routes import CallerLimits, RouteConfiguration
from gentianwall.control.messages import CommandRefused, CommandRequest
from gentianwall.core.control import (
    MAX_UNCOMMITTED_BYTES,
    ControlState,
    reduce_control,
)
from gentianwall.core.effects import SendMessage
from gentianwall.core.events import MessageArrived
from gentianwall.replication.appending import (
    MAX_APPEND_BYTES,
    MAX_UNACKED_BYTES,
)
from gentianwall.replication.messages import AppendRequest
from gentianwall.replication.state import Role, Timing, bytes_of
from harness.leader import leading_replica
from harness.replicas import ReplicaSimulation

DOCUMENT_BYTES = 200_000
TIMING = Timing(snapshot_entries=1000)


def _large_configuration(number):
    configuration = RouteConfiguration(number, (), (), CallerLimits())
    return PutConfiguration(configuration, bytes(DOCUMENT_BYTES), 0)


ENTRY_BYTES = approximate_bytes(_large_configuration(1))


@pytest.fixture
def simulation():
    """Three voters with a leader."""
    simulation = ReplicaSimulation(3, seed=1, voters=3, timing=TIMING)
    simulation.advance(2000)
    return simulation


def _leader(simulation):
    return next(
        node.state
        for node in simulation.nodes.values()
        if node.state is not None and node.state.role is Role.LEADER
    )


def _submit(simulation, count, step_ms):
    """Submits large configurations; yields after each of them."""
    for _ in range(count):
        number = simulation.proposal_count
        leader = _leader(simulation).name
        simulation.propose(leader, _large_configuration(number))
        simulation.advance(step_ms)
        yield


# Control instances of 296 MB ended after 600 changes and at each start.
def test_the_log_of_many_large_configurations_stays_small(simulation):
    for _ in _submit(simulation, 200, 50):
        for node in simulation.nodes.values():
            for entries in (node.state.log.entries, node.disk.entries):
                assert bytes_of(entries) <= 2 * TIMING.snapshot_bytes
    leader = _leader(simulation)
    assert leader.commit_index == leader.log.last_index
    assert leader.register.numbered.configuration.number > 190


def _follower(simulation):
    return next(n for n in simulation.names if n != _leader(simulation).name)


def _appends_to(simulation, name):
    return [
        packet.message
        for packet in simulation.packets
        if packet.receiver == name and isinstance(packet.message, AppendRequest)
    ]


def _check_same_log(simulation, name):
    simulation.advance(2000)
    state = simulation.nodes[name].state
    assert state.commit_index == _leader(simulation).commit_index


# A leader ended when it sent 256 large entries to an empty replica at once.
def test_an_empty_replica_gets_a_long_log_in_bounded_messages(simulation):
    simulation.timing = attrs.evolve(TIMING, snapshot_bytes=2**40)
    for name in simulation.names:
        simulation.crash(name)
        simulation.start(name)
    simulation.advance(2000)
    list(_submit(simulation, 60, 50))
    wiped = _follower(simulation)
    simulation.wipe(wiped)
    simulation.start(wiped)
    sent_bytes = []
    for _ in range(200):
        for request in _appends_to(simulation, wiped):
            sent_bytes.append(bytes_of(request.entries))
        simulation.advance(10)
    assert sum(sent_bytes) >= 60 * ENTRY_BYTES
    assert max(sent_bytes) <= MAX_APPEND_BYTES
    _check_same_log(simulation, wiped)


def test_a_stopped_replica_is_sent_a_bounded_number_of_bytes(simulation):
    stopped = _follower(simulation)
    simulation.suspend(stopped)
    for _ in _submit(simulation, 60, 50):
        queued_bytes = sum(
            bytes_of(request.entries)
            for request in _appends_to(simulation, stopped)
        )
        assert queued_bytes <= MAX_UNACKED_BYTES + MAX_APPEND_BYTES
    simulation.resume(stopped)
    _check_same_log(simulation, stopped)


def test_commands_are_refused_while_too_much_is_not_committed():
    control = ControlState(leading_replica(0.0), ())
    results = []
    for number in range(60):
        request = CommandRequest(f"c-{number}", _large_configuration(number))
        event = MessageArrived(0.0, 0, "e", "boot", 0.0, request)
        effects = reduce_control(control, event)
        results += [e.message for e in effects if isinstance(e, SendMessage)]
    held_bytes = bytes_of(control.replica.log.entries)
    assert held_bytes <= MAX_UNCOMMITTED_BYTES + 2 * ENTRY_BYTES
    assert CommandRefused("c-59", "", False) in results
    small = CommandRequest("small", MarkSilent("i", 1, 0))
    reduce_control(control, MessageArrived(0.0, 0, "e", "b", 0.0, small))
    assert bytes_of(control.replica.log.entries) == held_bytes

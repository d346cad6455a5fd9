"""Tests for the evacuation of failure domains, without sockets or clocks."""

from __future__ import annotations

import attrs
import pytest

from gentianwall.claims.commands import (
    FEATURE_EVACUATION,
    SUPPORTED_FEATURES,
    EvacuationsHeld,
    Noop,
    SetEvacuation,
)
from gentianwall.claims.register import (
    MAX_EVACUATED_DOMAINS,
    RegisterState,
    apply_command,
)
from gentianwall.claims.snapshot_codec import decode_register, encode_register
from gentianwall.control.messages import (
    CommandRefused,
    CommandRequest,
    ConfigurationReply,
    ConfigurationRequest,
    EvacuationStatus,
    FeedNotice,
    FeedPoll,
)
from gentianwall.core.control import ControlState, reduce_control
from gentianwall.core.events import FailureKind, MessageArrived, Tick
from gentianwall.gateway import effects as fx
from gentianwall.gateway.events import FeedArrived
from gentianwall.replication import joining
from gentianwall.replication.messages import JoinRequest
from gentianwall.runtime.leader_client import (
    EvacuationUnsupported,
    LeaderClient,
    LeaderTimeout,
)
from harness.gateway_entry import (
    IDLE,
    Entry,
    effects_of_type,
    server,
    single_refusal,
)
from harness.leader import following_runtime, leading_replica
from harness.replicas import ReplicaSimulation

NOW_MS = 10_000.0


def _apply(register, domain, is_evacuated, base_version=None):
    if base_version is None:
        base_version = register.evacuation_version
    command = SetEvacuation(domain, is_evacuated, base_version, 5)
    return apply_command(register, command)


# The replicated register.


def test_repeated_starts_and_finishes_change_nothing_further():
    register = RegisterState()
    for expected in (("z1",), ("z1",), ("z1", "z2")):
        held = _apply(register, expected[-1], True)
        assert held.failure_domains == expected
    for expected in (("z2",), ("z2",)):
        assert _apply(register, "z1", False).failure_domains == expected
    assert register.evacuations == {"z2": 5}


def test_a_delayed_start_changes_nothing_after_the_finish():
    """Guards against an evacuation that no operator asks for any more.

    A finish without effect outdates earlier starts as well.
    """
    for was_started in (True, False):
        register = RegisterState()
        _apply(register, "z1", was_started)
        _apply(register, "z1", False)
        held = _apply(register, "z1", True, base_version=0)
        assert held == EvacuationsHeld(3, ())


def test_the_number_of_evacuated_domains_is_bounded():
    register = RegisterState()
    for number in range(MAX_EVACUATED_DOMAINS):
        assert not _apply(register, f"z{number}", True).is_full
    assert _apply(register, "one-more", True).is_full
    assert not _apply(register, "z3", True).is_full
    assert len(register.evacuations) == MAX_EVACUATED_DOMAINS


def test_evacuations_survive_a_snapshot():
    register = RegisterState()
    apply_command(register, Noop(FEATURE_EVACUATION))
    _apply(register, "z1", True)
    assert decode_register(encode_register(register)) == register


# What replicas declare to understand.


def test_evacuations_are_allowed_once_every_replica_has_declared_them():
    simulation = ReplicaSimulation(4, 1, voters=3)
    simulation.advance(3000)
    for node in simulation.nodes.values():
        assert node.state.register.features == SUPPORTED_FEATURES


@pytest.fixture
def leader():
    """A leader of three voters, of which none has declared a feature."""
    return leading_replica(NOW_MS)


def _declare(leader, **features_by_name):
    for name, features in features_by_name.items():
        leader.progress[name].features = features


def test_one_earlier_build_keeps_evacuations_from_being_allowed(leader):
    """Guards against a log that a member or a learner cannot read."""
    _declare(leader, b=FEATURE_EVACUATION)
    assert joining.next_feature_change(leader) is None
    _declare(leader, c=0)
    assert joining.next_feature_change(leader) is None
    _declare(leader, c=FEATURE_EVACUATION)
    joining.on_join_request(leader, "d", JoinRequest("d-d"), NOW_MS, [])
    assert joining.next_feature_change(leader) is None
    del leader.progress["d"]
    assert joining.next_feature_change(leader) == Noop(FEATURE_EVACUATION)
    assert joining.next_feature_change(leader) is None


def test_an_earlier_build_does_not_join_once_evacuations_are_allowed(leader):
    apply_command(leader.register, Noop(FEATURE_EVACUATION))
    joining.on_join_request(leader, "d", JoinRequest("d-d"), NOW_MS, [])
    assert "d" not in leader.progress
    request = JoinRequest("d-d", features=FEATURE_EVACUATION)
    joining.on_join_request(leader, "d", request, NOW_MS, [])
    assert "d" in leader.progress


# The leader and the instances that pass requests on to it.


def _send(control, message, sender="e"):
    event = MessageArrived(NOW_MS, 0, sender, "boot", 0.0, message)
    effects = reduce_control(control, event)
    return [e.message for e in effects if hasattr(e, "message")]


def test_the_leader_refuses_evacuations_until_they_are_allowed(leader):
    control = ControlState(leader, ())
    read = ConfigurationRequest("q", wants_document=False)
    assert _send(control, read) == [ConfigurationReply("q", -1, b"")]
    change = CommandRequest("c", SetEvacuation("z", True, 0, 0))
    assert _send(control, change) == [CommandRefused("c", "", False)]
    apply_command(leader.register, Noop(FEATURE_EVACUATION))
    (reply,) = _send(control, read)
    assert reply.evacuations == EvacuationStatus(0, ())
    assert not _send(control, change)  # It waits for a majority.
    # A member that went back to an earlier build.
    _declare(leader, b=0)
    assert _send(control, read)[0].evacuations is None


def test_an_entry_is_sent_the_evacuations_that_it_lacks(leader):
    control = ControlState(leader, ())
    _apply(leader.register, "z1", True)
    poll = FeedPoll(-1, 0, 0, True)
    (notice,) = _send(control, poll)
    assert notice.evacuated_domains == ("z1",)
    poll = attrs.evolve(poll, evacuation_version=notice.evacuation_version)
    (notice,) = _send(control, poll)
    assert notice.evacuated_domains is None


class Operator:
    """An operator's request at an instance that follows the leader b."""

    def __init__(self):
        self.is_waiting = True
        self.results = []
        self.runtime = following_runtime(NOW_MS)
        self.client = LeaderClient(self.runtime)

    def start(self, domain):
        self.client.set_evacuation(
            domain, True, lambda: self.is_waiting, self.results.append
        )

    def last_sent(self):
        return self.runtime.links.sent[-1][1]

    def receive_read(self, evacuations):
        self.client.receive(
            ConfigurationReply(self.last_sent().request_id, 1, b"", evacuations)
        )


def test_a_start_is_based_on_the_version_that_the_leader_reports():
    operator = Operator()
    operator.start("z1")
    assert not operator.last_sent().wants_document
    operator.receive_read(EvacuationStatus(4, ()))
    assert operator.last_sent().command.base_version == 4


def test_nothing_is_proposed_for_an_operator_that_gave_up():
    """Guards against a start that takes effect after a later finish."""
    operator = Operator()
    operator.start("z1")
    operator.is_waiting = False
    operator.receive_read(EvacuationStatus(4, ()))
    assert isinstance(operator.last_sent(), ConfigurationRequest)
    assert operator.results == [LeaderTimeout()]


def test_nothing_is_proposed_to_instances_of_an_earlier_build():
    operator = Operator()
    operator.start("z1")
    operator.receive_read(None)
    assert isinstance(operator.last_sent(), ConfigurationRequest)
    assert operator.results == [EvacuationUnsupported()]


# The entry.


def _server(name, revision, domain):
    record = server(name, revision)
    notice = attrs.evolve(record.notice, failure_domain=domain)
    return attrs.evolve(record, notice=notice)


@pytest.fixture
def entry():
    """An entry in z1 with an idle server in each of two failure domains."""
    entry = Entry()
    entry.state.failure_domain = "z1"
    entry.deliver_update(_server("a", 1, "z1"), _server("b", 2, "z2"))
    for name in "ab":
        entry.deliver_load_report(name, IDLE)
    return entry


def _evacuate(entry, version, *domains):
    notice = FeedNotice(
        3, 7, None, 2, (), 0, None, ("c1",), 1,
        evacuation_version=version, evacuated_domains=domains,
    )  # fmt: skip
    return entry.reduce(FeedArrived(entry.now_ms, "c1", notice))


def _targets(entry):
    (sent,) = effects_of_type(entry.deliver_request(), fx.SendRequest)
    return sent.notice.key.server


def test_requests_leave_an_evacuated_domain_and_return_after_it(entry):
    _evacuate(entry, 1, "nowhere")
    assert _targets(entry) == "a"
    effects = _evacuate(entry, 2, "z1")
    assert effects_of_type(effects, fx.CloseIdleConnections)
    assert entry.state.services["s"].homes == ("b",)
    assert _targets(entry) == "b"
    _evacuate(entry, 3, "z1", "z2")
    refusal = single_refusal(entry.deliver_request())
    assert (refusal.status, refusal.retry_after_ms > 0) == (503, True)
    _evacuate(entry, 4)
    assert set(entry.state.services["s"].homes) == {"a", "b"}
    assert _targets(entry) == "a"


def test_a_retry_never_goes_to_an_evacuated_domain(entry):
    _evacuate(entry, 1, "z1")
    assert _targets(entry) == "b"
    effects = entry.deliver_answer(503, is_refusal=True)
    assert not effects_of_type(effects, fx.SendRequest)
    single_refusal(effects)


def test_no_server_of_an_evacuated_domain_is_queried_or_checked(entry):
    assert _targets(entry) == "a"
    _evacuate(entry, 1, "z1")
    entry.now_ms += 500.0
    (query,) = effects_of_type(entry.deliver_request(), fx.QueryLoad)
    assert {notice.key.server for notice in query.notices} == {"b"}
    entry.deliver_load_report("b", IDLE)
    for name in "ab":
        entry.state.reachability.record_failure(name, entry.now_ms)
    entry.now_ms += 900.0
    effects = entry.reduce(Tick(entry.now_ms))
    overdue = effects_of_type(effects, fx.CheckOverdue)
    assert {check.notice.key.server for check in overdue} == {"b"}
    assert {
        check.notice.key.server
        for check in effects_of_type(effects, fx.CheckReach)
    } == {"b"}


def test_a_request_lost_with_an_evacuated_domain_is_not_held_against_it(entry):
    """Guards against quarantines of what ran while a domain lost its power."""
    assert _targets(entry) == "a"
    _evacuate(entry, 1, "z1")
    effects = entry.fail_attempt(FailureKind.LOST)
    assert not effects_of_type(effects, fx.CheckServer)


def test_a_late_notice_of_a_former_leader_changes_nothing(entry):
    _evacuate(entry, 2, "z1")
    _evacuate(entry, 1)
    assert _targets(entry) == "b"
    # Control instances that have lost their disks count anew.
    entry.now_ms += 11_000.0
    _evacuate(entry, 1)
    entry.deliver_load_report("a", IDLE)
    entry.deliver_load_report("b", IDLE)
    assert _targets(entry) == "a"

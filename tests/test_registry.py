"""Tests that late and reordered announcements leave the registry correct."""

from __future__ import annotations

import random

import attrs
import pytest

from gentianwall.claims.commands import (
    FEATURE_ADDRESS_OWNERS,
    AnnounceServer,
    Noop,
    PutConfiguration,
)
from gentianwall.claims.register import RegisterState, apply_command
from gentianwall.config.routes import (
    CallerLimits,
    RouteConfiguration,
    RoutedService,
)
from gentianwall.membership.messages import ServerKey, ServerNotice
from gentianwall.membership.registry import (
    DEPARTURE_SEQUENCE,
    ServerRegistry,
    changes_registry,
    deregister_server,
    mark_silent,
    record_announcement,
    unrecorded_departure,
)

UP = ServerNotice(ServerKey("s", "a"), "10.0.0.1", 80, 2, "z", 100, "up")
DRAINING = attrs.evolve(UP, state="draining")


@pytest.fixture
def registry():
    registry = ServerRegistry()
    record_announcement(registry, UP, 1, 500.0)
    return registry


def _get_state(registry, name="a"):
    return registry.servers[name].notice.state


def test_a_heartbeat_without_changes_keeps_the_revision(registry):
    revision = registry.revision
    assert not changes_registry(registry, UP, 2)
    record_announcement(registry, UP, 2, 0.0)
    assert registry.revision == revision


def test_a_late_heartbeat_does_not_end_a_drain(registry):
    record_announcement(registry, DRAINING, 5, 0.0)
    record_announcement(registry, UP, 4, 0.0)
    record_announcement(registry, UP, 6, 0.0)
    assert _get_state(registry) == "draining"


@pytest.mark.parametrize("sequence", [1, 9])
def test_a_late_heartbeat_does_not_restore_a_deregistered_server(
    registry, sequence
):
    deregister_server(registry, "a", 100)
    record_announcement(registry, UP, sequence, 0.0)
    assert _get_state(registry) == "left"


def test_a_deregistration_of_an_older_incarnation_is_ignored(registry):
    record_announcement(registry, attrs.evolve(UP, incarnation=200), 1, 0.0)
    deregister_server(registry, "a", 100)
    assert _get_state(registry) == "up"
    deregister_server(registry, "a", 0)
    assert _get_state(registry) == "left"


def _deregister_unknown_start(registry, incarnation, order):
    """Applies the commands of a deregistration as the control instances do."""
    departure = unrecorded_departure(registry, "a", incarnation)
    for step in order:
        if step == "deregistration":
            deregister_server(registry, "a", incarnation)
        elif departure is not None:
            record_announcement(registry, departure, DEPARTURE_SEQUENCE, 0.0)


ORDERS = [("deregistration", "departure"), ("departure", "deregistration")]


# Servers that had deregistered got requests for as long as they lived.
@pytest.mark.parametrize("order", ORDERS)
@pytest.mark.parametrize("known_incarnation", [None, 50])
def test_a_first_announcement_after_the_deregistration_registers_nothing(
    known_incarnation, order
):
    registry = ServerRegistry()
    if known_incarnation is not None:
        older = attrs.evolve(UP, incarnation=known_incarnation)
        record_announcement(registry, older, 1, 0.0)
    _deregister_unknown_start(registry, 100, order)
    for sequence in (1, 2):
        record_announcement(registry, UP, sequence, 0.0)
    assert _get_state(registry) == "left"
    restarted = attrs.evolve(UP, incarnation=200)
    record_announcement(registry, restarted, 1, 0.0)
    assert _get_state(registry) == "up"


@pytest.mark.parametrize("order", ORDERS)
def test_an_announcement_beside_the_deregistration_does_not_outlive_it(order):
    """The announcement is committed between the check and the commands."""
    registry = ServerRegistry()
    departure = unrecorded_departure(registry, "a", 100)
    record_announcement(registry, UP, 1, 0.0)
    for step in order:
        if step == "deregistration":
            deregister_server(registry, "a", 100)
        else:
            record_announcement(registry, departure, DEPARTURE_SEQUENCE, 0.0)
    left = attrs.evolve(UP, state="left")
    assert registry.servers["a"].notice == left


def test_the_end_of_an_unknown_start_leaves_other_servers_alone(registry):
    other = attrs.evolve(UP, key=ServerKey("s", "b"), port=81)
    record_announcement(registry, other, 1, 0.0)
    departure = unrecorded_departure(registry, "a", 200)
    record_announcement(registry, departure, DEPARTURE_SEQUENCE, 0.0)
    assert (_get_state(registry), _get_state(registry, "b")) == ("left", "up")


def test_a_newer_incarnation_replaces_the_registered_server(registry):
    record_announcement(registry, DRAINING, 7, 0.0)
    restarted = attrs.evolve(UP, incarnation=200, port=81)
    record_announcement(registry, restarted, 1, 0.0)
    assert registry.servers["a"].notice == restarted


def test_an_address_belongs_to_the_newest_server(registry):
    newer_notice = attrs.evolve(UP, key=ServerKey("t", "b"), incarnation=200)
    record_announcement(registry, newer_notice, 1, 0.0)
    assert _get_state(registry) == "left"
    older_notice = attrs.evolve(UP, key=ServerKey("s", "c"), incarnation=150)
    assert not changes_registry(registry, older_notice, 9)
    record_announcement(registry, older_notice, 9, 0.0)
    assert "c" not in registry.servers


def test_a_silent_server_is_up_after_its_next_announcement(registry):
    mark_silent(registry, "a", 100)
    assert _get_state(registry) == "silent"
    record_announcement(registry, UP, 3, 0.0)
    assert _get_state(registry) == "up"
    mark_silent(registry, "a", 99)
    assert _get_state(registry) == "up"


@pytest.mark.parametrize("seed", range(20))
def test_changes_since_any_revision_lead_to_the_same_state(seed):
    rng = random.Random(seed)
    registry = ServerRegistry()
    reconstructed = {}
    servers_by_revision = {0: {}}
    for _ in range(60):
        name = rng.choice("abcdef")
        notice = attrs.evolve(
            UP,
            key=ServerKey("s", name),
            port=rng.randrange(80, 84),
            incarnation=rng.randrange(1, 4),
            state=rng.choice(["up", "draining"]),
        )
        if rng.random() < 0.2:
            deregister_server(registry, name, 0)
        else:
            record_announcement(registry, notice, rng.randrange(9), 0.0)
        servers_by_revision[registry.revision] = dict(registry.servers)
    for revision, known_servers in servers_by_revision.items():
        reconstructed = dict(known_servers)
        for server in registry.changed_since(revision):
            reconstructed[server.name] = server
        assert reconstructed == registry.servers


SERVICES = frozenset({"s", "t"})


@pytest.fixture
def register():
    """A register that decides by services who may take an address."""
    register = RegisterState()
    services = tuple(RoutedService(name, "", 0) for name in sorted(SERVICES))
    configuration = RouteConfiguration(1, (), services, CallerLimits())
    apply_command(register, Noop(FEATURE_ADDRESS_OWNERS))
    apply_command(register, PutConfiguration(configuration, b"", 0))
    apply_command(register, AnnounceServer(UP, 1, 0.0, 0))
    return register


@pytest.mark.parametrize(
    ("service", "incarnation", "is_taken"),
    [("t", 100, True), ("t", 99, False), ("unknown", 200, False)],
)
def test_an_address_passes_on_to_later_servers_of_named_services(
    register, service, incarnation, is_taken
):
    key = ServerKey(service, "b")
    notice = attrs.evolve(UP, key=key, incarnation=incarnation)
    apply_command(register, AnnounceServer(notice, 1, 0.0, 0))
    assert ("b" in register.registry.servers) == is_taken
    expected = "left" if is_taken else "up"
    assert _get_state(register.registry) == expected


def test_a_late_start_of_a_known_server_takes_no_address_of_a_later_one(
    register,
):
    later = attrs.evolve(UP, key=ServerKey("t", "b"), incarnation=300)
    apply_command(register, AnnounceServer(later, 1, 0.0, 0))
    late = attrs.evolve(UP, incarnation=200)
    apply_command(register, AnnounceServer(late, 1, 0.0, 0))
    assert _get_state(register.registry, "b") == "up"


def test_replicas_decide_as_earlier_builds_until_all_know_the_feature(register):
    """Otherwise their registries would differ during an upgrade."""
    register.features = 0
    foreign = attrs.evolve(UP, key=ServerKey("unknown", "b"), incarnation=200)
    apply_command(register, AnnounceServer(foreign, 1, 0.0, 0))
    assert _get_state(register.registry) == "left"


@pytest.mark.parametrize("seed", range(40))
def test_a_live_server_is_used_until_a_later_one_has_its_address(
    register, seed
):
    """Reports come late, in any order, and from other writers."""
    rng = random.Random(seed)
    starts = []
    for born in range(101, 113):
        key = ServerKey(rng.choice("st"), rng.choice("abcde"))
        port = rng.choice((80, 81))
        starts.append(attrs.evolve(UP, key=key, incarnation=born, port=port))
    sequences = dict.fromkeys(range(len(starts)), 0)
    live = {}
    for number, start in enumerate(starts):
        # The start ends the one before it at its address and under its name.
        live = {
            other: notice
            for other, notice in live.items()
            if notice.port != start.port
            and notice.key.server != start.key.server
        }
        live[number] = start
        for _ in range(rng.randrange(4)):
            late = rng.randrange(number) if number else 0
            sequences[late] += 1
            _announce(register, starts[late], sequences[late])
            foreign = attrs.evolve(
                rng.choice(starts),
                key=ServerKey("unknown", rng.choice(("x", "y"))),
                incarnation=rng.randrange(300),
            )
            _announce(register, foreign, rng.randrange(9))
        for other, notice in live.items():
            sequences[other] += 1
            _announce(register, notice, sequences[other])
        for notice in live.values():
            record = register.registry.servers[notice.key.server]
            assert record.notice == notice


def _announce(register, notice, sequence):
    apply_command(register, AnnounceServer(notice, sequence, 0.0, 0))

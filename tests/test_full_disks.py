"""Tests that control instances go on once their disks have room again."""

from __future__ import annotations

import pathlib
import tempfile

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianwall.claims.commands import ConfigurationHeld
from gentianwall.config.routes import CallerLimits, RouteConfiguration
from gentianwall.core import control
from harness.full_disks import (
    CAPACITY_BYTES,
    DOCUMENT_BYTES,
    THREAD_DELAY_S,
    TIMING,
    FullDiskCluster,
)

# Room comes back before the snapshot is written and the journal is retried.
FULL_S = THREAD_DELAY_S / 2
RECOVERY_S = 2.0


@pytest.fixture
def cluster(tmp_path, monkeypatch):
    """Three control instances that have committed a configuration."""
    cluster = FullDiskCluster(tmp_path, monkeypatch, size=3, voters=3)
    cluster.advance(2.0)
    assert cluster.change()
    return cluster


# A snapshot that was written while the journal was refused was never used, and
# none was taken after it: journals grew until no disk had room for a change.
def test_changes_are_committed_long_after_each_disk_was_full(cluster):
    for name, runtime in cluster.runtimes.items():
        while not runtime.state.replica.is_snapshot_pending:
            cluster.change(0.01)
        cluster.disks[name].fill("write", FULL_S)
        cluster.change(FULL_S)
        assert runtime.unstored_effects
        cluster.advance(RECOVERY_S)
        assert not runtime.unstored_effects
    changes = 2 * CAPACITY_BYTES // DOCUMENT_BYTES
    assert all([cluster.change() for _ in range(changes)])


# The refused snapshot was written again as it was. By then, the entries behind
# it took more than half of the disk, which had no room to copy them. In 6 s,
# they took all of it, so that no snapshot had room.
@pytest.mark.parametrize("full_s", [2.5, 6.0])
@pytest.mark.parametrize("refused", ["create", "rename"])
@pytest.mark.parametrize("is_leader", [True, False])
def test_an_instance_whose_disk_refuses_new_files_compacts_its_journal_later(
    is_leader, refused, full_s, cluster
):
    leader = cluster.leader()
    others = [name for name in cluster.names if name != leader]
    disk = cluster.disks[leader if is_leader else others[0]]
    disk.fill(refused, full_s)
    for _ in range(round(full_s / 0.05)):
        cluster.change(0.05)
    assert disk.refusals
    cluster.check_recovered()


def _make_cluster(folder, monkeypatch, size, voters, seed):
    # As a disk for the journal of a fleet, a disk has room for all entries that
    # the leader accepts while none is committed.
    monkeypatch.setattr(control, "MAX_UNCOMMITTED_BYTES", CAPACITY_BYTES // 8)
    cluster = FullDiskCluster(folder, monkeypatch, size, voters, seed)
    cluster.advance(2.0)
    cluster.change_for(1.0)
    assert cluster.acknowledged
    return cluster


# Changes were not acknowledged long after the last of many disks had room.
@pytest.mark.parametrize(
    ("size", "voters", "seed"), [(3, 3, 1), (5, 3, 2), (5, 5, 3), (12, 5, 4)]
)
def test_every_instance_accepts_changes_after_each_disk_was_full(
    size, voters, seed, tmp_path, monkeypatch
):
    cluster = _make_cluster(tmp_path, monkeypatch, size, voters, seed)
    operations = ["write", "create rename", "create write sync rename"]
    for number, disk in enumerate(cluster.disks.values()):
        disk.fill(operations[number % 3], 1.0, after=number)
        cluster.change_for(2.0)
        assert disk.refusals
    cluster.check_recovered()


# A leader whose disk was full while it compacted its log, sent a snapshot or
# admitted a learner has to go on with that, or another has to.
@pytest.mark.parametrize("full_s", [0.3, 2.5])
@pytest.mark.parametrize("refused", ["write", "create write sync rename"])
def test_a_leader_whose_disk_is_full_compacts_its_log_afterwards(
    refused, full_s, tmp_path, monkeypatch
):
    cluster = _make_cluster(tmp_path, monkeypatch, 3, 3, 1)
    for after in range(4):
        leader = cluster.leader()
        while not cluster.runtimes[leader].state.replica.is_snapshot_pending:
            cluster.change(0.01)
        cluster.disks[leader].fill(refused, full_s, after)
        cluster.change_for(full_s + 1.0)
        assert cluster.disks[leader].refusals
    cluster.check_recovered()


@pytest.mark.parametrize("is_leader_full", [True, False])
@pytest.mark.parametrize("refused", ["write", "create write sync rename"])
def test_an_instance_that_lags_gets_a_snapshot_while_a_disk_is_full(
    refused, is_leader_full, tmp_path, monkeypatch
):
    cluster = _make_cluster(tmp_path, monkeypatch, 3, 3, 1)
    leader = cluster.leader()
    lagging = next(name for name in cluster.names if name != leader)
    replica = cluster.runtimes[lagging].state.replica
    cluster.isolated.add(lagging)
    cluster.change_for(2.0)
    assert (
        cluster.runtimes[leader].state.replica.log.base_index
        > replica.log.last_index
    )
    disk = cluster.disks[leader if is_leader_full else lagging]
    disk.fill(refused, 1.0, after=2)
    cluster.isolated.clear()
    cluster.change_for(2.0)
    assert disk.refusals
    cluster.check_recovered()


# It waited to take the next snapshot after a refused one, although the disk had
# room again, while the entries that it lagged behind filled the disk.
def test_an_instance_that_catches_up_after_a_refused_snapshot_compacts_its_log(
    cluster,
):
    leader = cluster.leader()
    name = next(name for name in cluster.names if name != leader)
    while not cluster.runtimes[name].state.replica.is_snapshot_pending:
        cluster.change(0.01)
    cluster.disks[name].fill("write", 1.3)
    for _ in range(300):
        cluster.change(0.01)
    assert cluster.disks[name].refusals
    cluster.check_recovered()


@pytest.mark.parametrize(("size", "voters"), [(3, 3), (5, 3), (12, 5)])
@pytest.mark.parametrize("is_leader_full", [True, False])
def test_a_new_disk_is_admitted_after_a_disk_was_full(
    is_leader_full, size, voters, tmp_path, monkeypatch
):
    cluster = _make_cluster(tmp_path, monkeypatch, size, voters, 1)
    leader = cluster.leader()
    replaced = next(name for name in cluster.names if name != leader)
    cluster.replace_disk(replaced)
    full = cluster.disks[leader if is_leader_full else replaced]
    full.fill("create write sync rename", 1.0)
    cluster.change_for(6.0)
    assert full.refusals
    cluster.check_recovered()
    members = cluster.runtimes[cluster.leader()].state.replica.members
    assert len(members) == voters
    disk_ids = {r.state.replica.disk_id for r in cluster.runtimes.values()}
    assert {member.disk_id for member in members} <= disk_ids


# An instance without a journal has no identity to go on with. Its process ends
# and is started again, with what the refused start left behind.
@pytest.mark.parametrize("refused", ["create", "write", "rename", "sync"])
def test_an_empty_instance_on_a_full_disk_joins_when_started_again(
    refused, cluster
):
    leader = cluster.leader()
    name = next(name for name in cluster.names if name != leader)
    cluster.disks[name].fill(refused, 1.0)
    with pytest.raises(OSError):
        cluster.replace_disk(name)
    cluster.change_for(1.5)
    cluster.start(name)
    cluster.change_for(2.0)
    cluster.check_recovered()
    assert cluster.runtimes[name].state.replica.is_member


def test_a_configuration_refused_by_the_disk_is_not_acknowledged(
    tmp_path, monkeypatch
):
    cluster = FullDiskCluster(tmp_path, monkeypatch, size=1, voters=1)
    cluster.advance(2.0)
    client = cluster.clients["r0"]
    cluster.disks["r0"].fill("write", 1.0)
    configuration = RouteConfiguration(7, (), (), CallerLimits())
    results = []
    for _ in range(2):
        client.put_configuration(configuration, b"seven", results.append)
        cluster.advance(0.1)
    assert not results
    cluster.advance(RECOVERY_S)
    client.put_configuration(configuration, b"seven", results.append)
    assert ConfigurationHeld(7, True) in results


@given(
    is_leader=st.booleans(),
    refused=st.sampled_from(["create write sync rename", "write", "sync"]),
    full_s=st.sampled_from([FULL_S, 0.3, 1.5]),
    after=st.integers(0, 16),
)
@settings(max_examples=20)
def test_an_instance_recovers_wherever_its_disk_becomes_full(
    is_leader, refused, full_s, after
):
    with (
        tempfile.TemporaryDirectory() as folder,
        pytest.MonkeyPatch.context() as monkeypatch,
    ):
        cluster = FullDiskCluster(pathlib.Path(folder), monkeypatch, 3, 3)
        cluster.advance(2.0)
        leader = cluster.leader()
        others = [name for name in cluster.names if name != leader]
        disk = cluster.disks[leader if is_leader else others[0]]
        disk.fill(refused, full_s, after)
        for _ in range(2 * TIMING.snapshot_entries):
            cluster.change()
        assert disk.refusals
        cluster.check_recovered()

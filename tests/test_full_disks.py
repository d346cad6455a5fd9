"""Tests that control instances go on once their disks have room again."""

from __future__ import annotations

import pathlib
import tempfile

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianwall.claims.commands import ConfigurationHeld
from gentianwall.config.routes import CallerLimits, RouteConfiguration
from gentianwall.runtime import leader_client
from gentianwall.runtime.leader_client import LeaderClient
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


def test_a_configuration_refused_by_the_disk_is_not_acknowledged(
    tmp_path, monkeypatch
):
    cluster = FullDiskCluster(tmp_path, monkeypatch, size=1, voters=1)
    monkeypatch.setattr(leader_client, "monotonic_ms", cluster.now_ms)
    cluster.advance(2.0)
    client = LeaderClient(cluster.runtimes["r0"])
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

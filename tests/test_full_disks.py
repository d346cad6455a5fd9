"""Tests that control instances go on once their disks have room again."""

from __future__ import annotations

import pytest

from harness.full_disks import (
    CAPACITY_BYTES,
    DOCUMENT_BYTES,
    THREAD_DELAY_S,
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

"""Tests that the journal recovers synced records and reports damage."""

from __future__ import annotations

import os
import pathlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentianwall.claims.commands import Noop
from gentianwall.claims.register import RegisterState
from gentianwall.claims.snapshot_codec import encode_register
from gentianwall.replication.effects import (
    StoreEntries,
    StoreSnapshot,
    StoreTerm,
)
from gentianwall.replication.messages import LogEntry, Snapshot
from gentianwall.replication.restore import PersistentState
from gentianwall.storage.journal import (
    Journal,
    JournalDamaged,
    JournalNotEmpty,
)


def _make_entry(index, term=1):
    return LogEntry(index, term, Noop())


@pytest.fixture
def journal(tmp_path):
    """A journal in a new folder."""
    journal = Journal(str(tmp_path / "data"))
    journal.recover()
    yield journal
    journal.close()


def _journal_file(tmp_path) -> pathlib.Path:
    return next((tmp_path / "data").glob("journal-*"))


def _reopen(tmp_path):
    return Journal(str(tmp_path / "data")).recover()


def _write_entries(journal, count):
    for index in range(1, count + 1):
        journal.store(
            [StoreEntries((_make_entry(index),))], PersistentState("d")
        )


def test_stored_term_vote_and_entries_are_recovered(journal, tmp_path):
    journal.store([StoreTerm(3, "r1")], PersistentState("d"))
    _write_entries(journal, 5)
    journal.store([StoreEntries((_make_entry(4, 2),))], PersistentState("d"))
    recovered = _reopen(tmp_path)
    assert (recovered.term, recovered.voted_for) == (3, "r1")
    assert [(e.index, e.term) for e in recovered.entries] == [
        (1, 1),
        (2, 1),
        (3, 1),
        (4, 2),
    ]


def test_the_disk_id_survives_a_restart(journal, tmp_path):
    assert _reopen(tmp_path).disk_id == _reopen(tmp_path).disk_id


@given(removed_bytes=st.integers(1, 90))
def test_a_torn_last_frame_is_truncated(removed_bytes, tmp_path_factory):
    tmp_path = tmp_path_factory.mktemp("torn")
    journal = Journal(str(tmp_path / "data"))
    journal.recover()
    _write_entries(journal, 3)
    intact_bytes = journal.size_bytes
    _write_entry(journal, 4)
    journal.close()
    last_bytes = journal.size_bytes - intact_bytes
    path = _journal_file(tmp_path)
    os.truncate(path, journal.size_bytes - min(removed_bytes, last_bytes))
    recovered = _reopen(tmp_path)
    assert len(recovered.entries) == 3
    assert path.stat().st_size == intact_bytes


def _write_entry(journal, index):
    journal.store([StoreEntries((_make_entry(index),))], PersistentState("d"))


@given(start=st.integers(0, 60), length=st.integers(2, 60), fill=st.binary())
def test_a_last_frame_with_torn_blocks_is_truncated(
    start, length, fill, tmp_path_factory
):
    """Overwrites a part of the last frame, as if blocks had not been written.

    A single flipped bit is reported as damage: a torn write does not cause it.
    """
    tmp_path = tmp_path_factory.mktemp("blocks")
    journal = Journal(str(tmp_path / "data"))
    journal.recover()
    _write_entries(journal, 3)
    intact_bytes = journal.size_bytes
    _write_entry(journal, 4)
    journal.close()
    path = _journal_file(tmp_path)
    data = bytearray(path.read_bytes())
    offset = intact_bytes + min(start, len(data) - intact_bytes - 1)
    end = min(offset + length, len(data))
    block = (fill + bytes(length))[: end - offset]
    flipped_bits = sum(
        (a ^ b).bit_count()
        for a, b in zip(data[offset:end], block, strict=True)
    )
    data[offset:end] = block
    path.write_bytes(data)
    recovered = _reopen(tmp_path)
    if flipped_bits == 0:
        assert len(recovered.entries) == 4
    elif flipped_bits == 1:
        assert isinstance(recovered, JournalDamaged)
    else:
        assert len(recovered.entries) == 3


def test_a_frame_refused_by_a_full_disk_is_written_once_there_is_room(
    journal, tmp_path, monkeypatch
):
    _write_entries(journal, 3)
    original_pwrite = os.pwrite

    def write_half(fd, data, offset):
        original_pwrite(fd, bytes(data)[: len(data) // 2], offset)
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "pwrite", write_half)
    with pytest.raises(OSError):
        _write_entry(journal, 4)
    monkeypatch.undo()
    _write_entry(journal, 4)
    _write_entry(journal, 5)
    assert [e.index for e in _reopen(tmp_path).entries] == [1, 2, 3, 4, 5]


def test_founding_members_write_the_same_first_snapshot(tmp_path):
    names = ("a", "b", "c")
    initial_states = [
        Journal(str(tmp_path / n)).bootstrap(n, names) for n in names
    ]
    assert len({state.snapshot.members for state in initial_states}) == 1
    disks = {m.disk_id for m in initial_states[0].snapshot.members}
    assert disks == {state.disk_id for state in initial_states}


def test_trailing_zero_bytes_are_truncated(journal, tmp_path):
    _write_entries(journal, 3)
    with open(_journal_file(tmp_path), "ab") as file:
        file.write(bytes(500))
    assert len(_reopen(tmp_path).entries) == 3


@given(offset=st.integers(0, 10_000), bit=st.integers(0, 7))
def test_a_flipped_bit_is_always_reported_as_damage(
    offset, bit, tmp_path_factory
):
    tmp_path = tmp_path_factory.mktemp("flip")
    journal = Journal(str(tmp_path / "data"))
    journal.recover()
    _write_entries(journal, 6)
    journal.close()
    path = _journal_file(tmp_path)
    data = bytearray(path.read_bytes())
    data[offset % len(data)] ^= 1 << bit
    path.write_bytes(data)
    recovered = _reopen(tmp_path)
    assert isinstance(recovered, JournalDamaged)
    assert str(path) in str(recovered)


def test_a_snapshot_replaces_the_entries_that_it_covers(journal, tmp_path):
    _write_entries(journal, 9)
    snapshot = Snapshot(8, 1, (), encode_register(RegisterState()))
    persistent_state = PersistentState("d", 1, "", snapshot, [_make_entry(9)])
    journal.store([StoreSnapshot(snapshot)], persistent_state)
    _write_entry(journal, 10)
    recovered = _reopen(tmp_path)
    assert recovered.snapshot == snapshot
    assert [e.index for e in recovered.entries] == [9, 10]
    later = Snapshot(10, 1, (), encode_register(RegisterState()))
    journal.store([StoreSnapshot(later)], PersistentState("d", 1, "", later))
    assert _reopen(tmp_path).snapshot == later
    names = sorted(p.name for p in (tmp_path / "data").iterdir())
    assert names == ["journal-00000003", "snapshot-000000000010"]


@pytest.mark.parametrize("is_missing", [True, False])
def test_a_missing_or_damaged_snapshot_is_reported_as_damage(
    is_missing, journal, tmp_path
):
    snapshot = Snapshot(8, 1, (), encode_register(RegisterState()))
    journal.store(
        [StoreSnapshot(snapshot)], PersistentState("d", 1, "", snapshot)
    )
    path = tmp_path / "data" / "snapshot-000000000008"
    if is_missing:
        path.unlink()
    else:
        path.write_bytes(path.read_bytes()[:-1] + b"!")
    assert isinstance(_reopen(tmp_path), JournalDamaged)


def test_a_crash_while_a_new_file_is_written_keeps_the_old_file(
    journal, tmp_path
):
    _write_entries(journal, 2)
    (tmp_path / "data" / "journal-00000002.new").write_bytes(b"half")
    assert len(_reopen(tmp_path).entries) == 2


def test_a_failed_write_raises_and_loses_no_stored_entry(
    journal, tmp_path, monkeypatch
):
    _write_entries(journal, 3)

    def fail_write(fd, data, offset):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "pwrite", fail_write)
    with pytest.raises(OSError):
        _write_entry(journal, 4)
    monkeypatch.undo()
    assert len(_reopen(tmp_path).entries) == 3


# A process that was killed before a sync left a frame in memory only. After its
# restart it acknowledged the frame, which a loss of power then removed.
@pytest.mark.parametrize(
    ("owner", "operation"), [(os, "fsync"), (Journal, "_sync_folder")]
)
def test_what_a_killed_process_wrote_is_synced_before_it_is_used(
    owner, operation, journal, tmp_path, monkeypatch
):
    _write_entries(journal, 2)
    snapshot = Snapshot(2, 1, (), encode_register(RegisterState()))
    entry = _make_entry(3)
    synced = set()

    def kill(*args):
        raise KeyboardInterrupt

    def record_sync(fd):
        synced.add(os.fstat(fd).st_ino)

    if owner is os:
        effects = [StoreEntries((entry,))]
    else:
        journal.write_snapshot(snapshot)
        effects = [StoreSnapshot(snapshot)]
    with monkeypatch.context() as killed, pytest.raises(KeyboardInterrupt):
        killed.setattr(owner, operation, kill)
        journal.store(effects, PersistentState("d", 1, "", snapshot, [entry]))
    monkeypatch.setattr(os, "fsync", record_sync)
    assert _reopen(tmp_path).entries[-1] == entry
    folder = tmp_path / "data"
    newest = max(folder.glob("journal-*"))
    assert {folder.stat().st_ino, newest.stat().st_ino} <= synced


# Each refused attempt left a file behind: they used up the disk for good.
@pytest.mark.parametrize(
    ("owner", "operation"),
    [
        (os, "pwrite"),
        (os, "fsync"),
        (os, "rename"),
        (Journal, "_sync_folder"),
    ],
)
def test_refused_snapshots_do_not_use_up_the_disk(
    owner, operation, journal, tmp_path, monkeypatch
):
    _write_entries(journal, 9)
    snapshot = Snapshot(8, 1, (), encode_register(RegisterState()))
    persistent_state = PersistentState("d", 1, "", snapshot, [_make_entry(9)])
    journal.write_snapshot(snapshot)

    def refuse(*args):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(owner, operation, refuse)
    names = []
    for _ in range(3):
        with pytest.raises(OSError):
            journal.store([StoreSnapshot(snapshot)], persistent_state)
        names.append(sorted(p.name for p in (tmp_path / "data").iterdir()))
    assert not [name for name in names[0] if name.endswith(".new")]
    assert names[0] == names[1] == names[2]
    monkeypatch.undo()
    journal.store([StoreSnapshot(snapshot)], persistent_state)
    _write_entry(journal, 10)
    assert len(list((tmp_path / "data").iterdir())) == 2
    recovered = _reopen(tmp_path)
    assert recovered.snapshot == snapshot
    assert [e.index for e in recovered.entries] == [9, 10]


# A snapshot that is refused is followed by one of a later state, so that its
# file would be left behind under another name.
def test_a_snapshot_whose_name_is_not_synced_is_removed(
    journal, tmp_path, monkeypatch
):
    _write_entries(journal, 9)
    files = sorted((tmp_path / "data").iterdir())

    def refuse(*args):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(Journal, "_sync_folder", refuse)
    with pytest.raises(OSError):
        journal.write_snapshot(
            Snapshot(8, 1, (), encode_register(RegisterState()))
        )
    assert sorted((tmp_path / "data").iterdir()) == files


def test_a_cluster_is_bootstrapped_only_once(tmp_path):
    folder = str(tmp_path / "data")
    assert not isinstance(Journal(folder).bootstrap("r"), JournalNotEmpty)
    assert isinstance(Journal(folder).bootstrap("r"), JournalNotEmpty)

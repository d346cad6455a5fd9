"""The journal keeps what was synced and refuses what was damaged."""

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


def _entry(index, term=1):
    return LogEntry(index, term, Noop())


@pytest.fixture
def journal(tmp_path):
    journal = Journal(str(tmp_path / "data"))
    journal.recover()
    yield journal
    journal.close()


def _file(tmp_path) -> pathlib.Path:
    return next((tmp_path / "data").glob("journal-*"))


def _reopen(tmp_path):
    return Journal(str(tmp_path / "data")).recover()


def _write(journal, count):
    for index in range(1, count + 1):
        journal.store([StoreEntries((_entry(index),))], PersistentState("d"))


def test_what_was_stored_comes_back(journal, tmp_path):
    journal.store([StoreTerm(3, "r1")], PersistentState("d"))
    _write(journal, 5)
    journal.store([StoreEntries((_entry(4, 2),))], PersistentState("d"))
    found = _reopen(tmp_path)
    assert (found.term, found.voted_for) == (3, "r1")
    assert [(e.index, e.term) for e in found.entries] == [
        (1, 1),
        (2, 1),
        (3, 1),
        (4, 2),
    ]


def test_the_disk_keeps_its_identity(journal, tmp_path):
    assert _reopen(tmp_path).disk_id == _reopen(tmp_path).disk_id


@given(cut=st.integers(1, 90))
def test_a_torn_tail_is_cut(cut, tmp_path_factory):
    tmp_path = tmp_path_factory.mktemp("torn")
    journal = Journal(str(tmp_path / "data"))
    journal.recover()
    _write(journal, 3)
    whole = journal.size_bytes
    _write_one(journal, 4)
    journal.close()
    last_bytes = journal.size_bytes - whole
    path = _file(tmp_path)
    os.truncate(path, journal.size_bytes - min(cut, last_bytes))
    found = _reopen(tmp_path)
    assert len(found.entries) == 3
    assert path.stat().st_size == whole


def _write_one(journal, index):
    journal.store([StoreEntries((_entry(index),))], PersistentState("d"))


@given(start=st.integers(0, 60), length=st.integers(2, 60), fill=st.binary())
def test_a_tail_with_torn_blocks_is_cut(start, length, fill, tmp_path_factory):
    tmp_path = tmp_path_factory.mktemp("blocks")
    journal = Journal(str(tmp_path / "data"))
    journal.recover()
    _write(journal, 3)
    whole = journal.size_bytes
    _write_one(journal, 4)
    journal.close()
    path = _file(tmp_path)
    data = bytearray(path.read_bytes())
    place = whole + min(start, len(data) - whole - 1)
    end = min(place + length, len(data))
    block = (fill + bytes(length))[: end - place]
    flips = sum(
        (a ^ b).bit_count() for a, b in zip(data[place:end], block, strict=True)
    )
    data[place:end] = block
    path.write_bytes(data)
    found = _reopen(tmp_path)
    if flips == 0:
        assert len(found.entries) == 4
    elif flips == 1:
        assert isinstance(found, JournalDamaged)
    else:
        assert len(found.entries) == 3


def test_a_full_disk_takes_the_same_frame_once_there_is_room(
    journal, tmp_path, monkeypatch
):
    _write(journal, 3)
    written = os.pwrite

    def half(fd, data, offset):
        written(fd, bytes(data)[: len(data) // 2], offset)
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "pwrite", half)
    with pytest.raises(OSError):
        _write_one(journal, 4)
    monkeypatch.undo()
    _write_one(journal, 4)
    _write_one(journal, 5)
    assert [e.index for e in _reopen(tmp_path).entries] == [1, 2, 3, 4, 5]


def test_founders_write_the_same_first_state(tmp_path):
    names = ("a", "b", "c")
    found = [Journal(str(tmp_path / n)).bootstrap(n, names) for n in names]
    assert len({f.snapshot.members for f in found}) == 1
    disks = {m.disk_id for m in found[0].snapshot.members}
    assert disks == {f.disk_id for f in found}


def test_a_tail_of_zeros_is_cut(journal, tmp_path):
    _write(journal, 3)
    with open(_file(tmp_path), "ab") as file:
        file.write(bytes(500))
    assert len(_reopen(tmp_path).entries) == 3


@given(place=st.integers(0, 10_000), bit=st.integers(0, 7))
def test_a_flipped_bit_is_never_passed_over(place, bit, tmp_path_factory):
    tmp_path = tmp_path_factory.mktemp("flip")
    journal = Journal(str(tmp_path / "data"))
    journal.recover()
    _write(journal, 6)
    journal.close()
    path = _file(tmp_path)
    data = bytearray(path.read_bytes())
    data[place % len(data)] ^= 1 << bit
    path.write_bytes(data)
    found = _reopen(tmp_path)
    assert isinstance(found, JournalDamaged)
    assert str(path) in str(found)


def test_a_snapshot_replaces_the_entries_before_it(journal, tmp_path):
    _write(journal, 9)
    snapshot = Snapshot(8, 1, (), encode_register(RegisterState()))
    kept = PersistentState("d", 1, "", snapshot, [_entry(9)])
    journal.store([StoreSnapshot(snapshot)], kept)
    _write_one(journal, 10)
    found = _reopen(tmp_path)
    assert found.snapshot == snapshot
    assert [e.index for e in found.entries] == [9, 10]
    later = Snapshot(10, 1, (), encode_register(RegisterState()))
    journal.store([StoreSnapshot(later)], PersistentState("d", 1, "", later))
    assert _reopen(tmp_path).snapshot == later
    names = sorted(p.name for p in (tmp_path / "data").iterdir())
    assert names == ["journal-00000003", "snapshot-000000000010"]


@pytest.mark.parametrize("is_gone", [True, False])
def test_a_damaged_snapshot_is_refused(is_gone, journal, tmp_path):
    snapshot = Snapshot(8, 1, (), encode_register(RegisterState()))
    journal.store(
        [StoreSnapshot(snapshot)], PersistentState("d", 1, "", snapshot)
    )
    path = tmp_path / "data" / "snapshot-000000000008"
    if is_gone:
        path.unlink()
    else:
        path.write_bytes(path.read_bytes()[:-1] + b"!")
    assert isinstance(_reopen(tmp_path), JournalDamaged)


def test_a_crash_while_a_new_file_is_written_keeps_the_old(journal, tmp_path):
    _write(journal, 2)
    (tmp_path / "data" / "journal-00000002.new").write_bytes(b"half")
    assert len(_reopen(tmp_path).entries) == 2


def test_a_failing_disk_raises_and_loses_nothing(
    journal, tmp_path, monkeypatch
):
    _write(journal, 3)

    def full(fd, data, offset):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "pwrite", full)
    with pytest.raises(OSError):
        _write_one(journal, 4)
    monkeypatch.undo()
    assert len(_reopen(tmp_path).entries) == 3


def test_a_cluster_is_founded_once(tmp_path):
    folder = str(tmp_path / "data")
    assert not isinstance(Journal(folder).bootstrap("r"), JournalNotEmpty)
    assert isinstance(Journal(folder).bootstrap("r"), JournalNotEmpty)

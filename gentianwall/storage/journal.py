"""On-disk journal of a replica: term, vote and log entries after a snapshot.

The snapshot is a separate file, because it is large and is written in a
thread while the replica keeps working. The journal refers to it by index and
checksum.

A frame is one synced batch of records: magic, payload length, CRC-32 of the
payload and CRC-32 of the header, followed by the encoded records. A frame is
written only after the previous one was synced, so only the last frame can be
torn by a crash. A torn frame was never acknowledged and is truncated. Two
kinds of damage in a journal stop the replica, because they may concern
acknowledged records: a damaged frame that is followed by an intact header, and
a last frame with exactly one flipped bit, which a torn write does not produce.

If the disk refuses a write, the size of the journal is not advanced: the next
frame is written at the same offset once the disk has space.
"""

from __future__ import annotations

import errno
import os
import pathlib
import re
import struct
import uuid
import zlib
from collections.abc import Iterator

import attrs

from gentianwall import codec
from gentianwall.claims.register import RegisterState
from gentianwall.claims.snapshot_codec import encode_register
from gentianwall.replication.effects import (
    StorageEffect,
    StoreEntries,
    StoreSnapshot,
    StoreTerm,
)
from gentianwall.replication.messages import Member, Snapshot
from gentianwall.replication.restore import PersistentState

MAGIC = b"GWJ1"
FRAME_HEADER = struct.Struct(">4sII")
HEADER_CRC = struct.Struct(">I")
HEADER_BYTES = FRAME_HEADER.size + HEADER_CRC.size
# Enough for a snapshot of about 170,000 claims of 380 bytes, the memory per
# claim that docs/CAPACITY.md gives.
FREE_SPACE_RESERVE_BYTES = 64 * 1024 * 1024
# Partly filled blocks of a snapshot, a journal file and their folder.
COMPACTION_OVERHEAD_BYTES = 16 * 1024


@attrs.frozen
class DiskIdentity:
    """Identifies the disk; the first record of every journal."""

    disk_id: str


@attrs.frozen
class SnapshotFile:
    """Refers to the snapshot that precedes the log entries of a journal."""

    index: int
    crc32: int


JournalRecord = DiskIdentity | StoreTerm | StoreEntries | SnapshotFile
codec.register_union(JournalRecord)


@attrs.frozen
class RefusedSnapshot:
    """A snapshot that the disk refused.

    Attributes:
        size_bytes: Its size.
        journal_bytes: Size of the journal at that time. Entries appended since
            are in the next snapshot or are copied behind it.
    """

    size_bytes: int
    journal_bytes: int


@attrs.frozen
class JournalDamaged:
    """A journal or snapshot file that is damaged or missing.

    Attributes:
        file: The damaged file.
        offset: Byte offset of the first damaged frame; 0 for a snapshot.
        advice: Action for the operator, part of the error message.
    """

    file: str
    offset: int
    advice: str = (
        "move the data folder away and restart: the replica joins with "
        "an empty disk once the other replicas admit it"
    )

    def __str__(self) -> str:
        return f"{self.file} is damaged at byte {self.offset}; {self.advice}"


@attrs.frozen
class JournalNotEmpty:
    """Refusal to bootstrap a cluster in a folder that contains a journal."""

    folder: str

    def __str__(self) -> str:
        return f"{self.folder} already has a journal; cannot bootstrap there"


class Journal:
    """Reads and writes the journal of one data folder.

    The file with the highest number is the valid one. Each snapshot starts a
    new file, which is written and synced under a temporary name and then
    renamed, so that after a crash either the old or the new file is complete.
    """

    def __init__(self, folder: str):
        self._folder = pathlib.Path(folder)
        self._file_number = 0
        self._snapshot_crcs: dict[int, int] = {}
        self._refused_snapshot: RefusedSnapshot | None = None
        self._fd = -1
        self.size_bytes = 0

    def close(self) -> None:
        """Closes the journal file, if it is open."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def has_space(self, reserve_bytes: int) -> bool:
        """Returns whether more than a reserve is free; 0 skips the check."""
        return reserve_bytes == 0 or self._free_bytes() > reserve_bytes

    def _free_bytes(self) -> int:
        stat = os.statvfs(self._folder)
        return stat.f_bavail * stat.f_frsize

    def recover(self) -> PersistentState | JournalDamaged:
        """Reads the stored state, or assigns a disk id to an empty folder.

        What was read is synced, since the process may have been killed before
        it had synced it, and others will rely on it.

        Raises:
            OSError: The disk is full or failing.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        files = self._list_journal_files()
        for temporary in self._folder.glob("*.new"):
            temporary.unlink()
        if not files:
            persistent_state = PersistentState(disk_id=uuid.uuid4().hex)
            self._write_new_file(persistent_state)
            return persistent_state
        self._file_number, path = files[-1]
        persistent_state = self._read_journal(path)
        self._sync_folder()
        return persistent_state

    def rename_damaged_files(self) -> None:
        """Prefixes all files with `damaged-`, so the folder counts as empty."""
        self.close()
        for pattern in ("journal-*", "snapshot-*"):
            for path in self._folder.glob(pattern):
                path.rename(path.with_name(f"damaged-{path.name}"))
        self._sync_folder()

    def bootstrap(
        self, replica: str, founding_members: tuple[str, ...] = ()
    ) -> PersistentState | JournalNotEmpty:
        """Bootstraps a cluster in an empty folder.

        Args:
            replica: Name of this replica.
            founding_members: Names of all founding members, this replica
                included. Each of them writes the same initial state, and a
                majority must have it before an entry can be committed. If
                empty, this replica is the only member and others join later.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        if self._list_journal_files():
            return JournalNotEmpty(str(self._folder))
        if founding_members:
            members = tuple(
                Member(m, _founding_member_disk_id(m)) for m in founding_members
            )
            disk_id = _founding_member_disk_id(replica)
        else:
            disk_id = uuid.uuid4().hex
            members = (Member(replica, disk_id),)
        persistent_state = PersistentState(
            disk_id=disk_id,
            term=1,
            snapshot=Snapshot(
                index=1,
                term=1,
                members=members,
                state=encode_register(RegisterState()),
            ),
        )
        self._write_new_file(persistent_state)
        return persistent_state

    def store(
        self, effects: list[StorageEffect], full_state: PersistentState
    ) -> None:
        """Writes and syncs one batch.

        Args:
            effects: Storage effects of the batch, in order.
            full_state: The complete state after the batch; it is written to a
                new journal file if the batch contains a snapshot.

        Raises:
            OSError: The disk is full or failing. The messages that depend on
                this batch must not be sent.
        """
        if not effects:
            return
        if any(isinstance(e, StoreSnapshot) for e in effects):
            self._write_new_file(full_state)
            return
        self._append_frame(self._fd, list(effects))

    def write_snapshot(self, snapshot: Snapshot) -> None:
        """Writes and syncs a snapshot file; may run in a thread.

        Raises:
            OSError: The disk is full or failing.
        """
        payload = codec.pack(snapshot, Snapshot)
        path = self._snapshot_path(snapshot.index)
        try:
            os.close(self._write_file(path, payload))
        except OSError:
            # It may have its name already, and the next one has another.
            path.unlink(missing_ok=True)
            self._refused_snapshot = RefusedSnapshot(
                len(payload), self.size_bytes
            )
            raise
        self._refused_snapshot = None
        self._snapshot_crcs[snapshot.index] = zlib.crc32(payload)

    def _snapshot_path(self, index: int) -> pathlib.Path:
        return self._folder / f"snapshot-{index:012d}"

    def _list_journal_files(self) -> list[tuple[int, pathlib.Path]]:
        files = []
        for path in self._folder.glob("journal-*"):
            match = re.fullmatch(r"journal-(\d+)", path.name)
            if match:
                files.append((int(match.group(1)), path))
        return sorted(files)

    def _write_new_file(self, full_state: PersistentState) -> None:
        files = self._list_journal_files()
        obsolete = [path for n, path in files if n <= self._file_number]
        if full_state.snapshot is not None:
            if full_state.snapshot.index not in self._snapshot_crcs:
                self.write_snapshot(full_state.snapshot)
            obsolete += self._find_older_snapshots(full_state.snapshot.index)
        number = self._file_number + 1
        frame = _encode_frame(self._make_records(full_state))
        fd = self._write_file(self._folder / f"journal-{number:08d}", frame)
        self.close()
        self._file_number = number
        self._fd = fd
        self.size_bytes = len(frame)
        for stale_path in obsolete:
            stale_path.unlink()

    def _write_file(self, path: pathlib.Path, data: bytes) -> int:
        """Writes and syncs a file under a temporary name and renames it.

        If the disk refuses that, it removes the temporary file, which would
        take up space that the journal needs.

        Returns:
            The descriptor of the file.

        Raises:
            OSError: The disk is full or failing.
        """
        temporary = path.with_suffix(".new")
        fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            _write_all(fd, data, 0)
            os.rename(temporary, path)
            self._sync_folder()
        except OSError:
            os.close(fd)
            temporary.unlink(missing_ok=True)
            raise
        return fd

    def _find_older_snapshots(self, index: int) -> list[pathlib.Path]:
        current = self._snapshot_path(index)
        return [p for p in self._folder.glob("snapshot-*") if p < current]

    def _make_records(self, full_state: PersistentState) -> list[JournalRecord]:
        records: list[JournalRecord] = [DiskIdentity(full_state.disk_id)]
        records.append(StoreTerm(full_state.term, full_state.voted_for))
        if full_state.snapshot is not None:
            index = full_state.snapshot.index
            records.append(SnapshotFile(index, self._snapshot_crcs[index]))
        if full_state.entries:
            records.append(StoreEntries(tuple(full_state.entries)))
        return records

    def _append_frame(self, fd: int, records: list[JournalRecord]) -> None:
        frame = _encode_frame(records)
        self._check_compaction_room(len(frame))
        _write_all(fd, frame, self.size_bytes)
        self.size_bytes += len(frame)

    def _check_compaction_room(self, frame_bytes: int) -> None:
        """Keeps room to compact the journal after a refused snapshot.

        A journal that takes the last room of its disk could never be compacted.

        Raises:
            OSError: A frame of this size would take that room.
        """
        refused = self._refused_snapshot
        if refused is None:
            return
        added_bytes = self.size_bytes + frame_bytes - refused.journal_bytes
        needed_bytes = (
            refused.size_bytes + 2 * added_bytes + COMPACTION_OVERHEAD_BYTES
        )
        if self._free_bytes() < frame_bytes + needed_bytes:
            raise OSError(errno.ENOSPC, "The room left is for a snapshot")

    def _sync_folder(self) -> None:
        fd = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def _read_journal(
        self, path: pathlib.Path
    ) -> PersistentState | JournalDamaged:
        data = path.read_bytes()
        persistent_state: PersistentState | None = None
        end = 0
        for offset, payload in _iter_frames(data):
            if payload is None:
                return JournalDamaged(str(path), offset)
            records = codec.unpack(payload, list[JournalRecord])
            if isinstance(records, codec.Malformed):
                return JournalDamaged(str(path), offset)
            for record in records:
                persistent_state = self._apply_record(persistent_state, record)
                if isinstance(persistent_state, JournalDamaged):
                    return persistent_state
            end = offset + HEADER_BYTES + len(payload)
        if persistent_state is None:
            return JournalDamaged(str(path), 0)
        self._fd = os.open(path, os.O_WRONLY)
        if end < len(data):
            os.ftruncate(self._fd, end)
        os.fsync(self._fd)
        self.size_bytes = end
        return persistent_state

    def _apply_record(
        self, persistent_state: PersistentState | None, record: JournalRecord
    ) -> PersistentState | JournalDamaged | None:
        match record:
            case DiskIdentity():
                return PersistentState(disk_id=record.disk_id)
            case _ if persistent_state is None:
                return None
            case StoreTerm():
                persistent_state.term = record.term
                persistent_state.voted_for = record.voted_for
            case SnapshotFile():
                snapshot = self._read_snapshot(record)
                if isinstance(snapshot, JournalDamaged):
                    return snapshot
                persistent_state.snapshot = snapshot
                persistent_state.entries.clear()
            case StoreEntries():
                _apply_entries(persistent_state, record)
        return persistent_state

    def _read_snapshot(self, record: SnapshotFile) -> Snapshot | JournalDamaged:
        path = self._snapshot_path(record.index)
        try:
            payload = path.read_bytes()
        except FileNotFoundError:
            return JournalDamaged(str(path), 0)
        if zlib.crc32(payload) != record.crc32:
            return JournalDamaged(str(path), 0)
        snapshot = codec.unpack(payload, Snapshot)
        if isinstance(snapshot, codec.Malformed):
            return JournalDamaged(str(path), 0)
        self._snapshot_crcs[record.index] = record.crc32
        return snapshot


def _founding_member_disk_id(replica: str) -> str:
    """Derives the disk id of a founding member from its name.

    All founding members thus write the same member list.
    """
    return f"founder-{replica}"


def _write_all(fd: int, data: bytes, offset: int) -> None:
    """Writes all data at an offset, also after short writes, and syncs it."""
    view = memoryview(data)
    while view:
        written = os.pwrite(fd, view, offset)
        offset += written
        view = view[written:]
    os.fsync(fd)


def _encode_frame(records: list[JournalRecord]) -> bytes:
    payload = codec.pack(records, list[JournalRecord])
    header = FRAME_HEADER.pack(MAGIC, len(payload), zlib.crc32(payload))
    return header + HEADER_CRC.pack(zlib.crc32(header)) + payload


def _is_single_bit_error(data: bytes, checksum: int) -> bool:
    """Returns whether one flipped bit explains a checksum mismatch.

    CRC-32 is linear, so a flipped bit changes the checksum by a difference
    that depends only on its distance from the end. The loop compares the
    differences of all bits, from the last byte to the first.
    """
    difference = zlib.crc32(data) ^ checksum
    if difference.bit_count() == 1:
        return True  # The flipped bit is in the checksum itself.
    crc_of_zero = zlib.crc32(b"\0")
    crc_table = [zlib.crc32(bytes((i,))) ^ crc_of_zero for i in range(256)]
    bit_differences = [crc_table[1 << bit] for bit in range(8)]
    for _ in data:
        if difference in bit_differences:
            return True
        bit_differences = [
            (bit >> 8) ^ crc_table[bit & 0xFF] for bit in bit_differences
        ]
    return False


def _has_frame_after(data: bytes, offset: int) -> bool:
    """Returns whether a frame with an intact header begins after an offset."""
    position = data.find(MAGIC, offset + 1)
    while 0 <= position <= len(data) - HEADER_BYTES:
        header = data[position : position + FRAME_HEADER.size]
        (header_crc,) = HEADER_CRC.unpack_from(
            data, position + FRAME_HEADER.size
        )
        if zlib.crc32(header) == header_crc:
            return True
        position = data.find(MAGIC, position + 1)
    return False


def _iter_frames(data: bytes) -> Iterator[tuple[int, bytes | None]]:
    """Yields offset and payload of each frame.

    The payload is None for a damaged frame, which is the last one yielded.
    Ends before a torn frame, which is not yielded.
    """
    offset = 0
    while offset < len(data):
        start = offset + HEADER_BYTES
        if start > len(data):
            return
        magic, length, checksum = FRAME_HEADER.unpack_from(data, offset)
        (header_crc,) = HEADER_CRC.unpack_from(data, offset + FRAME_HEADER.size)
        header = data[offset : offset + FRAME_HEADER.size]
        if magic != MAGIC or zlib.crc32(header) != header_crc:
            is_bit_flipped = _is_single_bit_error(header, header_crc)
            if is_bit_flipped or _has_frame_after(data, offset):
                yield offset, None
            return
        payload = data[start : start + length]
        if len(payload) < length:
            return
        if zlib.crc32(payload) != checksum:
            is_bit_flipped = _is_single_bit_error(payload, checksum)
            if is_bit_flipped or _has_frame_after(data, start):
                yield offset, None
            return
        yield offset, payload
        offset = start + length


def _apply_entries(
    persistent_state: PersistentState, record: StoreEntries
) -> None:
    first = record.entries[0].index
    while (
        persistent_state.entries and persistent_state.entries[-1].index >= first
    ):
        persistent_state.entries.pop()
    persistent_state.entries.extend(record.entries)

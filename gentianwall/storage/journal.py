"""The journal: a file with the term and the log after a snapshot.

The snapshot lies in a file of its own, which the journal names with its
checksum: it is large, and is written beside other work.

A frame is one synced batch of records: magic, length, CRC-32 of the payload
and CRC-32 of the header, then the records packed together. Since a frame is
written only after the one before it was synced, a torn frame can only be the
last one: it was never acknowledged and is cut. A damaged frame with a whole
one behind it stops the replica, because it held records that were
acknowledged; so does a last frame of which one bit flipped, since a torn write
does not look like that.

A disk that refuses a write leaves the journal as it was: the frame is written
again at the same place once there is room.
"""

from __future__ import annotations

import os
import pathlib
import re
import struct
import uuid
import zlib
from collections.abc import Iterator

import attrs

from gentianwall import codec
from gentianwall.claims.image import encode_register
from gentianwall.claims.register import RegisterState
from gentianwall.replication.effects import (
    StorageEffect,
    StoreEntries,
    StoreSnapshot,
    StoreTerm,
)
from gentianwall.replication.messages import Member, Snapshot
from gentianwall.replication.restore import Recovered

MAGIC = b"GWJ1"
FRAME = struct.Struct(">4sII")
HEADER_CHECK = struct.Struct(">I")
HEADER_BYTES = FRAME.size + HEADER_CHECK.size
# Room for a snapshot of some 170,000 claims at the 380 bytes each that
# docs/CAPACITY.md gives for memory.
FREE_SPACE_RESERVE_BYTES = 64 * 1024 * 1024


@attrs.frozen
class DiskIdentity:
    """First record of every journal."""

    disk_id: str


@attrs.frozen
class SnapshotFile:
    """Names the snapshot that the log goes on from."""

    index: int
    crc32: int


JournalRecord = DiskIdentity | StoreTerm | StoreEntries | SnapshotFile
codec.register_union(JournalRecord)


@attrs.frozen
class JournalDamaged:
    """The journal cannot be trusted.

    Attributes:
        file: The damaged file.
        offset: Byte offset of the first damaged frame.
        advice: What the operator can do.
    """

    file: str
    offset: int
    advice: str = (
        "move the data folder away and start again: the replica joins with "
        "an empty disk once the others admit it"
    )

    def __str__(self) -> str:
        return f"{self.file} is damaged at byte {self.offset}; {self.advice}"


@attrs.frozen
class JournalNotEmpty:
    """A cluster was founded here before."""

    folder: str

    def __str__(self) -> str:
        return f"{self.folder} already holds state; a cluster is founded once"


class Journal:
    """Keeps the journal of one data folder.

    The newest file counts. A snapshot starts a new file, which takes its
    name only once it is synced, so that a crash leaves either file whole.
    """

    def __init__(self, folder: str):
        self._folder = pathlib.Path(folder)
        self._number = 0
        self._snapshot_crcs: dict[int, int] = {}
        self._fd = -1
        self.size_bytes = 0

    def close(self) -> None:
        """Closes the file."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def has_space(self, reserve_bytes: int) -> bool:
        """Whether the disk still has room beyond a reserve."""
        if reserve_bytes == 0:
            return True
        stat = os.statvfs(self._folder)
        return stat.f_bavail * stat.f_frsize > reserve_bytes

    def recover(self) -> Recovered | JournalDamaged:
        """Reads the state back, or gives an empty disk a new identity."""
        self._folder.mkdir(parents=True, exist_ok=True)
        files = self._files()
        for leftover in self._folder.glob("*.new"):
            leftover.unlink()
        if not files:
            recovered = Recovered(disk_id=uuid.uuid4().hex)
            self._start_file(recovered)
            return recovered
        self._number, path = files[-1]
        return self._read(path)

    def set_aside(self) -> None:
        """Renames what is damaged, so that the folder counts as empty."""
        self.close()
        for pattern in ("journal-*", "snapshot-*"):
            for path in self._folder.glob(pattern):
                path.rename(path.with_name(f"damaged-{path.name}"))
        self._sync_folder()

    def found(
        self, replica: str, founders: tuple[str, ...] = ()
    ) -> Recovered | JournalNotEmpty:
        """Founds a cluster in an empty folder.

        Args:
            replica: Name of this replica.
            founders: All that found it together, this one included; each
                writes the same first state, and a majority of them must have
                it before anything is decided. Without them, the cluster has
                one member and the others join it.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        if self._files():
            return JournalNotEmpty(str(self._folder))
        if founders:
            members = tuple(Member(f, _founding_disk_id(f)) for f in founders)
            disk_id = _founding_disk_id(replica)
        else:
            disk_id = uuid.uuid4().hex
            members = (Member(replica, disk_id),)
        recovered = Recovered(
            disk_id=disk_id,
            term=1,
            snapshot=Snapshot(
                index=1,
                term=1,
                members=members,
                state=encode_register(RegisterState()),
            ),
        )
        self._start_file(recovered)
        return recovered

    def store(self, effects: list[StorageEffect], kept: Recovered) -> None:
        """Writes and syncs one batch.

        Args:
            effects: What to keep, in order.
            kept: The whole state after the batch, for a new file.

        Raises:
            OSError: The disk is full or failing; nothing may be sent.
        """
        if not effects:
            return
        if any(isinstance(e, StoreSnapshot) for e in effects):
            self._start_file(kept)
            return
        self._write(self._fd, list(effects))

    def write_snapshot(self, snapshot: Snapshot) -> None:
        """Writes and syncs the file of a snapshot; may run in a thread.

        Raises:
            OSError: The disk is full or failing.
        """
        path = self._snapshot_path(snapshot.index)
        payload = codec.pack(snapshot, Snapshot)
        new = path.with_suffix(".new")
        fd = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            _write_all(fd, payload, 0)
        finally:
            os.close(fd)
        os.rename(new, path)
        self._sync_folder()
        self._snapshot_crcs[snapshot.index] = zlib.crc32(payload)

    def _snapshot_path(self, index: int) -> pathlib.Path:
        return self._folder / f"snapshot-{index:012d}"

    def _files(self) -> list[tuple[int, pathlib.Path]]:
        found = []
        for path in self._folder.glob("journal-*"):
            match = re.fullmatch(r"journal-(\d+)", path.name)
            if match:
                found.append((int(match.group(1)), path))
        return sorted(found)

    def _start_file(self, kept: Recovered) -> None:
        old = [path for _, path in self._files()]
        if kept.snapshot is not None:
            if kept.snapshot.index not in self._snapshot_crcs:
                self.write_snapshot(kept.snapshot)
            old += self._older_snapshots(kept.snapshot.index)
        self._number += 1
        path = self._folder / f"journal-{self._number:08d}"
        new = path.with_suffix(".new")
        fd = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            frame = _frame(self._records_of(kept))
            _write_all(fd, frame, 0)
            os.rename(new, path)
            self._sync_folder()
        except OSError:
            os.close(fd)
            raise
        self.close()
        self._fd = fd
        self.size_bytes = len(frame)
        for stale in old:
            stale.unlink()

    def _older_snapshots(self, index: int) -> list[pathlib.Path]:
        own = self._snapshot_path(index)
        return [p for p in self._folder.glob("snapshot-*") if p < own]

    def _records_of(self, kept: Recovered) -> list[JournalRecord]:
        records: list[JournalRecord] = [DiskIdentity(kept.disk_id)]
        records.append(StoreTerm(kept.term, kept.voted_for))
        if kept.snapshot is not None:
            index = kept.snapshot.index
            records.append(SnapshotFile(index, self._snapshot_crcs[index]))
        if kept.entries:
            records.append(StoreEntries(tuple(kept.entries)))
        return records

    def _write(self, fd: int, records: list[JournalRecord]) -> None:
        frame = _frame(records)
        _write_all(fd, frame, self.size_bytes)
        self.size_bytes += len(frame)

    def _sync_folder(self) -> None:
        fd = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def _read(self, path: pathlib.Path) -> Recovered | JournalDamaged:
        data = path.read_bytes()
        recovered: Recovered | None = None
        end = 0
        for offset, payload in _frames(data):
            if payload is None:
                return JournalDamaged(str(path), offset)
            records = codec.unpack(payload, list[JournalRecord])
            if isinstance(records, codec.Malformed):
                return JournalDamaged(str(path), offset)
            for record in records:
                recovered = self._replay(recovered, record)
                if isinstance(recovered, JournalDamaged):
                    return recovered
            end = offset + HEADER_BYTES + len(payload)
        if recovered is None:
            return JournalDamaged(str(path), 0)
        self._fd = os.open(path, os.O_WRONLY)
        if end < len(data):
            os.ftruncate(self._fd, end)
            os.fsync(self._fd)
        self.size_bytes = end
        return recovered

    def _replay(
        self, recovered: Recovered | None, record: JournalRecord
    ) -> Recovered | JournalDamaged | None:
        match record:
            case DiskIdentity():
                return Recovered(disk_id=record.disk_id)
            case _ if recovered is None:
                return None
            case StoreTerm():
                recovered.term = record.term
                recovered.voted_for = record.voted_for
            case SnapshotFile():
                snapshot = self._read_snapshot(record)
                if isinstance(snapshot, JournalDamaged):
                    return snapshot
                recovered.snapshot = snapshot
                recovered.entries.clear()
            case StoreEntries():
                _replay_entries(recovered, record)
        return recovered

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


def _founding_disk_id(replica: str) -> str:
    """Names the disk of a founder, so that all founders agree on it."""
    return f"founder-{replica}"


def _write_all(fd: int, data: bytes, offset: int) -> None:
    """Writes all of the data at an offset and syncs it."""
    view = memoryview(data)
    while view:
        written = os.pwrite(fd, view, offset)
        offset += written
        view = view[written:]
    os.fsync(fd)


def _frame(records: list[JournalRecord]) -> bytes:
    payload = codec.pack(records, list[JournalRecord])
    header = FRAME.pack(MAGIC, len(payload), zlib.crc32(payload))
    return header + HEADER_CHECK.pack(zlib.crc32(header)) + payload


def _is_one_bit_off(data: bytes, checksum: int) -> bool:
    """Whether one flipped bit explains that a checksum does not match.

    CRC-32 is linear, so each bit has a difference of its own; the walk goes
    from the last byte to the first.
    """
    difference = zlib.crc32(data) ^ checksum
    if difference.bit_count() == 1:
        return True  # The checksum itself was hit.
    of_zero = zlib.crc32(b"\0")
    steps = [zlib.crc32(bytes((i,))) ^ of_zero for i in range(256)]
    bits = [steps[1 << bit] for bit in range(8)]
    for _ in data:
        if difference in bits:
            return True
        bits = [(bit >> 8) ^ steps[bit & 0xFF] for bit in bits]
    return False


def _has_frame_after(data: bytes, offset: int) -> bool:
    """Whether a frame with a sound header begins after an offset."""
    place = data.find(MAGIC, offset + 1)
    while 0 <= place <= len(data) - HEADER_BYTES:
        header = data[place : place + FRAME.size]
        (check,) = HEADER_CHECK.unpack_from(data, place + FRAME.size)
        if zlib.crc32(header) == check:
            return True
        place = data.find(MAGIC, place + 1)
    return False


def _frames(data: bytes) -> Iterator[tuple[int, bytes | None]]:
    """Yields offset and payload of each frame; None marks damage.

    Stops without a mark before a torn tail.
    """
    offset = 0
    while offset < len(data):
        start = offset + HEADER_BYTES
        if start > len(data):
            return
        magic, length, checksum = FRAME.unpack_from(data, offset)
        (header_check,) = HEADER_CHECK.unpack_from(data, offset + FRAME.size)
        header = data[offset : offset + FRAME.size]
        if magic != MAGIC or zlib.crc32(header) != header_check:
            is_rotten = _is_one_bit_off(header, header_check)
            if is_rotten or _has_frame_after(data, offset):
                yield offset, None
            return
        payload = data[start : start + length]
        if len(payload) < length:
            return
        if zlib.crc32(payload) != checksum:
            is_rotten = _is_one_bit_off(payload, checksum)
            if is_rotten or _has_frame_after(data, start):
                yield offset, None
            return
        yield offset, payload
        offset = start + length


def _replay_entries(recovered: Recovered, record: StoreEntries) -> None:
    first = record.entries[0].index
    while recovered.entries and recovered.entries[-1].index >= first:
        recovered.entries.pop()
    recovered.entries.extend(record.entries)

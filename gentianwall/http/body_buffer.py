"""Keeps a body while it is received, without fragmenting the heap.

Load pattern: hundreds of bodies grow side by side. On the heap each of them is
moved again and again as it grows, and leaves gaps that are too small for the
others: the process takes a third more memory than the bodies have bytes.
"""

from __future__ import annotations

import contextlib
import io
import mmap

# Smaller bodies are kept on the heap. A mapping takes whole pages and two calls
# of the kernel.
HEAP_BYTES = 16 * 1024
# Part of a mapping that is copied and freed at a time; a multiple of a page.
MOVED_PART_BYTES = 64 * 1024


class BodyBuffer:
    """Bytes of one body, in a mapping of their own if there are many.

    A mapping takes memory only for the pages that were written. It grows
    without a copy and is returned to the system when it is closed.
    """

    def __init__(self):
        self._file: io.BytesIO | mmap.mmap = io.BytesIO()
        self._capacity_bytes = HEAP_BYTES
        self._size_bytes = 0

    def write(self, data: bytes) -> None:
        """Appends bytes."""
        self._size_bytes += len(data)
        if self._size_bytes > self._capacity_bytes:
            self._grow()
        self._file.write(data)

    def take(self) -> bytes:
        """Returns the whole body and keeps nothing of it."""
        if isinstance(self._file, mmap.mmap):
            return self._move()
        body = self._file.getvalue()
        self.close()
        return body

    def close(self) -> None:
        """Frees the memory; nothing may be written afterwards."""
        self._file.close()

    def _grow(self) -> None:
        self._capacity_bytes = 1 << (self._size_bytes - 1).bit_length()
        if isinstance(self._file, mmap.mmap):
            self._file.resize(self._capacity_bytes)
            return
        mapping = mmap.mmap(
            -1,
            self._capacity_bytes,
            flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS,
        )
        # Kernels without huge pages refuse the advice.
        with contextlib.suppress(OSError):
            mapping.madvise(mmap.MADV_NOHUGEPAGE)
        mapping.write(self._file.getvalue())
        self._file.close()
        self._file = mapping

    def _move(self) -> bytes:
        """Returns the body; frees each part of the mapping once it is copied.

        A copy of the whole would take the memory of a second body.
        """
        body = io.BytesIO()
        for start in range(0, self._size_bytes, MOVED_PART_BYTES):
            part_bytes = min(MOVED_PART_BYTES, self._size_bytes - start)
            body.write(self._file[start : start + part_bytes])
            self._file.madvise(mmap.MADV_DONTNEED, start, part_bytes)
        self.close()
        return body.getvalue()

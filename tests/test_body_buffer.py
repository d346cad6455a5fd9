"""Tests of the buffer of a body that is being received."""

from __future__ import annotations

import mmap

import pytest

from gentianwall.http.body_buffer import HEAP_BYTES, BodyBuffer


@pytest.mark.parametrize(
    "sizes",
    [
        [],
        [1],
        [HEAP_BYTES],
        [HEAP_BYTES, 1],
        [1] * 40_000,
        [HEAP_BYTES + 1, mmap.PAGESIZE, 700_000, 3],
    ],
)
def test_a_body_is_returned_as_it_was_written(sizes):
    buffer = BodyBuffer()
    expected = b""
    for number, size in enumerate(sizes):
        piece = bytes([number % 251]) * size
        expected += piece
        buffer.write(piece)
    assert buffer.take() == expected

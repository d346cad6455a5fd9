"""UUIDs of version 7, which contain their creation time (RFC 9562)."""

from __future__ import annotations

import random
import uuid

UUID7_VERSION = 7


def uuid7_time_ms(text: str) -> int | None:
    """Returns the time of a UUID of version 7, in ms since the Unix epoch.

    Returns:
        The time, or None if the text is not a UUID of version 7.
    """
    try:
        value = uuid.UUID(text)
    except ValueError:
        return None
    if value.version != UUID7_VERSION:
        return None
    return value.int >> 80


def make_uuid7(now_ms: int, rng: random.Random) -> str:
    """Generates a UUID of version 7."""
    value = (now_ms & (1 << 48) - 1) << 80
    value |= UUID7_VERSION << 76
    value |= rng.getrandbits(12) << 64
    value |= 0b10 << 62
    value |= rng.getrandbits(62)
    return str(uuid.UUID(int=value))

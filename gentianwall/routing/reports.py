"""Reports of servers about their load, speed and rate limit."""

from __future__ import annotations

import math

import attrs


@attrs.frozen
class SpeedReport:
    """Load and speed of a server at the time of an answer.

    Attributes:
        running: Number of requests that the server is running.
        waiting: Number of requests waiting at the server.
        slots: Number of requests that the server can run concurrently.
        slowness: Ratio of the current to the typical service time; 1 if equal.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


def parse_speed_report(text: str) -> SpeedReport | None:
    """Parses `running,waiting,slots[,percent]`; returns None if malformed.

    `percent` is the slowness in percent.
    """
    try:
        numbers = [float(part) for part in text.split(",")]
    except ValueError:
        return None
    if len(numbers) < 3 or min(numbers) < 0 or numbers[2] < 1:
        return None
    slowness = numbers[3] / 100.0 if len(numbers) > 3 else 1.0
    return SpeedReport(
        int(numbers[0]), int(numbers[1]), int(numbers[2]), max(slowness, 0.01)
    )


def parse_rate_limit(text: str) -> float | None:
    """Parses a number of requests a second; returns None if malformed."""
    try:
        per_second = float(text)
    except ValueError:
        return None
    is_valid = math.isfinite(per_second) and per_second >= 0
    return per_second if is_valid else None

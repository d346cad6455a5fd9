"""Reports of servers about their load, speed, rate limit and rest."""

from __future__ import annotations

import math

import attrs

# Far above what a server can hold, or how slow it can be in percent.
MAX_REPORTED_NUMBER = 1_000_000
# Far above any warm-up; a longer one is taken for a wrong unit.
MAX_WARMUP_MS = 3_600_000


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

    `percent` is the slowness in percent. `float` also reads numbers that are
    infinite, or none.
    """
    try:
        numbers = [float(part) for part in text.split(",")]
    except ValueError:
        return None
    if not all(0 <= number <= MAX_REPORTED_NUMBER for number in numbers):
        return None
    if len(numbers) < 3 or numbers[2] < 1:
        return None
    slowness = numbers[3] / 100.0 if len(numbers) > 3 else 1.0
    return SpeedReport(
        int(numbers[0]), int(numbers[1]), int(numbers[2]), max(slowness, 0.01)
    )


def parse_rest_ms(text: str) -> float:
    """Parses the seconds of a `Retry-After`; returns 0 ms if malformed.

    The other form of the header, a date, is not used by servers.
    """
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    return 1000.0 * max(0.0, seconds) if math.isfinite(seconds) else 0.0


def parse_warmup_ms(text: str) -> float | None:
    """Parses a remaining warm-up time; returns None if malformed."""
    try:
        warmup_ms = float(text)
    except ValueError:
        return None
    return warmup_ms if 0.0 <= warmup_ms <= MAX_WARMUP_MS else None


def parse_rate_limit(text: str) -> float | None:
    """Parses a number of requests a second; returns None if malformed."""
    try:
        per_second = float(text)
    except ValueError:
        return None
    is_valid = math.isfinite(per_second) and per_second >= 0
    return per_second if is_valid else None

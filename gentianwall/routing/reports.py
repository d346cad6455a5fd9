"""What a server tells of its load and speed."""

from __future__ import annotations

import attrs


@attrs.frozen
class SpeedReport:
    """Load of a server as it was when it answered.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait there.
        slots: Requests that it can run at once.
        slowness: How long work takes there now; 1 is usual.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


def parse_speed_report(text: str) -> SpeedReport | None:
    """Reads `running,waiting,slots[,percent]`; None when it is not that."""
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

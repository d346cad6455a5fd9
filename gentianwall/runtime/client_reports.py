"""Counts and logs clients that are refused or closed for their behaviour.

Load pattern: thousands of connections a second are refused. Each of them counts
in the metrics; the log has one line a second for each port and reason.
"""

from __future__ import annotations

from collections.abc import Callable

from gentianwall.http.channel import Misuse, MisuseReport
from gentianwall.http.client_budget import ClientBudget
from gentianwall.logs import get_logger
from gentianwall.metrics import Metrics
from gentianwall.timers import monotonic_ms

log = get_logger("clients")

LINE_INTERVAL_MS = 1000.0
WriteLine = Callable[[dict[str, object]], None]


def write_text_line(fields: dict[str, object]) -> None:
    """Logs a line of a process without structured lines."""
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    log.warning("Client refused: %s.", text)


class ClientReports:
    """Counts refused clients and logs them.

    Args:
        metrics: Metrics of the process.
        budget: What all clients of the process hold.
        write: Writes one line.
    """

    def __init__(
        self,
        metrics: Metrics,
        budget: ClientBudget,
        write: WriteLine = write_text_line,
    ):
        self._metrics = metrics
        self._budget = budget
        self._write = write
        self._logged_ms: dict[tuple[str, Misuse], float] = {}
        self._unlogged: dict[tuple[str, Misuse], int] = {}

    def reporter(self, port: str) -> MisuseReport:
        """Returns the function that reports clients of one port."""

        def report(misuse: Misuse, address: str, held_bytes: int) -> None:
            self._report(port, misuse, address, held_bytes)

        return report

    def _report(
        self, port: str, misuse: Misuse, address: str, held_bytes: int
    ) -> None:
        self._metrics.record_misuse(port, misuse.value)
        key = (port, misuse)
        count = self._unlogged.get(key, 0) + 1
        now_ms = monotonic_ms()
        if now_ms < self._logged_ms.get(key, float("-inf")) + LINE_INTERVAL_MS:
            self._unlogged[key] = count
            return
        self._unlogged[key] = 0
        self._logged_ms[key] = now_ms
        self._write(
            {
                "port": port,
                "reason": misuse.value,
                "count": count,
                "address": address,
                "held_bytes": held_bytes,
                "all_held_bytes": self._budget.used_bytes,
                "connections": self._budget.connections,
            }
        )

    def update_metrics(self) -> None:
        """Sets the gauges of what clients hold."""
        budget = self._budget
        self._metrics.process_values.update(
            {
                "client_held_bytes": budget.used_bytes,
                "client_limit_bytes": budget.limits.memory_bytes,
                "client_connections": budget.connections,
                "client_limit_connections": budget.limits.connections,
                "client_running_requests": budget.running_requests,
                "clients_waiting": budget.waiting_connections,
            }
        )

"""Limits the time that is spent on parsing the answers of one service.

Load pattern: many requests go to servers in trouble, whose answers consist of
little but framing: header lines, interim answers, chunks of a few bytes. Each
answer stays below its limit, but a byte of framing takes far longer to parse
than one of a body, and together they would take all the time of the process
from requests to other services.
"""

from __future__ import annotations

import attrs

# Chunks of one byte take about 1 us for each byte that is received, so that all
# services together take an eighth of a core.
FRAMING_BYTES_PER_S = 128 * 1024
# A service may send so much at once without a wait: more than any head has.
BURST_BYTES = 48 * 1024


@attrs.define
class ParsePacing:
    """Shares the time for framing among the services that send much of it.

    Attributes:
        bytes_per_s: Framing that is parsed for all services together.
        burst_bytes: Framing of one service that is parsed without a wait.
    """

    bytes_per_s: float = FRAMING_BYTES_PER_S
    burst_bytes: float = BURST_BYTES
    # Until when the framing that was parsed uses up the share of its service.
    _used_until_ms: dict[object, float] = attrs.field(factory=dict)

    def charge(self, service: object, size_bytes: int, now_ms: float) -> float:
        """Records parsed framing.

        Args:
            service: Identifies the service, or a server without one.
            size_bytes: Size of the framing, with what it frames.
            now_ms: The local clock.

        Returns:
            How long to wait before more of that service is parsed, in ms.
        """
        self._forget_idle(now_ms)
        used_until_ms = self._used_until_ms.setdefault(service, now_ms)
        share_per_s = self.bytes_per_s / len(self._used_until_ms)
        used_until_ms += 1000.0 * size_bytes / share_per_s
        self._used_until_ms[service] = used_until_ms
        burst_ms = 1000.0 * self.burst_bytes / self.bytes_per_s
        return max(0.0, used_until_ms - now_ms - burst_ms)

    def _forget_idle(self, now_ms: float) -> None:
        for service, used_until_ms in list(self._used_until_ms.items()):
            if used_until_ms <= now_ms:
                del self._used_until_ms[service]

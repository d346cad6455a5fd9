"""Limits the time that is spent on parsing the answers of single servers.

Load pattern: many requests go to servers in trouble, whose answers consist of
little but framing: header lines, interim answers, chunks of a few bytes. Each
answer stays below its limit, but a byte of framing takes far longer to parse
than one of a body, and together they would take all the time of the process
from requests to other servers.
"""

from __future__ import annotations

import attrs

# Chunks of one byte take 1 us for each byte that is received, so that all
# servers together take an eighth of a core.
FRAMING_BYTES_PER_S = 128 * 1024
# A server may send so much at once without a wait: larger than any head.
BURST_BYTES = 48 * 1024


@attrs.define
class ParsePacing:
    """Shares the time for framing among the servers that send much of it.

    Attributes:
        bytes_per_s: Framing that is parsed for all servers together.
        burst_bytes: Framing of one server that is parsed without a wait.
    """

    bytes_per_s: float = FRAMING_BYTES_PER_S
    burst_bytes: float = BURST_BYTES
    # When the framing of a server that was parsed so far is paid off.
    _paid_ms: dict[object, float] = attrs.field(factory=dict)

    def charge(self, server: object, size_bytes: int, now_ms: float) -> float:
        """Records parsed framing.

        Args:
            server: Identifies the server.
            size_bytes: Size of the framing, with what it frames.
            now_ms: The local clock.

        Returns:
            How long to wait before more of that server is parsed, in ms.
        """
        self._forget_paid(now_ms)
        paid_ms = max(now_ms, self._paid_ms.get(server, now_ms))
        share = self.bytes_per_s / max(1, len(self._paid_ms | {server: 0.0}))
        paid_ms += 1000.0 * size_bytes / share
        self._paid_ms[server] = paid_ms
        burst_ms = 1000.0 * self.burst_bytes / self.bytes_per_s
        return max(0.0, paid_ms - now_ms - burst_ms)

    def _forget_paid(self, now_ms: float) -> None:
        for server, paid_ms in list(self._paid_ms.items()):
            if paid_ms <= now_ms:
                del self._paid_ms[server]

"""Keeps requests from servers that asked for rest.

Load pattern: a server in need turns requests away at once and names a time for
which it wants nothing from this entry. Since it answers fast and reports free
slots, it would otherwise look like the best of all.
"""

from __future__ import annotations

import attrs

# A server that turns requests away again within this time after its rest is
# not fit yet, although it named a time.
RELAPSE_MS = 4000.0


@attrs.define
class Rests:
    """Servers that asked this entry for rest.

    Attributes:
        until_ms: When the rest of each server ends, by its name.
    """

    until_ms: dict[str, float] = attrs.field(factory=dict)

    def record(self, server: str, rest_ms: float, now_ms: float) -> None:
        """Records that a server wants nothing for a time.

        A shorter rest than the one in force changes nothing: answers may
        arrive in another order than they were sent.
        """
        for other, until_ms in list(self.until_ms.items()):
            if until_ms + RELAPSE_MS <= now_ms:
                del self.until_ms[other]
        known_ms = self.until_ms.get(server, float("-inf"))
        self.until_ms[server] = max(known_ms, now_ms + rest_ms)

    def wait_ms(self, server: str, now_ms: float) -> float:
        """Returns the time until a server may be used; 0 if it may now."""
        until_ms = self.until_ms.get(server)
        return 0.0 if until_ms is None else max(0.0, until_ms - now_ms)

    def has_relapsed(self, server: str, now_ms: float) -> bool:
        """Returns whether a server turns requests away soon after its rest."""
        until_ms = self.until_ms.get(server)
        return until_ms is not None and (
            until_ms <= now_ms < until_ms + RELAPSE_MS
        )

    def end(self, server: str) -> None:
        """Ends a rest, because the server has started anew."""
        self.until_ms.pop(server, None)

"""How long a message was under way, without synchronised clocks.

Each message carries the sender's monotonic clock. The smallest difference
to the local clock seen so far is the quickest way between the two; what a
message takes beyond it is its delay, because it was queued, resent or held
in a process that stood still.
"""

from __future__ import annotations

import attrs

DRIFT_RATIO = 0.0001


@attrs.define
class _Peer:
    boot_id: str
    offset_ms: float
    at_ms: float


@attrs.define
class DelayEstimator:
    """Delays of the messages of each peer."""

    _peers: dict[str, _Peer] = attrs.field(factory=dict)

    def delay_ms(
        self, sender: str, boot_id: str, sent_ms: float, now_ms: float
    ) -> float:
        """Returns the delay of a message beyond the quickest one.

        Args:
            sender: Name of the peer.
            boot_id: Changes when the peer starts, since its clock may too.
            sent_ms: The peer's clock when it sent the message.
            now_ms: The local clock.
        """
        offset_ms = now_ms - sent_ms
        peer = self._peers.get(sender)
        if peer is None or peer.boot_id != boot_id:
            self._peers[sender] = _Peer(boot_id, offset_ms, now_ms)
            return 0.0
        # Clocks drift apart, so an old minimum is allowed to rise slowly.
        slack_ms = (now_ms - peer.at_ms) * DRIFT_RATIO
        delay_ms = offset_ms - (peer.offset_ms + slack_ms)
        if delay_ms <= 0:
            peer.offset_ms = offset_ms
            peer.at_ms = now_ms
            return 0.0
        return delay_ms

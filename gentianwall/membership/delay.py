"""Estimates the delay of messages without synchronized clocks.

Each message carries the sender's monotonic clock. The smallest difference
between the local clock and that of the sender is taken as the offset for the
shortest transit time. Any larger difference is a delay: the message was
queued, resent or held up in a stalled process.
"""

from __future__ import annotations

import attrs

DRIFT_RATIO = 0.0001


@attrs.define
class _PeerClock:
    """Smallest clock offset of a peer since its start, and when measured."""

    boot_id: str
    offset_ms: float
    measured_ms: float


@attrs.define
class DelayEstimator:
    """Estimates the delay of each message from the clock of its sender."""

    _peers: dict[str, _PeerClock] = attrs.field(factory=dict)

    def delay_ms(
        self, sender: str, boot_id: str, sent_ms: float, now_ms: float
    ) -> float:
        """Returns the delay of a message relative to the fastest one.

        Args:
            sender: Name of the peer.
            boot_id: Boot id of the peer. A restart may change its clock, so
                the estimate starts over with a new id.
            sent_ms: Clock of the peer when it sent the message.
            now_ms: The local clock.
        """
        offset_ms = now_ms - sent_ms
        peer = self._peers.get(sender)
        if peer is None or peer.boot_id != boot_id:
            self._peers[sender] = _PeerClock(boot_id, offset_ms, now_ms)
            return 0.0
        # Clocks drift apart, so the smallest offset is allowed to rise slowly.
        drift_ms = (now_ms - peer.measured_ms) * DRIFT_RATIO
        delay_ms = offset_ms - (peer.offset_ms + drift_ms)
        if delay_ms <= 0:
            peer.offset_ms = offset_ms
            peer.measured_ms = now_ms
            return 0.0
        return delay_ms

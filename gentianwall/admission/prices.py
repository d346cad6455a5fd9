"""Selects price tiers; a caller that accepts a longer wait pays less."""

from __future__ import annotations

from gentianwall.config.declaration import TierSettings


def choose_tier(
    tiers: tuple[TierSettings, ...], max_wait_ms: float
) -> TierSettings:
    """Returns the cheapest tier whose wait does not exceed the caller's.

    A caller whose wait is shorter than that of every tier gets the quickest.
    """
    ordered = sorted(tiers, key=lambda tier: tier.max_wait_ms)
    fitting = [t for t in ordered if t.max_wait_ms <= max_wait_ms]
    return fitting[-1] if fitting else ordered[0]

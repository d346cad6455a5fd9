"""Sizes and times of limits that hold in sum over all entries.

Both the leader, which leases tokens, and the entries, which spend them, use
these values, so that the bound follows from one place.
"""

from __future__ import annotations

import math

import attrs

from gentianwall.config.routes import RouteConfiguration

# Window of the bound, by any clock that deviates by up to 1 %. It is longer by
# 50 ms for the clock and 150 ms for requests that reach a server late.
WINDOW_MS = 5200.0
QUOTA_WINDOW_S = 5.0
QUOTA_OVERAGE = 0.1
# The quota bound allows 20 requests beyond the overage. Two are left for
# requests that a suspended entry has counted but sends after it resumes.
QUOTA_SLACK = 18
# An entry counts a lease from the sending of its poll, the leader from the
# receipt. The difference covers clocks that deviate by 1 % each.
LEASE_MS = 3000.0
LEADER_LEASE_MS = 3100.0
# Tokens of the slack that may be spent in a window in addition to the overage:
# requests of small organisations arrive at random, and exceed their quota by a
# few in many windows although they are below it on average.
CHANCE_TOKENS = 6
# Validity of the share of an entry without a lease. It covers a loss of all
# control instances that lasts until operators repair it.
FALLBACK_MS = 600_000.0
LEADER_FALLBACK_MS = 620_000.0
# Tokens set aside for entries without a lease: few of them, since they are
# missing where the demand is.
FALLBACK_TOKENS = 4
FALLBACK_RATIO = 0.01
# Tokens set aside for a leader whose process has just started. After all
# processes were killed no entry hands anything over, and without these tokens
# every organisation would be refused until the window before is over.
RESTART_TOKENS = 10
# Spent tokens are reported to a new leader by age, in steps of this length.
AGE_STEP_MS = 400.0


@attrs.frozen
class LimitSize:
    """Size of a limit over all entries.

    Attributes:
        per_window: Spent tokens in a window at which no more are leased.
        total: Most tokens that are leased, or were spent within the window, at
            any time. What exceeds `per_window` is for tokens that lie unused
            at some entries while others need them.
        fallback: Those of `total` that are set aside for entries without a
            lease.
        restart: Those of `total` that are set aside for a leader that has just
            started.
        per_s: Tokens a second that are leased after it was exhausted.
    """

    per_window: int
    total: int
    fallback: int
    restart: int = 0
    per_s: float = math.inf

    @property
    def leasable(self) -> int:
        """Tokens that are leased or spent within the window at most."""
        return self.total - self.fallback - self.restart


def quota_size(rate_per_s: float, burst: float) -> LimitSize:
    """Returns the size of a quota."""
    allowed = (rate_per_s * QUOTA_WINDOW_S + burst) * (1.0 + QUOTA_OVERAGE)
    return LimitSize(
        per_window=math.floor(allowed) + CHANCE_TOKENS,
        total=math.floor(allowed) + QUOTA_SLACK,
        fallback=FALLBACK_TOKENS + math.floor(FALLBACK_RATIO * allowed),
        restart=RESTART_TOKENS,
        per_s=rate_per_s * (1.0 + QUOTA_OVERAGE),
    )


def quota_sizes(configuration: RouteConfiguration) -> dict[str, LimitSize]:
    """Returns the sizes of the quotas of all organisations that have one."""
    return {
        organisation.name: quota_size(
            organisation.rate_per_s, organisation.burst
        )
        for organisation in configuration.organisations
        if organisation.rate_per_s > 0.0
    }

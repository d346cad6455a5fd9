"""Recent work by kind of request and by organisation.

Load pattern: an entry receives a few requests a second, so that shares are
known only from the last half minute, while an organisation that sends several
times as much as usual has to be noticed within a second or two.
"""

from __future__ import annotations

import math

import attrs

# The mix of requests changes slowly, and an entry sees few of each kind.
MIX_DECAY_MS = 30_000.0
# Recent and usual demand of an organisation.
RECENT_DECAY_MS = 1500.0
USUAL_DECAY_MS = 60_000.0
# An organisation is above its share beyond this multiple of its usual demand.
EXCESS_FACTOR = 2.0
# Fewer recent requests than this say nothing about a change of demand.
MIN_RECENT = 4.0
# Nothing is known about usual demand before this time.
MIN_HISTORY_MS = 5000.0
# Organisations beyond this number are not told apart, the oldest first.
MAX_ORGANISATIONS = 1000


@attrs.frozen(order=True)
class KindKey:
    """A kind of requests in the order of refusal; greater ones come first.

    Attributes:
        rank: Priority, higher for requests that are worth less.
        work_ms: Work that one request needs.
        route: Name of its route.
    """

    rank: float
    work_ms: float
    route: str


@attrs.define
class DecayingSum:
    """A sum whose terms lose weight with age."""

    decay_ms: float
    value: float = 0.0
    updated_ms: float = 0.0

    def add(self, amount: float, now_ms: float) -> None:
        """Adds a term."""
        self.value = self.at(now_ms) + amount
        self.updated_ms = now_ms

    def at(self, now_ms: float) -> float:
        """Returns the sum at a time."""
        age_ms = now_ms - self.updated_ms
        return self.value * math.exp(-age_ms / self.decay_ms)


@attrs.define
class Demand:
    """Recent work of one service by rank and route.

    Attributes:
        work: Work by rank and route, with the last key of that kind.
        updated_ms: When the last request was recorded.
    """

    work: dict[tuple[float, str], tuple[KindKey, DecayingSum]] = attrs.field(
        factory=dict
    )
    updated_ms: float = 0.0

    def record(self, key: KindKey, now_ms: float) -> None:
        """Records a request."""
        kind = (key.rank, key.route)
        _, work = self.work.get(kind) or (key, DecayingSum(MIX_DECAY_MS))
        work.add(key.work_ms, now_ms)
        self.work[kind] = (key, work)
        self.updated_ms = now_ms

    def position(self, key: KindKey) -> tuple[float, float]:
        """Returns which part of the work a kind is, by the order of refusal.

        The kind with the lowest priority, and among those the one that needs
        most work, is refused first: it begins at 0. Without any recent work
        every kind is the last to be refused.
        """
        before = total = own = 0.0
        for other, work in self.work.values():
            amount = work.at(self.updated_ms)
            total += amount
            if (other.rank, other.route) == (key.rank, key.route):
                own = amount
            elif other > key:
                before += amount
        if total <= 0.0:
            return 1.0, 1.0
        return before / total, (before + own) / total


@attrs.define
class _Organisation:
    recent: DecayingSum = attrs.field(
        factory=lambda: DecayingSum(RECENT_DECAY_MS)
    )
    usual: DecayingSum = attrs.field(
        factory=lambda: DecayingSum(USUAL_DECAY_MS)
    )


@attrs.define
class OrganisationDemand:
    """Demand of the organisations at this entry.

    Attributes:
        known: Demand by organisation.
        first_ms: When the first request was recorded.
    """

    known: dict[str, _Organisation] = attrs.field(factory=dict)
    first_ms: float | None = None

    def record(self, name: str, now_ms: float) -> float:
        """Records a request; returns which share is above the usual demand."""
        if not name:
            return 0.0
        if self.first_ms is None:
            self.first_ms = now_ms
        organisation = self.known.pop(name, None) or _Organisation()
        self.known[name] = organisation
        if len(self.known) > MAX_ORGANISATIONS:
            del self.known[next(iter(self.known))]
        organisation.recent.add(1.0, now_ms)
        excess_share = self._excess_share(organisation, now_ms)
        # The excess does not count as usual, however long it lasts.
        organisation.usual.add(1.0 - excess_share, now_ms)
        return excess_share

    def _excess_share(
        self, organisation: _Organisation, now_ms: float
    ) -> float:
        """Returns which share of an organisation's requests is excess."""
        history_ms = now_ms - self.first_ms
        recent = organisation.recent.value
        if recent < MIN_RECENT or history_ms < MIN_HISTORY_MS:
            return 0.0
        seen_share = 1.0 - math.exp(-history_ms / USUAL_DECAY_MS)
        usual = organisation.usual.at(now_ms) / (USUAL_DECAY_MS * seen_share)
        allowed = EXCESS_FACTOR * max(1.0, usual * RECENT_DECAY_MS)
        return max(0.0, 1.0 - allowed / recent)

"""Spends tokens of limits that the leader leases: the side of an entry.

Load pattern: requests of many organisations, of each one in several seconds at
this entry; at times many of one. An entry asks for tokens of the limits that it
has seen demand for, and reports with its polls what it spent. Requests that
find no token wait for the answer to a poll that is sent early.

A lease counts from the sending of the poll that the leader has confirmed, so
that an entry that was suspended or cut off stops before the leader gives its
tokens to others. Without a lease an entry keeps to its fallback share.
"""

from __future__ import annotations

import collections
import math
import random
from collections.abc import Mapping

import attrs

from gentianwall.control.limits import (
    AGE_STEP_MS,
    FALLBACK_MS,
    LEASE_MS,
    WINDOW_MS,
    LimitSize,
)
from gentianwall.control.messages import (
    LimitHandover,
    LimitNotice,
    LimitPoll,
    LimitReport,
)

# Averaging time of the demand.
DEMAND_MS = 2000.0
# Tokens are wanted for the demand of this time: a poll interval and a half.
STOCK_MS = 600.0
# One token is wanted while the last request is no older than this. At one
# request in 10 s, which is usual for small organisations, two of three requests
# find it.
SPARSE_DEMAND_MS = 12_000.0
# An early poll is sent when less than this share of the wanted tokens is left.
LOW_SHARE = 0.34
MIN_LOW_WANTED = 3
# Shortest time between two early polls.
EARLY_POLL_MS = 50.0
# Requests wait for a token for at most this long: well above the time without
# a leader after one was lost, 0.8 s in the median and 1.2 s at most.
MAX_WAIT_MS = 1500.0
# Without a notice for this long, requests without a token are refused at once.
LEADER_LOSS_MS = 2500.0
# An entry believes that a limit is exhausted for at most this long before it
# asks again, because others may return tokens.
MAX_EXHAUSTED_MS = 400.0
# Time until there is room if nothing is known about it.
UNKNOWN_ROOM_MS = 1000.0
# Time without a lease after which a leader that sends notices is taken for one
# that grants none: an older build.
NO_GRANTS_MS = LEASE_MS + WINDOW_MS
MAX_POLLS_IN_FLIGHT = 64


@attrs.define
class Demand:
    """Moving average of the requests of one limit.

    Attributes:
        requests: Requests within the averaging time.
        updated_ms: Time of the last request.
    """

    requests: float = 0.0
    updated_ms: float = float("-inf")

    def record(self, now_ms: float) -> None:
        """Counts a request."""
        self.requests = 1.0 + self._decayed(now_ms)
        self.updated_ms = now_ms

    def _decayed(self, now_ms: float) -> float:
        return self.requests * math.exp((self.updated_ms - now_ms) / DEMAND_MS)

    def wanted(self, now_ms: float) -> int:
        """Returns how many tokens suffice with spare ones for chance."""
        if now_ms - self.updated_ms > SPARSE_DEMAND_MS:
            return 0
        expected = self._decayed(now_ms) * STOCK_MS / DEMAND_MS
        return max(1, round(expected + math.sqrt(expected)))


@attrs.define
class HeldLimit:
    """Tokens of one limit at this entry.

    Attributes:
        demand: Demand of the limit.
        granted: Tokens granted in the lease session.
        spent: Tokens spent in the lease session.
        returned: Tokens given up in the lease session.
        reserved: Tokens of requests that were not sent yet.
        reported: Spent, returned and wanted tokens of the last report.
        reported_in: Number of the first poll that reported them.
        spent_ms: When tokens were spent within the window.
        fallback: Tokens a window that may be spent without a lease.
        fallback_ms: When those were spent within the window.
        waiting: Requests that wait for a token.
        exhausted_until_ms: Until when the limit has no room.
        refused: Refused requests since the last log line about them.
        logged_ms: When that was written.
    """

    demand: Demand = attrs.field(factory=Demand)
    granted: int = 0
    spent: int = 0
    returned: int = 0
    reserved: int = 0
    reported: tuple[int, int, int] = (0, 0, 0)
    reported_in: int = 0
    spent_ms: collections.deque[float] = attrs.field(factory=collections.deque)
    fallback: int = 0
    fallback_ms: collections.deque[float] = attrs.field(
        factory=collections.deque
    )
    waiting: int = 0
    exhausted_until_ms: float = float("-inf")
    refused: int = 0
    logged_ms: float = float("-inf")

    @property
    def tokens(self) -> int:
        """Tokens that are neither spent nor reserved."""
        return self.granted - self.spent - self.returned - self.reserved

    def give_up(self, count: int) -> None:
        """Returns unused tokens, at most as many as there are."""
        self.returned += max(0, min(count, self.tokens))

    def ages(self, now_ms: float) -> tuple[int, ...]:
        """Returns the tokens spent within the window by age in steps."""
        _drop_old(self.spent_ms, now_ms)
        _drop_old(self.fallback_ms, now_ms)
        spent_ms = (*self.spent_ms, *self.fallback_ms)
        if not spent_ms:
            return ()
        steps = [int((now_ms - ms) / AGE_STEP_MS) for ms in spent_ms]
        counts = collections.Counter(steps)
        return tuple(counts[step] for step in range(max(steps) + 1))

    def start_session(self) -> None:
        """Forgets the tokens of the last lease session."""
        self.granted = self.spent = self.returned = self.reserved = 0
        self.reported = (0, 0, 0)
        self.reported_in = 0


def _drop_old(times_ms: collections.deque[float], now_ms: float) -> None:
    while times_ms and now_ms - times_ms[0] >= WINDOW_MS:
        times_ms.popleft()


@attrs.define
class LeasedLimits:
    """Limits over all entries, and the tokens that this entry holds of them.

    Attributes:
        boot: Random id of the process start.
        sizes: Sizes of the limits in force, by name.
        held: Tokens by the name of the limit.
        term: Term of the leader that the session belongs to; 0 for none.
        generation: Number of the session.
        number: Number of the last poll of the session.
        confirmed: Number of the last poll that the leader has confirmed.
        serial: Highest serial of the notices of the session.
        sent_ms: Sending times of unconfirmed polls by their numbers.
        lease_until_ms: When the lease expires.
        fallback_until_ms: When the fallback shares expire.
        handovers: What this entry hands over to a new leader.
        polled_ms: When the last poll was sent.
        is_poll_due: Whether the next poll should be sent early.
        heard_ms: When a leader that grants leases was last heard.
        entries: Number of entries, if the leader is an older build; else 0.
    """

    boot: int = attrs.field(factory=lambda: random.getrandbits(48))
    sizes: dict[str, LimitSize] = attrs.field(factory=dict)
    held: dict[str, HeldLimit] = attrs.field(factory=dict)
    term: int = 0
    generation: int = 0
    number: int = 0
    confirmed: int = 0
    serial: int = 0
    sent_ms: dict[int, float] = attrs.field(factory=dict)
    lease_until_ms: float = float("-inf")
    fallback_until_ms: float = float("-inf")
    handovers: tuple[LimitHandover, ...] = ()
    polled_ms: float = float("-inf")
    is_poll_due: bool = False
    heard_ms: float = float("-inf")
    entries: int = 0

    def apply_sizes(
        self, sizes: Mapping[str, LimitSize], now_ms: float
    ) -> None:
        """Applies the sizes of a configuration.

        Tokens of lowered and removed limits are returned, so that a lower limit
        is binding once this entry has it.
        """
        if not self.sizes:
            self.heard_ms = max(self.heard_ms, now_ms)
        for name, held in self.held.items():
            before, after = self.sizes.get(name), sizes.get(name)
            if before is None or before == after:
                continue
            if after is None or after.total < before.total:
                held.give_up(held.tokens)
                held.fallback = 0
        self.sizes = dict(sizes)
        self.is_poll_due = True

    def reserve(
        self, name: str, now_ms: float, is_repeated: bool = False
    ) -> float:
        """Reserves a leased token for a request, or spends a fallback one.

        A reserved token counts as unspent until the request is sent: requests
        that wait for a free server and are then sent together would otherwise
        exceed the limit.

        Args:
            name: Name of the limit; unknown names have no limit.
            now_ms: The local clock.
            is_repeated: Whether the request was counted as demand before.

        Returns:
            0 if the request may run, otherwise the time until there is room.
        """
        if name not in self.sizes:
            return 0.0
        held = self.held.get(name)
        if held is None:
            held = self.held[name] = HeldLimit()
        if not is_repeated:
            held.demand.record(now_ms)
        if now_ms < self.lease_until_ms:
            if held.tokens > 0:
                held.reserved += 1
                self._poll_if_low(held, now_ms)
                return 0.0
            return self._room_ms(held, now_ms)
        share = self._share_without_lease(name, held, now_ms)
        _drop_old(held.fallback_ms, now_ms)
        if len(held.fallback_ms) < share:
            held.fallback_ms.append(now_ms)
            return 0.0
        if share:
            return held.fallback_ms[0] + WINDOW_MS - now_ms
        return self._room_ms(held, now_ms)

    def reserved(self, name: str) -> int:
        """Returns how many tokens of a limit are reserved."""
        held = self.held.get(name)
        return 0 if held is None else held.reserved

    def commit(self, name: str, now_ms: float) -> None:
        """Spends a reserved token, since its request is sent."""
        held = self.held[name]
        held.reserved -= 1
        held.spent += 1
        _drop_old(held.spent_ms, now_ms)
        held.spent_ms.append(now_ms)

    def release(self, name: str) -> None:
        """Takes back a reserved token, since its request is not sent."""
        self.held[name].reserved -= 1

    @property
    def unspent(self) -> int:
        """Unspent tokens of all limits."""
        return sum(held.tokens for held in self.held.values())

    def may_wait(self, name: str, now_ms: float) -> bool:
        """Returns whether a request without a token may get one soon."""
        held = self.held[name]
        is_exhausted = now_ms < held.exhausted_until_ms
        is_leader_heard = now_ms - self.heard_ms <= LEADER_LOSS_MS
        return is_leader_heard and not is_exhausted and not self.entries

    def set_waiting(self, name: str, waiting: int) -> None:
        """Records how many requests wait for a token of a limit."""
        self.held[name].waiting = waiting
        if waiting:
            self.is_poll_due = True

    def is_early_poll_due(self, now_ms: float) -> bool:
        """Returns whether tokens should be asked for before the next poll."""
        return self.is_poll_due and now_ms - self.polled_ms >= EARLY_POLL_MS

    def _poll_if_low(self, held: HeldLimit, now_ms: float) -> None:
        wanted = held.demand.wanted(now_ms)
        if wanted >= MIN_LOW_WANTED and held.tokens < LOW_SHARE * wanted:
            self.is_poll_due = True

    def _room_ms(self, held: HeldLimit, now_ms: float) -> float:
        if now_ms < held.exhausted_until_ms:
            return held.exhausted_until_ms - now_ms
        return UNKNOWN_ROOM_MS

    def _share_without_lease(
        self, name: str, held: HeldLimit, now_ms: float
    ) -> int:
        """Returns the tokens a window that may be spent without a lease."""
        if self.entries:
            return self.sizes[name].total // self.entries
        return held.fallback if now_ms < self.fallback_until_ms else 0

    def make_poll(self, now_ms: float) -> LimitPoll | None:
        """Returns the next poll; None if there is no limit."""
        if not self.sizes and not self.term:
            return None
        self.number += 1
        self.sent_ms[self.number] = now_ms
        if len(self.sent_ms) > MAX_POLLS_IN_FLIGHT:
            del self.sent_ms[next(iter(self.sent_ms))]
        self.polled_ms = now_ms
        self.is_poll_due = False
        reports = [
            report
            for name, held in self.held.items()
            if (report := self._make_report(name, held, now_ms)) is not None
        ]
        return LimitPoll(
            self.boot,
            self.generation,
            self.term,
            self.number,
            self.serial,
            tuple(reports),
            self.handovers,
        )

    def _make_report(
        self, name: str, held: HeldLimit, now_ms: float
    ) -> LimitReport | None:
        wanted = held.demand.wanted(now_ms) if name in self.sizes else 0
        held.give_up(held.tokens - wanted)
        state = (held.spent, held.returned, wanted + held.reserved)
        if state != held.reported:
            held.reported = state
            held.reported_in = self.number
        if self.confirmed >= held.reported_in and not held.waiting:
            return None
        return LimitReport(name, *state, held.waiting)

    def apply_notice(
        self, notice: LimitNotice, term: int, now_ms: float
    ) -> None:
        """Applies the lease of a notice from the leader of a term."""
        self.heard_ms = now_ms
        self.entries = 0
        if (notice.boot, notice.generation) != (self.boot, self.generation):
            return
        if notice.is_unknown:
            if self.number and term >= self.term:
                self._start_session(term, now_ms)
            return
        if term != self.term:
            return
        self.handovers = ()
        self.serial = max(self.serial, notice.serial)
        if notice.number > self.confirmed:
            self.confirmed = notice.number
            sent_ms = self.sent_ms.get(notice.number, float("-inf"))
            self.lease_until_ms = max(self.lease_until_ms, sent_ms + LEASE_MS)
            self.fallback_until_ms = max(
                self.fallback_until_ms, sent_ms + FALLBACK_MS
            )
            for number in [n for n in self.sent_ms if n <= notice.number]:
                del self.sent_ms[number]
        for grant in notice.grants:
            held = self.held.setdefault(grant.name, HeldLimit())
            held.granted = max(held.granted, grant.granted)
            held.fallback = grant.fallback
            if grant.recalled:
                held.give_up(grant.recalled)
                self.is_poll_due = True
            if grant.exhausted_ms:
                held.exhausted_until_ms = now_ms + min(
                    grant.exhausted_ms, MAX_EXHAUSTED_MS
                )

    def _start_session(self, term: int, now_ms: float) -> None:
        """Starts a lease session; hands over to a leader of another term.

        Tokens are handed over only once: the leader that they were offered to
        may have given them to others, even if it did not confirm that.
        """
        self.handovers = ()
        if term != self.term:
            handovers = [
                self._hand_over(name, held, now_ms)
                for name, held in self.held.items()
            ]
            self.handovers = tuple(
                handover
                for handover in handovers
                if handover.tokens or handover.spent
            )
        for held in self.held.values():
            held.start_session()
        self.term = term
        self.generation += 1
        self.number = self.confirmed = self.serial = 0
        self.sent_ms.clear()
        self.lease_until_ms = float("-inf")
        self.is_poll_due = True
        self.polled_ms = float("-inf")

    def _hand_over(
        self, name: str, held: HeldLimit, now_ms: float
    ) -> LimitHandover:
        spent = held.ages(now_ms)
        tokens = fallback = 0
        if now_ms < self.lease_until_ms:
            tokens = held.tokens + held.reserved
        if now_ms < self.fallback_until_ms:
            fallback, held.fallback = held.fallback, 0
            tokens += max(0, fallback - len(held.fallback_ms))
        return LimitHandover(name, tokens, spent, fallback)

    def record_notice_without_lease(self, entries: int, now_ms: float) -> None:
        """Records a notice of a leader that granted no lease.

        A leader of an older build never does; the limits are then divided
        equally by the number of entries.
        """
        if now_ms - self.heard_ms > NO_GRANTS_MS and self.sizes:
            self.entries = max(1, entries)

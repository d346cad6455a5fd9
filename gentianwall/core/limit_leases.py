"""Leases tokens of limits to entries by demand: the leader's side.

Load pattern: many organisations send a few requests a second each, spread over
many entries, so that an entry sees one request of an organisation in several
seconds; at times one organisation sends much more at a few entries. Equal
shares would be below one request and would refuse most of what is allowed.

For each limit, at any time, the tokens that are leased to entries plus those
spent within the last window are at most its size. Every request spends a token,
so no window contains more. Leased tokens that may have been spent without a
report, because their entry was lost, count as spent when the lease has expired.

The state is not replicated. A new leader knows only what entries hand over: it
leases that much again until leases of its predecessors have expired and what
was spent under them is older than the window. A limit that was put in force
under this leader has no such past. A leader whose process has just started
leases a few tokens that are set aside for it: after all processes were killed,
nothing is handed over.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Mapping

import attrs

from gentianwall.control.limits import (
    AGE_STEP_MS,
    LEADER_FALLBACK_MS,
    LEADER_LEASE_MS,
    WINDOW_MS,
    LimitSize,
)
from gentianwall.control.messages import (
    LimitGrant,
    LimitHandover,
    LimitNotice,
    LimitPoll,
    LimitReport,
)

# Interval at which expired leases are looked for.
EXPIRY_CHECK_MS = 250.0
# Tokens are leased in advance only while more than this share of a limit is
# free, so that waiting requests get a token at once.
FREE_RATIO = 0.05
FREE_TOKENS = 4
# A limit counts as exhausted when this share of it was spent in the window. The
# few tokens that are left elsewhere are not worth the wait for them.
EXHAUSTED_RATIO = 0.95
# Tokens of a limit are leased at an even rate for this long, two windows, after
# it was exhausted. Otherwise an organisation above its quota would spend the
# tokens of a window at once and be refused until they return, again and again.
PACED_MS = 2.0 * WINDOW_MS
# It goes on for as long as requests lack tokens and this share of what the even
# rate allows is spent, so that a chance shortage does not prolong it.
PACED_RATIO = 0.9
# Tokens of this time may be leased at once then.
PACED_BURST_S = 0.5
# Unused tokens are recalled at most this often for a limit, and from at most so
# many entries, which bounds the messages.
RECALL_MS = 100.0
MAX_RECALLS = 8
# Entries poll every 400 ms; after this time the leader has heard from all of
# them and divides the fallback tokens by their number. The shares are prolonged
# at the same interval.
FALLBACK_INTERVAL_MS = 3000.0
# Process starts that are remembered, so that a late message of one does not
# count twice.
MAX_BOOTS = 4096


@attrs.define
class Lease:
    """Tokens of one limit that are leased to one entry.

    Attributes:
        granted: Tokens granted in the session.
        spent: Tokens reported as spent.
        returned: Tokens reported as returned.
        wanted: Tokens that the entry would like to hold.
        changed_in: Serial of the notice that first contained the last change.
    """

    granted: int = 0
    spent: int = 0
    returned: int = 0
    wanted: int = 0
    changed_in: int = 0

    @property
    def outstanding(self) -> int:
        """Tokens that the entry may still spend."""
        return self.granted - self.spent - self.returned


@attrs.define
class Session:
    """Lease session of an entry.

    Attributes:
        boot: Id of the process start.
        generation: Number of the session within that.
        expires_ms: When the leases expire, by the leader's clock.
        number: Number of the last poll.
        serial: Serial of the last notice.
        leases: Leases by the name of the limit.
        unconfirmed: Names of limits with an unconfirmed change.
        wanting: Names of limits of which the entry would like tokens.
        fallbacks_due_ms: When its fallback shares are next assigned.
    """

    boot: int
    generation: int
    expires_ms: float
    number: int = 0
    serial: int = 0
    leases: dict[str, Lease] = attrs.field(factory=dict)
    unconfirmed: set[str] = attrs.field(factory=set)
    wanting: set[str] = attrs.field(factory=set)
    fallbacks_due_ms: float = 0.0


@attrs.define
class FallbackShare:
    """Tokens a window that an entry may spend without a lease."""

    tokens: int
    expires_ms: float


@attrs.define
class Ledger:
    """What the leader knows of one limit.

    Attributes:
        size: Its size.
        handed_over: Tokens that entries have handed over.
        has_past: Whether an earlier leader may have leased tokens of it.
        is_in_force: Whether the configuration in force has the limit.
        outstanding: Tokens leased in all sessions together.
        spent: Heap of (time at which they leave the window, spent tokens).
        spent_count: Sum of those tokens.
        fallbacks: Fallback shares by entry.
        given_up: Fallback tokens that entries gave up to this leader.
        recall_due_ms: When tokens may be recalled again.
        paced: Tokens that may be leased now while leases are paced.
        paced_ms: When `paced` was last updated.
        exhausted_ms: When requests last found it exhausted.
    """

    size: LimitSize
    has_past: bool
    is_in_force: bool = True
    handed_over: int = 0
    outstanding: int = 0
    spent: list[tuple[float, int]] = attrs.field(factory=list)
    spent_count: int = 0
    fallbacks: dict[str, FallbackShare] = attrs.field(factory=dict)
    given_up: int = 0
    recall_due_ms: float = float("-inf")
    paced: float = 0.0
    paced_ms: float = float("-inf")
    exhausted_ms: float = float("-inf")

    def add_spent(self, count: int, until_ms: float) -> None:
        """Counts spent tokens until a time."""
        if count > 0:
            heapq.heappush(self.spent, (until_ms, count))
            self.spent_count += count

    @property
    def is_above_rate(self) -> bool:
        """Whether the requests of a window come at the rate of the limit."""
        per_window = self.size.per_s * WINDOW_MS / 1000.0
        return self.spent_count >= PACED_RATIO * per_window

    def is_paced(self, now_ms: float) -> bool:
        """Returns whether its tokens are leased at an even rate."""
        is_rate_known = math.isfinite(self.size.per_s)
        return is_rate_known and now_ms - self.exhausted_ms < PACED_MS

    def add_paced(self, now_ms: float) -> None:
        """Adds the paced tokens for the time since the last update."""
        most = max(1.0, PACED_BURST_S * self.size.per_s)
        elapsed_s = (now_ms - self.paced_ms) / 1000.0
        self.paced = min(most, self.paced + self.size.per_s * elapsed_s)
        self.paced_ms = now_ms

    def drop_old(self, now_ms: float) -> None:
        """Stops counting the tokens that have left the window."""
        while self.spent and self.spent[0][0] <= now_ms:
            self.spent_count -= heapq.heappop(self.spent)[1]


@attrs.define
class LimitLeases:
    """Leases of all limits by the leader of one term.

    Attributes:
        term: Its term.
        since_ms: When it became leader.
        is_restarted: Whether its process had just started then.
        number: Number of the configuration that the sizes are from; None
            before the first.
        ledgers: Ledgers by the name of the limit.
        sessions: Open sessions by entry.
        opened: Last generation of each process start that was opened.
        recalls: Notices that recall tokens, by entry, to be sent at once.
        expiry_check_due_ms: When expired leases are next looked for.
    """

    term: int = 0
    since_ms: float = 0.0
    is_restarted: bool = False
    number: int | None = None
    ledgers: dict[str, Ledger] = attrs.field(factory=dict)
    sessions: dict[str, Session] = attrs.field(factory=dict)
    opened: dict[int, int] = attrs.field(factory=dict)
    recalls: dict[str, LimitNotice] = attrs.field(factory=dict)
    expiry_check_due_ms: float = float("-inf")

    def apply_sizes(self, number: int, sizes: Mapping[str, LimitSize]) -> None:
        """Applies the sizes of a configuration.

        Limits of the first configuration of a term may have been leased by an
        earlier leader; those that come with a later one may not. Ledgers of
        removed limits remain, since entries may still hold tokens when a limit
        returns.
        """
        has_past = self.number is None
        self.number = number
        for name, ledger in self.ledgers.items():
            ledger.is_in_force = name in sizes
        for name, size in sizes.items():
            ledger = self.ledgers.get(name)
            if ledger is None:
                self.ledgers[name] = Ledger(size, has_past)
                continue
            if size.total < ledger.size.total:
                # Entries drop theirs when they apply the configuration.
                ledger.fallbacks.clear()
            ledger.size = size

    def on_poll(
        self, entry: str, poll: LimitPoll, now_ms: float
    ) -> LimitNotice | None:
        """Applies a poll; returns the notice for the entry, None if it is old.

        Notices in `recalls` are to be sent as well.
        """
        self.recalls.clear()
        self._expire_leases(now_ms)
        session = self.sessions.get(entry)
        is_known = session is not None and (
            (poll.boot, poll.generation, poll.term)
            == (session.boot, session.generation, self.term)
        )
        if not is_known:
            if (
                poll.term != self.term
                or poll.serial
                or poll.generation <= self.opened.get(poll.boot, -1)
            ):
                return LimitNotice(
                    poll.boot, poll.generation, 0, 0, is_unknown=True
                )
            session = self._open(entry, poll, now_ms)
        elif poll.number <= session.number:
            return None
        session.number = poll.number
        session.expires_ms = now_ms + LEADER_LEASE_MS
        for name in list(session.unconfirmed):
            if session.leases[name].changed_in <= poll.serial:
                session.unconfirmed.discard(name)
        for report in poll.reports:
            self._apply_report(session, report, now_ms)
        waiting = {report.name: report.waiting for report in poll.reports}
        shortages = self._grant_wanted(session, waiting, now_ms)
        exhausted = {}
        recalled: dict[str, dict[str, int]] = {}
        for name, count in shortages.items():
            self._record_shortage(self.ledgers[name], now_ms)
            exhausted_ms = self._exhausted_ms(self.ledgers[name], now_ms)
            if exhausted_ms:
                exhausted[name] = exhausted_ms
            else:
                self._recall(entry, name, count, recalled, now_ms)
        self.recalls = {
            other: self._make_notice(other, self.sessions[other], {}, counts)
            for other, counts in recalled.items()
        }
        if now_ms >= session.fallbacks_due_ms:
            session.fallbacks_due_ms = now_ms + FALLBACK_INTERVAL_MS
            self._assign_fallbacks(entry, session, now_ms)
        return self._make_notice(entry, session, exhausted, {})

    def _open(self, entry: str, poll: LimitPoll, now_ms: float) -> Session:
        if entry in self.sessions:
            self._close(entry, now_ms)
        self.opened.pop(poll.boot, None)
        self.opened[poll.boot] = poll.generation
        if len(self.opened) > MAX_BOOTS:
            del self.opened[next(iter(self.opened))]
        session = self.sessions[entry] = Session(
            poll.boot,
            poll.generation,
            now_ms + LEADER_LEASE_MS,
            fallbacks_due_ms=now_ms + FALLBACK_INTERVAL_MS,
        )
        for handover in poll.handovers:
            ledger = self.ledgers.get(handover.name)
            if ledger is not None and ledger.has_past:
                self._take_over(ledger, handover, now_ms)
        return session

    def _take_over(
        self, ledger: Ledger, handover: LimitHandover, now_ms: float
    ) -> None:
        """Takes over what an entry had under an earlier leader.

        Spent tokens count as spent at the end of their step of age.
        """
        ledger.handed_over += handover.tokens + sum(handover.spent)
        for step, count in enumerate(handover.spent):
            until_ms = now_ms - step * AGE_STEP_MS + WINDOW_MS
            ledger.add_spent(count, until_ms)
        ledger.given_up += handover.fallback

    def _close(self, entry: str, now_ms: float) -> None:
        """Closes a session; its tokens may be spent until its leases expire."""
        session = self.sessions.pop(entry)
        until_ms = max(now_ms, session.expires_ms) + WINDOW_MS
        for name, lease in session.leases.items():
            ledger = self.ledgers[name]
            ledger.outstanding -= lease.outstanding
            ledger.add_spent(lease.outstanding, until_ms)

    def _expire_leases(self, now_ms: float) -> None:
        if now_ms < self.expiry_check_due_ms:
            return
        self.expiry_check_due_ms = now_ms + EXPIRY_CHECK_MS
        for entry, session in list(self.sessions.items()):
            if now_ms >= session.expires_ms:
                self._close(entry, now_ms)
        for ledger in self.ledgers.values():
            for entry, share in list(ledger.fallbacks.items()):
                if now_ms >= share.expires_ms:
                    del ledger.fallbacks[entry]

    def _apply_report(
        self, session: Session, report: LimitReport, now_ms: float
    ) -> None:
        ledger = self.ledgers.get(report.name)
        if ledger is None:
            return
        lease = session.leases.setdefault(report.name, Lease())
        before = lease.outstanding
        spent = max(0, min(report.spent - lease.spent, before))
        lease.spent += spent
        returned = max(0, min(report.returned - lease.returned, before - spent))
        lease.returned += returned
        ledger.paced += returned
        ledger.outstanding += lease.outstanding - before
        ledger.add_spent(spent, now_ms + WINDOW_MS)
        lease.wanted = max(report.wanted, report.waiting)
        if lease.wanted:
            session.wanting.add(report.name)
        else:
            session.wanting.discard(report.name)

    def _grant_wanted(
        self, session: Session, waiting: Mapping[str, int], now_ms: float
    ) -> dict[str, int]:
        """Grants what an entry wants and is free.

        Returns:
            Tokens that its waiting requests lack, by the name of the limit.
        """
        shortages = {}
        for name in session.wanting:
            ledger = self.ledgers[name]
            lease = session.leases[name]
            missing = lease.wanted - lease.outstanding
            if missing <= 0 or not ledger.is_in_force:
                continue
            lacking = max(0, waiting.get(name, 0) - lease.outstanding)
            free = self._free(ledger, now_ms)
            granted = max(0, min(lacking, free))
            kept_free = FREE_TOKENS + int(FREE_RATIO * ledger.size.total)
            ahead = (free - granted - kept_free + 1) // 2
            total = granted + max(0, min(missing - lacking, ahead))
            if total:
                lease.granted += total
                ledger.outstanding += total
                ledger.paced = max(0.0, ledger.paced - total)
                lease.changed_in = session.serial + 1
                session.unconfirmed.add(name)
            if granted < lacking:
                shortages[name] = lacking - granted
        return shortages

    def _free(self, ledger: Ledger, now_ms: float) -> int:
        """Returns how many tokens may be leased in addition."""
        ledger.drop_old(now_ms)
        ledger.add_paced(now_ms)
        most = self._leasable(ledger, now_ms)
        free = min(
            most - ledger.outstanding - ledger.spent_count,
            ledger.size.per_window - ledger.spent_count,
        )
        return min(free, int(ledger.paced)) if ledger.is_paced(now_ms) else free

    def _leasable(self, ledger: Ledger, now_ms: float) -> int:
        """Returns how many tokens may be leased or spent within the window."""
        if ledger.has_past and not self._is_past_over(now_ms):
            known = ledger.handed_over
            if self.is_restarted:
                # What an earlier restarted leader leased is handed over, so
                # the tokens set aside are not leased in addition.
                known = max(known, ledger.size.restart)
            return min(ledger.size.leasable, known)
        return ledger.size.leasable

    def _is_past_over(self, now_ms: float) -> bool:
        """Returns whether earlier leases are over and their use is too old."""
        return now_ms - self.since_ms >= LEADER_LEASE_MS + WINDOW_MS

    def _record_shortage(self, ledger: Ledger, now_ms: float) -> None:
        """Records that requests lack tokens, if their limit is exhausted.

        A limit of which only tokens of an earlier leader are missing is not.
        """
        if ledger.is_paced(now_ms) and ledger.paced < 1.0:
            is_exhausted = ledger.is_above_rate
        else:
            most = min(ledger.size.per_window, ledger.size.leasable)
            is_exhausted = ledger.spent_count >= EXHAUSTED_RATIO * most
        if is_exhausted:
            ledger.exhausted_ms = now_ms

    def _exhausted_ms(self, ledger: Ledger, now_ms: float) -> float:
        """Returns the time until a limit has room; 0 if others may return some.

        A limit is exhausted if nearly as much as it allows was spent in the
        window, or if no entry holds tokens.
        """
        if ledger.is_paced(now_ms) and ledger.paced < 1.0:
            return max(1.0, (1.0 - ledger.paced) / ledger.size.per_s * 1000.0)
        most = min(ledger.size.per_window, self._leasable(ledger, now_ms))
        is_spent = ledger.spent_count >= EXHAUSTED_RATIO * most
        if ledger.outstanding > 0 and not is_spent:
            return 0.0
        if ledger.spent:
            return max(1.0, ledger.spent[0][0] - now_ms)
        past_until_ms = self.since_ms + LEADER_LEASE_MS + WINDOW_MS
        return max(1.0, past_until_ms - now_ms)

    def _recall(
        self,
        entry: str,
        name: str,
        count: int,
        recalled: dict[str, dict[str, int]],
        now_ms: float,
    ) -> None:
        """Recalls unused tokens from the entries that hold the most."""
        ledger = self.ledgers[name]
        if now_ms < ledger.recall_due_ms:
            return
        holders = [
            (session.leases[name].outstanding, other)
            for other, session in self.sessions.items()
            if other != entry
            and name in session.leases
            and session.leases[name].outstanding > 0
        ]
        if not holders:
            return
        ledger.recall_due_ms = now_ms + RECALL_MS
        for outstanding, other in heapq.nlargest(MAX_RECALLS, holders):
            share = min(count, (outstanding + 1) // 2)
            recalled.setdefault(other, {})[name] = share
            count -= share
            if count <= 0:
                return

    def _assign_fallbacks(
        self, entry: str, session: Session, now_ms: float
    ) -> None:
        """Gives the entry fallback shares, or prolongs those that it has.

        Entries that the leader has not heard of may hold shares of an earlier
        leader, so until those have expired it gives out only as many as were
        given up to it.
        """
        for name, ledger in self.ledgers.items():
            share = ledger.fallbacks.get(entry)
            if share is not None:
                share.expires_ms = now_ms + LEADER_FALLBACK_MS
                continue
            if not ledger.is_in_force:
                continue
            most = ledger.size.fallback
            if ledger.has_past:
                if not self._is_past_over(now_ms):
                    continue
                if now_ms - self.since_ms < LEADER_FALLBACK_MS:
                    most = min(most, ledger.given_up)
            tokens = max(1, ledger.size.fallback // len(self.sessions))
            given = sum(other.tokens for other in ledger.fallbacks.values())
            given += tokens
            ledger.drop_old(now_ms)
            used = ledger.outstanding + ledger.spent_count
            if given > most or used + given > ledger.size.total:
                continue
            ledger.fallbacks[entry] = FallbackShare(
                tokens, now_ms + LEADER_FALLBACK_MS
            )
            lease = session.leases.setdefault(name, Lease())
            lease.changed_in = session.serial + 1
            session.unconfirmed.add(name)

    def _make_notice(
        self,
        entry: str,
        session: Session,
        exhausted: Mapping[str, float],
        recalled: Mapping[str, int],
    ) -> LimitNotice:
        session.serial += 1
        names = session.unconfirmed | exhausted.keys() | recalled.keys()
        return LimitNotice(
            session.boot,
            session.generation,
            session.number,
            session.serial,
            tuple(
                LimitGrant(
                    name,
                    session.leases[name].granted,
                    self._fallback(entry, name),
                    recalled.get(name, 0),
                    exhausted.get(name, 0.0),
                )
                for name in sorted(names)
            ),
        )

    def _fallback(self, entry: str, name: str) -> int:
        share = self.ledgers[name].fallbacks.get(entry)
        return 0 if share is None else share.tokens

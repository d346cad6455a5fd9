"""Simulates entries, leaders and links that share limits, without a network.

Every process has a clock that deviates from the true one by up to 1 %.
Messages take a time and may be lost or late; entries may be cut off, suspended,
killed and started, and the leader may be lost.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import random

import attrs

from gentianwall.control.limits import LimitSize
from gentianwall.core.limit_leases import LimitLeases
from gentianwall.gateway.limit_leases import MAX_WAIT_MS, LeasedLimits

POLL_MS = 400.0
SILENT_POLL_MS = 200.0
FEED_SILENCE_MS = 700.0
DELAY_MS = (0.5, 4.0)
BOUND_WINDOW_MS = 5000.0


def bound(rate_per_s: float, burst: float) -> float:
    """Returns the most requests that any window may contain."""
    return (rate_per_s * 5.0 + burst) * 1.1 + 20.0


def _spend(
    limits: LeasedLimits, name: str, now_ms: float, is_repeated: bool = False
) -> float:
    """Spends a token at once; returns the time until there is room."""
    before = limits.reserved(name)
    room_ms = limits.reserve(name, now_ms, is_repeated)
    if limits.reserved(name) > before:
        limits.commit(name, now_ms)
    return room_ms


@attrs.define
class Clock:
    """A clock that deviates from the true time."""

    rate: float = 1.0
    offset_ms: float = 0.0

    def at(self, true_ms: float) -> float:
        """Returns what this clock shows at a true time."""
        return self.offset_ms + self.rate * true_ms


@attrs.define
class WaitingRequest:
    """A request that waits for a token."""

    limit: str
    until_ms: float
    arrived_ms: float


@attrs.define
class SimulatedEntry:
    """An entry; only its clock tells it the time."""

    name: str
    clock: Clock
    limits: LeasedLimits
    poll_due_ms: float = 0.0
    heard_ms: float = float("-inf")
    is_cut: bool = False
    is_suspended: bool = False
    inbox: list = attrs.field(factory=list)
    waiting: list[WaitingRequest] = attrs.field(factory=list)


class LimitFleet:
    """Entries and a leader that share limits.

    Attributes:
        now_ms: The true time.
        most: Most requests sent in any window, by limit.
        refused: Refused requests by limit.
        refused_below: Those of them in whose window fewer were sent than the
            quota allows.
        waited_ms: Times that requests waited for a token and got one.
        polls: Number of polls that arrived.
        allowed: Requests that a quota allows in a window, without tolerance.
    """

    def __init__(
        self,
        sizes: dict[str, LimitSize],
        seed: int = 1,
        loss: float = 0.0,
        clock_error: float = 0.01,
    ):
        self.sizes = sizes
        self.rng = random.Random(seed)
        self.loss = loss
        self.clock_error = clock_error
        self.now_ms = 0.0
        self.entries: dict[str, SimulatedEntry] = {}
        self.leader: LimitLeases | None = None
        self.leader_clock = Clock()
        self.term = 0
        self._sent_ms = collections.defaultdict(collections.deque)
        self.refused = collections.Counter()
        self.refused_below = collections.Counter()
        self.allowed: dict[str, float] = {}
        self.sent = collections.Counter()
        self.waited_ms: list[float] = []
        self.polls = 0
        self.most = collections.Counter()
        self._messages: list = []
        self._order = itertools.count()

    def _make_clock(self) -> Clock:
        error = self.rng.choice((-1.0, 0.0, 1.0)) * self.clock_error
        return Clock(1.0 + error, self.rng.uniform(0.0, 1e6))

    def elect(self, has_past: bool = True, is_restarted: bool = False) -> None:
        """Elects a leader, which knows nothing of its predecessors' leases."""
        self.term += 1
        self.leader_clock = self._make_clock()
        since_ms = self.leader_clock.at(self.now_ms)
        self.leader = LimitLeases(self.term, since_ms, is_restarted)
        if not has_past:
            self.leader.apply_sizes(0, {})
        self.leader.apply_sizes(1, self.sizes)

    def apply_sizes(self, number: int, sizes: dict[str, LimitSize]) -> None:
        """Puts another configuration in force at the leader and all entries."""
        self.sizes = sizes
        self.leader.apply_sizes(number, sizes)
        for entry in self.entries.values():
            entry.limits.apply_sizes(sizes, entry.clock.at(self.now_ms))

    def forget_sent(self) -> None:
        """Forgets what was sent, so that windows start now."""
        self.most.clear()
        self._sent_ms.clear()

    def lose_leader(self) -> None:
        """Ends the leadership; messages on their way may still arrive."""
        self.leader = None

    def start_entry(self, name: str) -> None:
        """Starts an entry, or starts it again after it was killed."""
        entry = SimulatedEntry(
            name,
            self._make_clock(),
            LeasedLimits(boot=self.rng.getrandbits(48)),
        )
        entry.limits.apply_sizes(self.sizes, entry.clock.at(self.now_ms))
        entry.poll_due_ms = self.now_ms + self.rng.uniform(0.0, POLL_MS)
        self.entries[name] = entry

    def resume(self, name: str) -> None:
        """Resumes an entry, which then handles what arrived meanwhile."""
        entry = self.entries[name]
        entry.is_suspended = False
        for notice in entry.inbox:
            self._apply(entry, *notice)
        entry.inbox.clear()

    def _send(self, kind: str, entry: SimulatedEntry, content: tuple) -> None:
        if self.rng.random() < self.loss:
            return
        at_ms = self.now_ms + self.rng.uniform(*DELAY_MS)
        if self.loss and self.rng.random() < self.loss:
            at_ms += self.rng.uniform(0.0, 3000.0)
        item = (at_ms, next(self._order), kind, entry, content)
        heapq.heappush(self._messages, item)

    def request(self, name: str, limit: str) -> None:
        """Lets a request of a limit arrive at an entry."""
        entry = self.entries[name]
        if entry.is_suspended:
            return
        now_ms = entry.clock.at(self.now_ms)
        if _spend(entry.limits, limit, now_ms) <= 0.0:
            self._record(limit)
        elif entry.limits.may_wait(limit, now_ms):
            entry.waiting.append(
                WaitingRequest(limit, now_ms + MAX_WAIT_MS, self.now_ms)
            )
            self._update_waiting(entry, {limit})
        else:
            self._refuse(limit)
        self._poll_if_due(entry)

    def _record(self, limit: str) -> None:
        self.sent[limit] += 1
        times_ms = self._sent_ms[limit]
        times_ms.append(self.now_ms)
        while times_ms[0] <= self.now_ms - BOUND_WINDOW_MS:
            times_ms.popleft()
        self.most[limit] = max(self.most[limit], len(times_ms))

    def _refuse(self, limit: str) -> None:
        self.refused[limit] += 1
        since_ms = self.now_ms - BOUND_WINDOW_MS
        sent = sum(at_ms > since_ms for at_ms in self._sent_ms[limit])
        self.refused_below[limit] += sent < self.allowed.get(limit, 0.0)

    def _update_waiting(self, entry: SimulatedEntry, limits: set[str]) -> None:
        for limit in limits:
            count = sum(request.limit == limit for request in entry.waiting)
            entry.limits.set_waiting(limit, count)

    def _serve_waiting(self, entry: SimulatedEntry) -> None:
        now_ms = entry.clock.at(self.now_ms)
        waiting, entry.waiting = entry.waiting, []
        for request in waiting:
            limit = request.limit
            if _spend(entry.limits, limit, now_ms, True) <= 0.0:
                self._record(limit)
                self.waited_ms.append(self.now_ms - request.arrived_ms)
            elif now_ms < request.until_ms and entry.limits.may_wait(
                limit, now_ms
            ):
                entry.waiting.append(request)
            else:
                self._refuse(limit)
        self._update_waiting(entry, {request.limit for request in waiting})

    def _poll_if_due(self, entry: SimulatedEntry) -> None:
        is_heard = self.now_ms - entry.heard_ms <= FEED_SILENCE_MS
        is_early = is_heard and entry.limits.is_early_poll_due(
            entry.clock.at(self.now_ms)
        )
        if self.now_ms < entry.poll_due_ms and not is_early:
            return
        entry.poll_due_ms = self.now_ms + (
            POLL_MS if is_heard else SILENT_POLL_MS
        )
        poll = entry.limits.make_poll(entry.clock.at(self.now_ms))
        if poll is not None and not entry.is_cut:
            self._send("poll", entry, (poll,))

    def advance(self, step_ms: float) -> None:
        """Lets time pass, in which messages arrive and polls are sent."""
        end_ms = self.now_ms + step_ms
        while self._messages and self._messages[0][0] <= end_ms:
            at_ms, _, kind, entry, content = heapq.heappop(self._messages)
            self.now_ms = max(self.now_ms, at_ms)
            if kind == "poll":
                self._deliver_poll(entry, *content)
            elif self.entries.get(entry.name) is entry and not entry.is_cut:
                if entry.is_suspended:
                    entry.inbox.append(content)
                else:
                    self._apply(entry, *content)
        self.now_ms = end_ms
        for entry in self.entries.values():
            if not entry.is_suspended:
                if entry.waiting:
                    self._serve_waiting(entry)
                self._poll_if_due(entry)

    def _deliver_poll(self, entry: SimulatedEntry, poll) -> None:
        if self.leader is None:
            return
        self.polls += 1
        now_ms = self.leader_clock.at(self.now_ms)
        notice = self.leader.on_poll(entry.name, poll, now_ms)
        if notice is not None:
            self._send("notice", entry, (notice, self.leader.term))
        for name, recall in self.leader.recalls.items():
            if name in self.entries:
                self._send(
                    "notice", self.entries[name], (recall, self.leader.term)
                )

    def _apply(self, entry: SimulatedEntry, notice, term: int) -> None:
        entry.heard_ms = self.now_ms
        entry.limits.apply_notice(notice, term, entry.clock.at(self.now_ms))
        if entry.waiting:
            self._serve_waiting(entry)
        self._poll_if_due(entry)

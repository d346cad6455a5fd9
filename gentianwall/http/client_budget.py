"""Limits what the clients of one process make it hold.

Load pattern: clients that are not trusted send many bodies of a legal size,
most of which never end, do not read their answers, or open many connections.
Without a common limit, each connection stays within its own limits, and all of
them together exhaust the memory or the descriptors of the process.

All listeners of a process share one budget. Each connection has an account,
which is charged before bytes are kept. The budget is divided by two bounds:

- Above the bound for large requests, connections that hold more than
  `SMALL_BYTES` have to wait. What is left is for ordinary small requests.
- Above the bound for all, connections are given up at once.

Given up are connections whose request is not complete or whose client does not
read, first those without progress, then by what their address holds; of one
address, those that can be refused before those that receive an answer. If there
are none, the connection that takes more gives up what it takes. A request that
runs at a server is not cut: what was received behind it is refused after its
answer. The exception is a client that does not read an earlier answer, if
nothing else is left. Idle connections are not closed, as they hold almost
nothing.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from itertools import islice

import attrs

# Requests up to this size, head included, are small. A single read from a
# socket has at most this many bytes.
SMALL_BYTES = 64 * 1024
# Objects and buffers of an open connection (1,800 slow heads took 6 MB), and
# two small requests with their answers, which are not charged separately: a
# charge for each request would take 1 % of its processor time.
CONNECTION_BYTES = 16 * 1024
# Part of the budget that only small requests use, and its most bytes.
SMALL_SHARE = 0.25
MAX_SMALL_RESERVE_BYTES = 8 * 1024 * 1024
# A client whose request or answer made no progress for this long is given up
# before others when memory is short.
STALL_MS = 1000.0
# Connections without a complete request that are compared to find the address
# with the most of them. A comparison of all would cost more than the accept.
COMPARED_CONNECTIONS = 64
# A connection without a complete request may be closed for a new one after
# this time, before idle ones are.
HEAD_GRACE_MS = 1000.0
# Connections that were given up are closed in the next turn of the reactor, or
# when their last answer has been sent. This many may be accepted beyond the
# limit meanwhile.
MAX_EXCESS_CONNECTIONS = 32


@attrs.frozen(kw_only=True)
class BudgetLimits:
    """Limits of a budget.

    Attributes:
        memory_bytes: Most bytes that all connections hold together.
        connections: Most open connections of clients.
        running_requests: Most requests that run at servers at the same time.
    """

    memory_bytes: int
    connections: int
    running_requests: int

    @property
    def large_bytes(self) -> int:
        """Held bytes above which large requests wait."""
        reserve = min(
            int(SMALL_SHARE * self.memory_bytes), MAX_SMALL_RESERVE_BYTES
        )
        return self.memory_bytes - reserve


def _nothing_refusable() -> int:
    """Returns no bytes."""
    return 0


def _refuse_nothing() -> None:
    """Refuses nothing."""


@attrs.define(eq=False, kw_only=True)
class Account:
    """What one connection holds.

    Attributes:
        address: Address of the client.
        give_up: Refuses or closes the connection, which keeps no bytes of
            the client from then on. The argument tells whether memory is
            short; otherwise another connection needs the descriptor.
        resume: Continues to read after the connection had to wait.
        refusable_bytes: Returns the bytes that `refuse_unfinished` releases.
        refuse_unfinished: Refuses and releases what was received of requests
            that are not complete, after the answers to those that are.
        held_bytes: Bytes that are charged.
        progress_ms: When the client last sent or read something.
        is_blocked_by_client: Whether a request is incomplete or an answer is
            not read.
        is_serving: Whether a complete request is not answered yet.
        running_requests: Requests of the connection that run at servers.
        is_proven: Whether the connection had a complete request.
        is_waiting: Whether the connection waits for memory.
        is_given_up: Whether `give_up` was called.
        is_closed: Whether the connection is lost.
    """

    address: str
    give_up: Callable[[bool], None]
    resume: Callable[[], None]
    refusable_bytes: Callable[[], int] = _nothing_refusable
    refuse_unfinished: Callable[[], None] = _refuse_nothing
    held_bytes: int = 0
    progress_ms: float = 0.0
    is_blocked_by_client: bool = False
    is_serving: bool = False
    running_requests: int = 0
    is_proven: bool = False
    is_waiting: bool = False
    is_given_up: bool = False
    is_closed: bool = False


class ClientBudget:
    """Bytes and connections of all clients of one process.

    Attributes:
        limits: The limits.
        held_bytes: Bytes that all connections hold.
        running_requests: Requests that run at servers.
        answer_bytes: Bytes of answers that are being received from servers.
    """

    def __init__(self, limits: BudgetLimits):
        self.limits = limits
        self.held_bytes = 0
        self.running_requests = 0
        self.answer_bytes = 0
        self._accounts: set[Account] = set()
        self._held_by_address: dict[str, int] = {}
        self._connections_by_address: dict[str, int] = {}
        self._nearly_full_requests = limits.running_requests / 2
        # Connections that never had a complete request, with the time when
        # they were opened, and the others; both in this order.
        self._unproven: dict[Account, float] = {}
        self._proven: dict[Account, None] = {}
        self._waiting: dict[Account, None] = {}
        self._is_giving_up = False
        self._closing_connections = 0

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._accounts)

    @property
    def waiting_connections(self) -> int:
        """Connections that wait for memory."""
        return len(self._waiting)

    @property
    def is_short(self) -> bool:
        """Whether large requests have to wait."""
        return self.used_bytes > self.limits.large_bytes

    @property
    def is_exceeded(self) -> bool:
        """Whether more is held than the budget allows."""
        return self.used_bytes > self.limits.memory_bytes

    @property
    def used_bytes(self) -> int:
        """Bytes that connections hold and that servers have answered."""
        return self.held_bytes + self.answer_bytes

    @property
    def is_nearly_full(self) -> bool:
        """Whether each connection may run only one request at a time."""
        return self.running_requests >= self._nearly_full_requests

    @property
    def is_full(self) -> bool:
        """Whether no further request may run."""
        return self.running_requests >= self.limits.running_requests

    @contextlib.contextmanager
    def account(
        self,
        address: str,
        now_ms: float,
        give_up: Callable[[bool], None],
        resume: Callable[[], None],
        refusable_bytes: Callable[[], int] = _nothing_refusable,
        refuse_unfinished: Callable[[], None] = _refuse_nothing,
    ) -> Iterator[Account]:
        """Holds the account of a connection for as long as it is open."""
        account = Account(
            address=address,
            give_up=give_up,
            resume=resume,
            refusable_bytes=refusable_bytes,
            refuse_unfinished=refuse_unfinished,
            progress_ms=now_ms,
        )
        self._accounts.add(account)
        self._unproven[account] = now_ms
        counts = self._connections_by_address
        counts[address] = counts.get(address, 0) + 1
        self._held_by_address.setdefault(address, 0)
        self.charge(account, CONNECTION_BYTES)
        try:
            yield account
        finally:
            self._accounts.discard(account)
            self._unproven.pop(account, None)
            self._proven.pop(account, None)
            self.stop_waiting(account)
            self._closing_connections -= account.is_given_up
            self.charge(account, -account.held_bytes)
            account.is_closed = True
            counts[address] -= 1
            if not counts[address]:
                del counts[address], self._held_by_address[address]

    def make_room(self, now_ms: float) -> bool:
        """Makes room for one more connection, by closing another if needed.

        Returns:
            Whether the new connection may be accepted.
        """
        limit = self.limits.connections
        self.reclaim_from_blocked(now_ms, CONNECTION_BYTES)
        open_connections = len(self._accounts) - self._closing_connections
        if open_connections < limit and self._has_room(CONNECTION_BYTES):
            return True
        if len(self._accounts) >= limit + MAX_EXCESS_CONNECTIONS:
            return False
        victim = self._find_connection_to_close(now_ms)
        if victim is None:
            return False
        self._give_up(victim, is_memory_short=False)
        return self._has_room(CONNECTION_BYTES)

    def _has_room(self, size_bytes: int) -> bool:
        return self.used_bytes + size_bytes <= self.limits.memory_bytes

    def _find_connection_to_close(self, now_ms: float) -> Account | None:
        oldest_ms = next(iter(self._unproven.values()), now_ms)
        is_unproven_due = (
            now_ms - oldest_ms >= HEAD_GRACE_MS
            or len(self._unproven) > self.limits.connections // 4
        )
        idle = self._idle_connections()
        orders = [self._unproven, idle] if is_unproven_due else [idle]
        for order in [*orders, self._unproven]:
            candidates = [
                account
                for account in islice(order, COMPARED_CONNECTIONS)
                if not account.is_given_up
            ]
            if candidates:
                return max(
                    candidates,
                    key=lambda account: (
                        self._connections_by_address[account.address],
                        -account.progress_ms,
                    ),
                )
        return None

    def _idle_connections(self) -> Iterator[Account]:
        """Yields connections without a request, the oldest ones first."""
        for account in self._proven:
            if not account.is_serving and not account.is_blocked_by_client:
                yield account

    def prove(self, account: Account) -> None:
        """Records that a connection had a complete request."""
        account.is_proven = True
        if self._unproven.pop(account, None) is not None:
            self._proven[account] = None

    def charge(self, account: Account, size_bytes: int) -> None:
        """Charges bytes to a connection, or releases them if negative.

        If the budget is exceeded, clients that block a connection are given
        up, or else what this connection takes.
        Nothing is charged to a connection that was given up or is lost: it
        keeps nothing.
        """
        if account.is_given_up or account.is_closed:
            return
        account.held_bytes += size_bytes
        self.held_bytes += size_bytes
        self._held_by_address[account.address] += size_bytes
        if size_bytes > 0:
            if self.is_exceeded:
                self._give_up_over_limit(account)
        elif self._waiting and not self.is_short:
            self._resume_all()

    def charge_answer(
        self, account: Account, size_bytes: int, now_ms: float
    ) -> bool:
        """Charges bytes of an answer if there is room, and returns whether.

        Clients that block a connection are given up for it.
        """
        self.reclaim_from_blocked(now_ms, size_bytes)
        if not self._has_room(size_bytes):
            return False
        self.charge(account, size_bytes)
        return True

    def reserve(self, account: Account, size_bytes: int, now_ms: float) -> bool:
        """Charges bytes if there is room, and returns whether there was.

        Only clients that make no progress are given up for it.
        """
        self.reclaim(size_bytes, now_ms)
        if not self._has_room(size_bytes):
            return False
        self.charge(account, size_bytes)
        return True

    def reclaim(self, size_bytes: int, now_ms: float) -> None:
        """Makes room by giving up clients that make no progress."""
        while not self._has_room(size_bytes):
            victim = self._find_victim(now_ms)
            if victim is None or not self._is_stalled(victim, now_ms):
                return
            self._release(victim)

    def set_memory(self, memory_bytes: int, now_ms: float) -> None:
        """Changes how much all connections may hold together.

        Connections that hold complete requests keep what they hold.
        """
        self.limits = attrs.evolve(self.limits, memory_bytes=memory_bytes)
        self.reclaim_from_blocked(now_ms)
        if self._waiting and not self.is_short:
            self._resume_all()

    def reclaim_from_blocked(self, now_ms: float, size_bytes: int = 0) -> None:
        """Gives up clients that hold a part of a request or do not read."""
        while not self._has_room(size_bytes):
            victim = self._find_victim(now_ms)
            if victim is None:
                return
            self._release(victim)

    @staticmethod
    def _is_stalled(account: Account, now_ms: float) -> bool:
        return (
            account.is_blocked_by_client
            and not account.is_waiting
            and account.held_bytes > SMALL_BYTES
            and now_ms - account.progress_ms >= STALL_MS
        )

    def must_wait(self, account: Account) -> bool:
        """Returns whether a connection may not read further for now."""
        return self.is_short and account.held_bytes > SMALL_BYTES

    def start_waiting(self, account: Account) -> None:
        """Records that a connection waits until `resume` is called."""
        if not account.is_closed and not account.is_given_up:
            account.is_waiting = True
            self._waiting[account] = None

    def stop_waiting(self, account: Account) -> None:
        """Records that a connection does not wait any more."""
        account.is_waiting = False
        self._waiting.pop(account, None)

    def end_wait(self, now_ms: float) -> None:
        """Ends the waits, or gives up a connection while memory is short.

        Called when a connection waited for too long.
        """
        if not self.is_short:
            self._resume_all()
            return
        victim = self._find_victim(now_ms)
        if victim is not None:
            self._release(victim)

    def _resume_all(self) -> None:
        waiting = list(self._waiting)
        self._waiting.clear()
        for account in waiting:
            account.is_waiting = False
            account.resume()

    def _give_up_over_limit(self, account: Account) -> None:
        if self._is_giving_up:
            # Refusing a connection may charge bytes to it.
            return
        self._is_giving_up = True
        try:
            self.reclaim_from_blocked(account.progress_ms)
            while self.is_exceeded and not account.is_given_up:
                self._release(account)
        finally:
            self._is_giving_up = False

    def _find_victim(self, now_ms: float) -> Account | None:
        """Returns the client whose bytes are released first, if any.

        No request that runs at a server is cut for it.
        """

        def cost(account: Account) -> tuple:
            return (
                account.is_blocked_by_client,
                self._is_stalled(account, now_ms),
                self._held_by_address[account.address],
                not account.is_serving,
                account.held_bytes,
            )

        candidates = [a for a in self._accounts if self._is_candidate(a)]
        return max(candidates, key=cost, default=None)

    @staticmethod
    def _is_candidate(account: Account) -> bool:
        if account.is_given_up:
            return False
        if account.is_blocked_by_client and not account.running_requests:
            return True
        return (
            account.is_serving and account.refusable_bytes() >= CONNECTION_BYTES
        )

    def _release(self, account: Account) -> None:
        """Refuses what was not received completely, or gives up the client."""
        if account.is_serving and account.refusable_bytes() > 0:
            account.refuse_unfinished()
        else:
            self._give_up(account)

    def _give_up(self, account: Account, is_memory_short: bool = True) -> None:
        self.stop_waiting(account)
        self.charge(account, -account.held_bytes)
        account.is_given_up = True
        self._closing_connections += 1
        account.give_up(is_memory_short)

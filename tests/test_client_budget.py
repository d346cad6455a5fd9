"""Tests of the budget that limits what all clients of a process hold."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentianwall.http.client_budget import (
    CONNECTION_BYTES,
    SMALL_BYTES,
    BudgetLimits,
    ClientBudget,
)
from gentianwall.runtime.process_limits import adapt_budget, make_budget

MIB = 1024 * 1024
LIMITS = BudgetLimits(
    memory_bytes=16 * MIB, connections=20, running_requests=10
)


class Connections:
    """Opens connections and records what the budget decides."""

    def __init__(self):
        self.budget = ClientBudget(LIMITS)
        self.given_up = []
        self.resumed = []
        self.now_ms = 0.0
        self.stacks = []

    def open(self, address, held_bytes=0, is_blocked=True):
        """Opens a connection; returns its account."""
        stack = contextlib.ExitStack()
        index = len(self.stacks)
        account = stack.enter_context(
            self.budget.account(
                address,
                self.now_ms,
                lambda is_memory_short: self.given_up.append(index),
                lambda: self.resumed.append(index),
            )
        )
        self.stacks.append(stack)
        account.is_blocked_by_client = is_blocked
        self.budget.charge(account, held_bytes)
        return account

    def close(self):
        """Closes all connections."""
        for stack in self.stacks:
            stack.close()


# A path that keeps a charge would use up the budget for good.
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["open", "charge", "release", "close", "serve"]),
            st.integers(0, 30),
            st.integers(0, 9 * MIB),
        ),
        max_size=60,
    )
)
def test_the_budget_holds_its_bound_and_returns_to_zero(steps):
    connections = Connections()
    budget = connections.budget
    accounts = []
    for step, index, size in steps:
        connections.now_ms += 100.0
        if step == "open" and budget.make_room(connections.now_ms):
            accounts.append(connections.open(f"10.0.0.{index % 3}"))
        if not accounts:
            continue
        account = accounts[index % len(accounts)]
        if step == "charge":
            budget.charge(account, size)
        elif step == "release":
            budget.charge(account, -min(size, account.held_bytes))
        elif step == "serve":
            budget.prove(account)
            account.is_serving = bool(size % 2)
            if budget.must_wait(account):
                budget.start_waiting(account)
        elif step == "close":
            connections.stacks[accounts.index(account)].close()
        assert 0 <= budget.used_bytes <= LIMITS.memory_bytes
    connections.close()
    assert budget.used_bytes == budget.connections == 0
    assert budget.waiting_connections == 0
    assert budget._held_by_address == {}
    assert budget._connections_by_address == {}
    assert not budget._unproven and not budget._proven
    assert budget._closing_connections == 0


# One address with many bodies must not take the place of another's single one.
def test_the_address_that_holds_most_is_given_up_first():
    connections = Connections()
    connections.open("10.0.0.1", 6 * MIB)
    for _ in range(4):
        connections.open("10.0.0.2", 2 * MIB)
    connections.open("10.0.0.3", 3 * MIB)
    assert connections.given_up and set(connections.given_up) <= {1, 2, 3, 4}


# Requests that run are not ended while a client holds a part of one.
def test_a_running_request_is_given_up_last():
    connections = Connections()
    connections.open("10.0.0.1", 9 * MIB, is_blocked=False)
    connections.open("10.0.0.2", 4 * MIB)
    connections.open("10.0.0.3", 5 * MIB, is_blocked=False)
    assert connections.given_up == [1]


def _serve(account):
    account.is_serving = True
    account.running_requests = 1


# Requests that ran at servers were cut for what another connection sent.
def test_what_grows_is_given_up_before_a_request_that_runs():
    connections = Connections()
    for _ in range(3):
        account = connections.open("10.0.0.1", 5 * MIB, is_blocked=False)
        connections.budget.prove(account)
        _serve(account)
    for _ in range(4):
        idle = connections.open("10.0.0.2", is_blocked=False)
        connections.budget.prove(idle)
    connections.open("10.0.0.3", 2 * MIB, is_blocked=False)
    assert connections.given_up == [7]


# A wait for memory must not end a request that runs.
def test_a_wait_ends_without_a_request_that_runs_being_cut():
    connections = Connections()
    _serve(connections.open("10.0.0.1", 13 * MIB, is_blocked=False))
    waiting = connections.open("10.0.0.2", 2 * MIB)
    connections.budget.start_waiting(waiting)
    connections.budget.end_wait(3000.0)
    assert connections.given_up == [1]


# Opening a connection must not cut a request that runs, nor raise.
@pytest.mark.parametrize("has_idle", [False, True])
def test_no_connection_is_accepted_while_requests_that_run_hold_all(has_idle):
    connections = Connections()
    budget = connections.budget
    if has_idle:
        idle = connections.open("10.0.0.2", is_blocked=False)
        budget.prove(idle)
    serving = connections.open("10.0.0.1", is_blocked=False)
    budget.prove(serving)
    _serve(serving)
    budget.charge(serving, LIMITS.memory_bytes - budget.used_bytes)
    assert budget.make_room(connections.now_ms) == has_idle
    assert connections.given_up == [0] * has_idle


# What is left above the bound for large requests is for small ones.
def test_large_requests_wait_and_small_ones_do_not():
    connections = Connections()
    large = connections.open("10.0.0.1", 13 * MIB)
    small = connections.open("10.0.0.1", SMALL_BYTES - CONNECTION_BYTES)
    budget = connections.budget
    assert budget.must_wait(large) and not budget.must_wait(small)
    budget.start_waiting(large)
    budget.charge(large, -6 * MIB)
    assert connections.resumed == [0]


def test_a_wait_ends_with_the_stalled_client_given_up():
    connections = Connections()
    budget = connections.budget
    stalled = connections.open("10.0.0.1", 5 * MIB)
    active = connections.open("10.0.0.1", 8 * MIB)
    connections.now_ms = active.progress_ms = 2000.0
    budget.start_waiting(active)
    budget.end_wait(connections.now_ms)
    assert connections.given_up == [0]
    assert stalled.held_bytes == 0
    assert connections.resumed == [1]


# Room made by the answers of servers did not end a wait.
def test_a_wait_ends_when_answers_have_left():
    connections = Connections()
    budget = connections.budget
    account = connections.open("10.0.0.1", 5 * MIB)
    budget.answer_bytes = 10 * MIB
    assert budget.must_wait(account)
    budget.start_waiting(account)
    budget.answer_bytes = 0
    budget.end_wait(3000.0)
    assert connections.resumed == [0] and not connections.given_up


# Slow heads must not keep new connections out, nor idle ones be closed first.
def test_a_new_connection_replaces_the_oldest_without_a_request():
    connections = Connections()
    budget = connections.budget
    idle = connections.open("10.0.0.9")
    budget.prove(idle)
    for _ in range(LIMITS.connections - 1):
        connections.open("10.0.0.1")
    assert budget.make_room(connections.now_ms)
    assert connections.given_up == [1]


def test_no_connection_is_accepted_while_all_serve():
    connections = Connections()
    budget = connections.budget
    for _ in range(LIMITS.connections):
        account = connections.open("10.0.0.1")
        budget.prove(account)
        account.is_serving = True
    assert not budget.make_room(connections.now_ms)


# The budget did not look at what a process takes without clients.
def test_a_budget_shrinks_by_what_the_process_takes_beyond_its_base():
    budget = make_budget(152.0, 1535)
    whole_bytes = budget.limits.memory_bytes
    for resident_mb, share_mb in [(45, 97), (75, 77), (140, 12), (75, 77)]:
        adapt_budget(budget, 152.0, resident_mb, 0.0)
        limit_mb = budget.limits.memory_bytes / 1_000_000
        assert abs(limit_mb - max(8.0, 0.9 * share_mb)) < 0.01
    adapt_budget(budget, 152.0, 200, 0.0)
    assert budget.limits.memory_bytes == 8_000_000
    adapt_budget(budget, 152.0, 45, 0.0)
    assert budget.limits.memory_bytes == whole_bytes


def test_a_smaller_budget_gives_up_clients_that_hold_parts_of_requests():
    connections = Connections()
    connections.open("10.0.0.1", 5 * MIB)
    connections.open("10.0.0.2", 5 * MIB, is_blocked=False)
    connections.budget.set_memory(4 * MIB, 0.0)
    assert connections.given_up == [0]
    connections.close()
    assert connections.budget.held_bytes == 0


def test_connections_that_wait_read_on_when_the_budget_grows():
    connections = Connections()
    account = connections.open("10.0.0.1", 7 * MIB)
    connections.budget.set_memory(8 * MIB, 0.0)
    connections.budget.start_waiting(account)
    connections.budget.set_memory(8 * MIB, 0.0)
    assert connections.resumed == []
    connections.budget.set_memory(16 * MIB, 0.0)
    assert connections.resumed == [0]
    connections.close()

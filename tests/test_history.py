"""Tests that the history checker finds violations of linearizability."""

from __future__ import annotations

import pytest

from harness.history import Operation, OperationResult, find_violations

LINEARIZABLE_HISTORY = [
    Operation(OperationResult.ACCEPTED, 0, 1, 1, 0, "a"),
    Operation(OperationResult.READ, 2, 3, 1),
    Operation(OperationResult.ACCEPTED, 4, 8, 2, 1, "b"),
    Operation(OperationResult.CONFLICT, 5, 9, 2, 1, "c"),
    Operation(OperationResult.READ, 4.5, 8.5, 1),
    Operation(OperationResult.UNKNOWN, 9, 10, 0, 2, "d"),
    Operation(OperationResult.ACCEPTED, 9, 12, 3, 2, "d"),
    Operation(OperationResult.ACCEPTED, 13, 14, 3, 2, "d"),
]


def test_a_linearizable_history_has_no_violations():
    assert find_violations(LINEARIZABLE_HISTORY) == []


@pytest.mark.parametrize(
    ("extra_operation", "message_part"),
    [
        (Operation(OperationResult.READ, 20, 21, 2), "read saw version 2"),
        (
            Operation(OperationResult.ACCEPTED, 20, 21, 3, 2, "e"),
            "accepted twice",
        ),
        (
            Operation(OperationResult.ACCEPTED, 20, 21, 4, 3, "b"),
            "applied twice",
        ),
        (Operation(OperationResult.ACCEPTED, 20, 21, 5, 3, "f"), "over base 3"),
        (
            Operation(OperationResult.CONFLICT, 20, 21, 3, 3, "g"),
            "the same version",
        ),
        (
            Operation(OperationResult.CONFLICT, 20, 21, 2, 1, "h"),
            "conflict saw",
        ),
    ],
)
def test_each_kind_of_violation_is_found(extra_operation, message_part):
    violations = find_violations([*LINEARIZABLE_HISTORY, extra_operation])
    assert any(message_part in violation for violation in violations), (
        violations
    )

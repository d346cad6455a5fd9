"""Checks histories of concurrent operators for linearizability.

The configuration is a register changed by compare-and-set. Every accepted
change and every read carries the version that it observed, so the only
possible order of the operations is that of their versions. A history is
linearizable if this order has no gaps and no duplicates and respects real
time.
"""

from __future__ import annotations

import enum

import attrs


class OperationResult(enum.Enum):
    """How an operation ended; unknown if its answer was lost."""

    ACCEPTED = "accepted"
    READ = "read"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


@attrs.frozen
class Operation:
    """One operation of one client.

    Attributes:
        result: How it ended.
        start_s: When it was sent.
        end_s: When its answer was received.
        version: The version accepted, read or reported by the conflict.
        base_version: The version that the change is based on.
        change_id: The id of the change; resends have the same.
    """

    result: OperationResult
    start_s: float
    end_s: float
    version: int = 0
    base_version: int = 0
    change_id: str = ""


def find_violations(history: list[Operation]) -> list[str]:
    """Returns a message for each violation of linearizability."""
    return (
        _find_duplicates(history)
        + _find_wrong_bases(history)
        + _find_stale_versions(history)
        + _find_spurious_conflicts(history)
    )


def _accepted_operations(history: list[Operation]) -> list[Operation]:
    return [op for op in history if op.result is OperationResult.ACCEPTED]


def _find_duplicates(history: list[Operation]) -> list[str]:
    change_by_version: dict[int, str] = {}
    version_by_change: dict[str, int] = {}
    found = []
    for op in _accepted_operations(history):
        if (
            change_by_version.setdefault(op.version, op.change_id)
            != op.change_id
        ):
            found.append(f"version {op.version} was accepted twice")
        if version_by_change.setdefault(op.change_id, op.version) != op.version:
            found.append(f"change {op.change_id} was applied twice")
    return found


def _find_wrong_bases(history: list[Operation]) -> list[str]:
    return [
        f"version {op.version} was accepted over base {op.base_version}"
        for op in _accepted_operations(history)
        if op.version != op.base_version + 1
    ]


def _find_stale_versions(history: list[Operation]) -> list[str]:
    """Finds operations that observed an older version than earlier ones.

    An operation is earlier if it ended before the other began. A change must
    get a higher version than earlier operations observed, unless it is the
    resend of an earlier change, which gets that change's version.
    """
    found = []
    completed = [
        op for op in history if op.result is not OperationResult.UNKNOWN
    ]
    for later in completed:
        for earlier in completed:
            if earlier.end_s >= later.start_s:
                continue
            minimum_version = earlier.version
            is_resend = earlier.change_id and (
                earlier.change_id == later.change_id
            )
            if later.result is OperationResult.ACCEPTED and not is_resend:
                minimum_version += 1
            if not is_resend and later.version < minimum_version:
                found.append(
                    f"{later.result.value} saw version {later.version} after "
                    f"{earlier.version} was known"
                )
    return found


def _find_spurious_conflicts(history: list[Operation]) -> list[str]:
    return [
        f"a conflict over base {op.base_version} reports the same version"
        for op in history
        if op.result is OperationResult.CONFLICT
        and op.version == op.base_version
    ]

"""Checks histories of concurrent operators for linearizability.

The configuration is a register changed by compare-and-set. Every accepted
change and every read carries the version it saw, so the only possible order
of the operations is that of their versions. A history is linearizable when
this order has no gaps, no doubles and respects real time.
"""

from __future__ import annotations

import enum

import attrs


class Kind(enum.Enum):
    """What an operation did."""

    ACCEPTED = "accepted"
    READ = "read"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


@attrs.frozen
class Operation:
    """One operation of one client.

    Attributes:
        kind: How it ended.
        start_s: When it was sent.
        end_s: When its answer came.
        version: The version accepted, read, or named by the conflict.
        base_version: The version that the change was made for.
        change_id: The change.
    """

    kind: Kind
    start_s: float
    end_s: float
    version: int = 0
    base_version: int = 0
    change_id: str = ""


def find_violations(history: list[Operation]) -> list[str]:
    """Returns everything that no linearizable register could have done."""
    return (
        _find_doubles(history)
        + _find_wrong_bases(history)
        + _find_time_travel(history)
        + _find_needless_conflicts(history)
    )


def _accepted(history: list[Operation]) -> list[Operation]:
    return [op for op in history if op.kind is Kind.ACCEPTED]


def _find_doubles(history: list[Operation]) -> list[str]:
    owners: dict[int, str] = {}
    versions: dict[str, int] = {}
    found = []
    for op in _accepted(history):
        if owners.setdefault(op.version, op.change_id) != op.change_id:
            found.append(f"version {op.version} was accepted twice")
        if versions.setdefault(op.change_id, op.version) != op.version:
            found.append(f"change {op.change_id} was applied twice")
    return found


def _find_wrong_bases(history: list[Operation]) -> list[str]:
    return [
        f"version {op.version} was accepted over base {op.base_version}"
        for op in _accepted(history)
        if op.version != op.base_version + 1
    ]


def _find_time_travel(history: list[Operation]) -> list[str]:
    """Finds operations that saw less than was known before they began."""
    found = []
    seen = [op for op in history if op.kind is not Kind.UNKNOWN]
    for later in seen:
        for earlier in seen:
            if earlier.end_s >= later.start_s:
                continue
            least = earlier.version
            is_resend = earlier.change_id and (
                earlier.change_id == later.change_id
            )
            if later.kind is Kind.ACCEPTED and not is_resend:
                least += 1
            if not is_resend and later.version < least:
                found.append(
                    f"{later.kind.value} saw version {later.version} after "
                    f"{earlier.version} was known"
                )
    return found


def _find_needless_conflicts(history: list[Operation]) -> list[str]:
    return [
        f"a conflict over base {op.base_version} names the same version"
        for op in history
        if op.kind is Kind.CONFLICT and op.version == op.base_version
    ]

"""Serializes the register for snapshots.

Claims are by far the largest part of the register. They are encoded as plain
rows, a limited number at a time: encoding may run in a thread beside the
reactor and must not block it for long.

Everything else is stored under the names of its fields, and results of
changes with the names of their classes. Renaming one of these makes stored
snapshots unreadable.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice

import attrs
import cattrs
import msgpack
from cattrs.preconf.msgpack import make_converter
from cattrs.strategies import configure_tagged_union

from gentianwall.claims.commands import ClaimKey, CommandResult, Outcome
from gentianwall.claims.register import ClaimRecord, RegisterState

CLAIMS_PER_PART = 500

_converter: cattrs.Converter = make_converter()
configure_tagged_union(CommandResult, _converter, tag_name="_")


@attrs.frozen
class _SerializedRegister:
    """A serialized register.

    Attributes:
        rest: The register without its claims.
        claim_parts: Encoded lists of claim rows.
    """

    rest: RegisterState
    claim_parts: list[bytes]


def encode_register(state: RegisterState) -> bytes:
    """Serializes the register."""
    parts = list(_encode_claims(state))
    rest = attrs.evolve(state, claims={})
    return _converter.dumps(_SerializedRegister(rest, parts))


def decode_register(data: bytes) -> RegisterState:
    """Restores a register from the bytes that `encode_register` returned."""
    serialized = _converter.loads(data, _SerializedRegister)
    state = serialized.rest
    for part in serialized.claim_parts:
        for row in msgpack.unpackb(part):
            key, record = _claim_from_row(row)
            state.claims[key] = record
    return state


def _encode_claims(state: RegisterState) -> Iterator[bytes]:
    rows = (_claim_to_row(key, record) for key, record in state.claims.items())
    while part := list(islice(rows, CLAIMS_PER_PART)):
        yield msgpack.packb(part)


def _claim_to_row(key: ClaimKey, record: ClaimRecord) -> tuple:
    outcome = record.outcome
    return (
        key.service,
        key.caller,
        key.key,
        record.request_hash,
        record.token,
        record.at_ms,
        record.is_released,
        None if outcome is None else attrs.astuple(outcome),
    )


def _claim_from_row(row: list) -> tuple[ClaimKey, ClaimRecord]:
    service, caller, key, request_hash, token, at_ms, is_released, fields = row
    outcome = None if fields is None else Outcome(*fields)
    record = ClaimRecord(request_hash, token, at_ms, outcome, is_released)
    return ClaimKey(service, caller, key), record

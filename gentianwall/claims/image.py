"""The register as bytes, for snapshots.

Claims are by far the most of it, so they are packed as plain rows, a part at
a time: packing may run beside the reactor and must not hold it up for long.
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
class _Image:
    """Everything but the claims, and the claims in parts."""

    rest: RegisterState
    claim_parts: list[bytes]


def encode_register(state: RegisterState) -> bytes:
    """Packs the register."""
    parts = list(_pack_claims(state))
    rest = attrs.evolve(state, claims={})
    return _converter.dumps(_Image(rest, parts))


def decode_register(data: bytes) -> RegisterState:
    """Unpacks what `encode_register` gave."""
    image = _converter.loads(data, _Image)
    state = image.rest
    for part in image.claim_parts:
        for row in msgpack.unpackb(part):
            key, record = _claim_of(row)
            state.claims[key] = record
    return state


def _pack_claims(state: RegisterState) -> Iterator[bytes]:
    rows = (_row_of(key, record) for key, record in state.claims.items())
    while part := list(islice(rows, CLAIMS_PER_PART)):
        yield msgpack.packb(part)


def _row_of(key: ClaimKey, record: ClaimRecord) -> tuple:
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


def _claim_of(row: list) -> tuple[ClaimKey, ClaimRecord]:
    service, caller, key, request_hash, token, at_ms, released, kept = row
    outcome = None if kept is None else Outcome(*kept)
    record = ClaimRecord(request_hash, token, at_ms, outcome, released)
    return ClaimKey(service, caller, key), record

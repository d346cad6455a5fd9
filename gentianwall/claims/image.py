"""The register as bytes, for snapshots."""

from __future__ import annotations

import attrs
import cattrs
from cattrs.preconf.msgpack import make_converter
from cattrs.strategies import configure_tagged_union

from gentianwall.claims.commands import ClaimKey, CommandResult
from gentianwall.claims.register import (
    ChangeRecord,
    ClaimRecord,
    DeclarationVersion,
    RegisterState,
    Suspect,
)

_converter: cattrs.Converter = make_converter()
configure_tagged_union(CommandResult, _converter, tag_name="_")


@attrs.frozen
class _ClaimImage:
    claim: ClaimKey
    record: ClaimRecord


@attrs.frozen
class _RegisterImage:
    now_ms: int
    declarations: list[DeclarationVersion]
    changes: dict[str, ChangeRecord]
    claims: list[_ClaimImage]
    suspects: dict[str, Suspect]
    quarantines: dict[str, int]
    quarantine_version: int
    claim_retention_ms: int
    quarantine_ms: int
    forgotten_before_ms: int


def encode_register(state: RegisterState) -> bytes:
    """Packs the register."""
    claims = [_ClaimImage(key, rec) for key, rec in state.claims.items()]
    image = _RegisterImage(
        now_ms=state.now_ms,
        declarations=state.declarations,
        changes=state.changes,
        claims=claims,
        suspects=state.suspects,
        quarantines=state.quarantines,
        quarantine_version=state.quarantine_version,
        claim_retention_ms=state.claim_retention_ms,
        quarantine_ms=state.quarantine_ms,
        forgotten_before_ms=state.forgotten_before_ms,
    )
    return _converter.dumps(image)


def decode_register(data: bytes) -> RegisterState:
    """Unpacks what `encode_register` gave."""
    image = _converter.loads(data, _RegisterImage)
    return RegisterState(
        now_ms=image.now_ms,
        declarations=image.declarations,
        changes=image.changes,
        claims={item.claim: item.record for item in image.claims},
        suspects=image.suspects,
        quarantines=image.quarantines,
        quarantine_version=image.quarantine_version,
        claim_retention_ms=image.claim_retention_ms,
        quarantine_ms=image.quarantine_ms,
        forgotten_before_ms=image.forgotten_before_ms,
    )

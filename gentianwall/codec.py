"""Packs and unpacks typed values as msgpack, by way of cattrs."""

from __future__ import annotations

from typing import Any, TypeVar, get_args

import attrs
from cattrs.preconf.msgpack import make_converter
from cattrs.strategies import configure_tagged_union

from gentianwall.claims.commands import Command, CommandResult
from gentianwall.replication.messages import ReplicationMessage

T = TypeVar("T")

TAG = "_"


@attrs.frozen
class Malformed:
    """Bytes that are not the value they should be."""

    reason: str


converter = make_converter()
configure_tagged_union(Command, converter, tag_name=TAG)
configure_tagged_union(CommandResult, converter, tag_name=TAG)
configure_tagged_union(ReplicationMessage, converter, tag_name=TAG)


def register_union(union: Any) -> None:
    """Teaches the codec a union of attrs classes, told apart by name."""
    assert get_args(union)
    configure_tagged_union(union, converter, tag_name=TAG)


def pack(value: Any, kind: Any) -> bytes:
    """Packs a value of the type `kind`."""
    return converter.dumps(value, unstructure_as=kind)


def unpack(data: bytes, kind: type[T]) -> T | Malformed:
    """Unpacks a value of the type `kind`, checking its form."""
    try:
        return converter.loads(data, kind)
    except Exception as error:  # noqa: BLE001 - any bytes may come
        return Malformed(f"{type(error).__name__}: {error}")

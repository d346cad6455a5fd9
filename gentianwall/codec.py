"""Packs and unpacks typed values as msgpack, by way of cattrs.

An attrs class becomes the row of its fields, and a member of a union the pair
of its place in the union and its row. Names are not sent: a message of the
log's heartbeat would be three times as long. A change of any class or union
therefore needs a new protocol version or a new journal.
"""

from __future__ import annotations

from typing import Any, TypeVar, get_args

import attrs
from cattrs import UnstructureStrategy
from cattrs.preconf.msgpack import make_converter

from gentianwall.claims.commands import Command, CommandResult
from gentianwall.replication.messages import ReplicationMessage

T = TypeVar("T")


@attrs.frozen
class Malformed:
    """Bytes that are not the value they should be."""

    reason: str


_resolved: set[type] = set()
converter = make_converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)


def register_union(union: Any) -> None:
    """Teaches the codec a union of attrs classes, told apart by place."""
    classes = get_args(union)
    _resolve(union)
    places = {cls: place for place, cls in enumerate(classes)}

    def unstructure(value: Any) -> tuple:
        cls = type(value)
        return places[cls], converter.unstructure(value, cls)

    def structure(pair: Any, _: Any) -> Any:
        place, row = pair
        return converter.structure(row, classes[place])

    converter.register_unstructure_hook(union, unstructure)
    converter.register_structure_hook(union, structure)


def _resolve(kind: Any) -> None:
    """Replaces annotations that are texts, in a type and all it holds."""
    if attrs.has(kind) and kind not in _resolved:
        _resolved.add(kind)
        attrs.resolve_types(kind)
        for field in attrs.fields(kind):
            _resolve(field.type)
    for inner in get_args(kind):
        _resolve(inner)


for known_union in (Command, CommandResult, ReplicationMessage):
    register_union(known_union)


def pack(value: Any, kind: Any) -> bytes:
    """Packs a value of the type `kind`."""
    _resolve(kind)
    return converter.dumps(value, unstructure_as=kind)


def unpack(data: bytes, kind: type[T]) -> T | Malformed:
    """Unpacks a value of the type `kind`, checking its form."""
    _resolve(kind)
    try:
        return converter.loads(data, kind)
    except Exception as error:  # noqa: BLE001 - any bytes may come
        return Malformed(f"{type(error).__name__}: {error}")

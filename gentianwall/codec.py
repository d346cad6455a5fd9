"""Serializes typed values as msgpack with cattrs.

An attrs class is encoded as the array of its fields, and a member of a union
as a pair of its index in the union and that array. Names are not encoded: they
would make a heartbeat message of the replicated log three times as long.
Therefore a change to any of these classes or unions needs a new protocol
version or a new journal.

Load pattern: a configuration of thousands of routes is decoded once for each
change in the journal when a process starts, and once by each entry. So the
functions for the fields of a class are looked up once, not for each value.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar, get_args

import attrs
from cattrs import UnstructureStrategy
from cattrs.preconf.msgpack import make_converter

from gentianwall.claims.commands import Command, CommandResult
from gentianwall.replication.messages import ReplicationMessage

T = TypeVar("T")


@attrs.frozen
class Malformed:
    """Reports that bytes could not be decoded as the expected type."""

    reason: str


_resolved_classes: set[type] = set()
converter = make_converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)


# Types whose values are decoded by calling the type itself, as cattrs does.
_CALLED_TYPES = (int, float, str)


def _make_unstructure(cls: type) -> Callable[[Any], tuple]:
    """Returns a function that encodes values of an attrs class as rows."""
    writers: list[tuple[str, Callable]] = []

    def unstructure(value: Any) -> tuple:
        if not writers:
            # Looked up at the first use, since a class may refer to itself.
            writers.extend(
                (field.name, converter.get_unstructure_hook(field.type))
                for field in attrs.fields(cls)
            )
        return tuple([write(getattr(value, name)) for name, write in writers])

    return unstructure


def _make_structure(cls: type) -> Callable[[Any, Any], Any]:
    """Returns a function that decodes values of an attrs class from rows."""
    readers: list[Callable] = []

    def structure(row: Any, _: Any) -> Any:
        if not readers:
            readers.extend(
                _make_reader(field.type) for field in attrs.fields(cls)
            )
        # Fields that a row lacks at its end take their defaults.
        values = zip(readers, row, strict=False)
        return cls(*[read(value) for read, value in values])

    return structure


def _make_reader(field_type: Any) -> Callable[[Any], Any]:
    if field_type in _CALLED_TYPES:
        return field_type
    hook = converter.get_structure_hook(field_type)
    return lambda value: hook(value, field_type)


converter.register_unstructure_hook_factory(attrs.has, _make_unstructure)
converter.register_structure_hook_factory(attrs.has, _make_structure)


def register_union(union: Any) -> None:
    """Registers a union of attrs classes, encoded by their index in it."""
    classes = get_args(union)
    _resolve_annotations(union)
    indexes = {cls: index for index, cls in enumerate(classes)}

    def unstructure(value: Any) -> tuple:
        cls = type(value)
        return indexes[cls], converter.unstructure(value, cls)

    def structure(pair: Any, _: Any) -> Any:
        index, row = pair
        return converter.structure(row, classes[index])

    converter.register_unstructure_hook(union, unstructure)
    converter.register_structure_hook(union, structure)


def _resolve_annotations(value_type: Any) -> None:
    """Resolves string annotations in a type and, recursively, its fields."""
    if attrs.has(value_type) and value_type not in _resolved_classes:
        _resolved_classes.add(value_type)
        attrs.resolve_types(value_type)
        for field in attrs.fields(value_type):
            _resolve_annotations(field.type)
    for argument in get_args(value_type):
        _resolve_annotations(argument)


for known_union in (Command, CommandResult, ReplicationMessage):
    register_union(known_union)


def pack(value: Any, value_type: Any) -> bytes:
    """Encodes a value of the type `value_type`."""
    _resolve_annotations(value_type)
    return converter.dumps(value, unstructure_as=value_type)


def unpack(data: bytes, value_type: type[T]) -> T | Malformed:
    """Decodes a value of the type `value_type`, or reports it as malformed."""
    _resolve_annotations(value_type)
    try:
        return converter.loads(data, value_type)
    except Exception as error:  # noqa: BLE001 - input may be arbitrary
        return Malformed(f"{type(error).__name__}: {error}")

"""Decodes the heartbeats and deregistrations of the platform's servers."""

from __future__ import annotations

import math
from typing import Any

import attrs

from gentianwall.config.settings import Address, parse_address
from gentianwall.http.documents import UnreadableDocument, decode_document
from gentianwall.membership.messages import ServerKey, ServerNotice

# Replicas store 64-bit integers and JSON integers are unbounded: a larger one
# would raise an OverflowError when it is encoded for the journal.
MAX_INTEGER = 2**62
STATE_BY_WIRE_NAME = {"ready": "up", "draining": "draining"}


@attrs.frozen
class Announcement:
    """A decoded heartbeat.

    Attributes:
        notice: Announced state of the server.
        sequence: Increases with each announcement of an incarnation.
        warmup_ms: Remaining warm-up time of the server.
    """

    notice: ServerNotice
    sequence: int
    warmup_ms: float


@attrs.frozen
class Deregistration:
    """A decoded deregistration.

    Attributes:
        server: Name of the server.
        incarnation: Incarnation to deregister; 0 if the message has none,
            which stands for the registered one.
    """

    server: str
    incarnation: int


@attrs.frozen
class InvalidAnnouncement:
    """Explains why a heartbeat or a deregistration is refused."""

    reason: str


def decode_heartbeat(
    server: str, body: bytes
) -> Announcement | InvalidAnnouncement:
    """Decodes a heartbeat.

    All decoded fields are required, except `born` and `warmupLeftMs`, which
    default to 0.
    """
    table = decode_document(body)
    if isinstance(table, UnreadableDocument):
        return InvalidAnnouncement(table.reason)
    for key, expected_type in (
        ("service", str),
        ("address", str),
        ("zone", str),
        ("state", str),
        ("maxConcurrency", int),
        ("sequence", int),
    ):
        if not _is_valid(table.get(key), expected_type):
            return InvalidAnnouncement(
                f"{key} must be a valid {expected_type.__name__}"
            )
    if table["state"] not in STATE_BY_WIRE_NAME:
        return InvalidAnnouncement(f"unknown state {table['state']!r}")
    address = parse_address(table["address"])
    if not isinstance(address, Address):
        return InvalidAnnouncement(f"address {address.reason}")
    # `born` is the Unix time in ms at which the server started.
    incarnation = table.get("born", 0)
    if not _is_valid(incarnation, int) or incarnation < 0:
        return InvalidAnnouncement("born must be an integer from 0 to 2**62")
    warmup_ms = table.get("warmupLeftMs", 0)
    is_number = isinstance(warmup_ms, int | float)
    is_number = is_number and not isinstance(warmup_ms, bool)
    if not is_number or not math.isfinite(warmup_ms):
        return InvalidAnnouncement("warmupLeftMs must be a finite number")
    if not server or not table["service"] or table["maxConcurrency"] < 1:
        return InvalidAnnouncement(
            "server and service must not be empty, maxConcurrency at least 1"
        )
    notice = ServerNotice(
        key=ServerKey(table["service"], server),
        host=address.host,
        port=address.port,
        slots=table["maxConcurrency"],
        failure_domain=table["zone"],
        incarnation=incarnation,
        state=STATE_BY_WIRE_NAME[table["state"]],
    )
    return Announcement(notice, table["sequence"], float(warmup_ms))


def decode_deregistration(
    server: str, body: bytes
) -> Deregistration | InvalidAnnouncement:
    """Decodes a deregistration; its body may be empty."""
    if not server:
        return InvalidAnnouncement("query parameter `of` must name a server")
    if not body.strip():
        return Deregistration(server, 0)
    table = decode_document(body)
    if isinstance(table, UnreadableDocument):
        return InvalidAnnouncement(table.reason)
    incarnation = table.get("born", 0)
    if not _is_valid(incarnation, int) or incarnation < 0:
        return InvalidAnnouncement("born must be an integer from 0 to 2**62")
    return Deregistration(server, incarnation)


def _is_valid(value: Any, expected_type: type) -> bool:
    """Returns whether a value has the type and, if an integer, is in range."""
    if expected_type is int:
        return type(value) is int and abs(value) <= MAX_INTEGER
    return isinstance(value, expected_type)

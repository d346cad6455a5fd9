"""Decodes the heartbeats and deregistrations of the platform's servers."""

from __future__ import annotations

from typing import Any

import attrs

from gentianwall.config.settings import Address, parse_address
from gentianwall.http.documents import UnreadableDocument, decode_document
from gentianwall.membership.messages import (
    MAX_SLOTS,
    ServerKey,
    ServerNotice,
    is_name,
)
from gentianwall.routing.reports import MAX_WARMUP_MS

# Replicas store 64-bit integers, and JSON integers are unbounded.
MAX_SEQUENCE = 2**62
# The year 2100 in Unix ms. A later start than any real one would replace the
# server of the same name for good.
MAX_INCARNATION = 4_102_444_800_000
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

    All fields are required, except `born`, which defaults to 0. A heartbeat
    with another value than a server can have may come from another writer. It
    must not register a server, nor replace the one of that name.
    """
    table = decode_document(body)
    if isinstance(table, UnreadableDocument):
        return InvalidAnnouncement(table.reason)
    problem = _find_problem(server, table)
    if problem:
        return InvalidAnnouncement(problem)
    address = parse_address(table["address"])
    if not isinstance(address, Address):
        return InvalidAnnouncement(f"address {address.reason}")
    notice = ServerNotice(
        key=ServerKey(table["service"], server),
        host=address.host,
        port=address.port,
        slots=table["maxConcurrency"],
        failure_domain=table["zone"],
        incarnation=table.get("born", 0),
        state=STATE_BY_WIRE_NAME[table["state"]],
    )
    return Announcement(notice, table["sequence"], float(table["warmupLeftMs"]))


def _find_problem(server: str, table: dict[str, Any]) -> str:
    """Returns why a heartbeat names no server; empty if it does."""
    if not is_name(server):
        return "query parameter `of` must name a server"
    for key in ("service", "zone", "version"):
        value = table.get(key)
        if not isinstance(value, str) or not is_name(value):
            return f"{key} must be a short text"
    if not isinstance(table.get("address"), str):
        return "address must be a text"
    state = table.get("state")
    if not isinstance(state, str) or state not in STATE_BY_WIRE_NAME:
        return "state must be one of " + ", ".join(STATE_BY_WIRE_NAME)
    for key, minimum, maximum in (
        ("maxConcurrency", 1, MAX_SLOTS),
        ("sequence", 0, MAX_SEQUENCE),
        ("warmupLeftMs", 0, MAX_WARMUP_MS),
    ):
        value = table.get(key)
        is_number = type(value) is int or (
            type(value) is float and key == "warmupLeftMs"
        )
        if not is_number or not minimum <= value <= maximum:
            return f"{key} must be a number from {minimum} to {maximum}"
    return _find_incarnation_problem(table)


def _find_incarnation_problem(table: dict[str, Any]) -> str:
    # `born` is the Unix time in ms at which the server started.
    incarnation = table.get("born", 0)
    if type(incarnation) is int and 0 <= incarnation <= MAX_INCARNATION:
        return ""
    return f"born must be an integer from 0 to {MAX_INCARNATION}"


def decode_deregistration(
    server: str, body: bytes
) -> Deregistration | InvalidAnnouncement:
    """Decodes a deregistration; its body may be empty."""
    if not is_name(server):
        return InvalidAnnouncement("query parameter `of` must name a server")
    if not body.strip():
        return Deregistration(server, 0)
    table = decode_document(body)
    if isinstance(table, UnreadableDocument):
        return InvalidAnnouncement(table.reason)
    problem = _find_incarnation_problem(table)
    if problem:
        return InvalidAnnouncement(problem)
    return Deregistration(server, table.get("born", 0))

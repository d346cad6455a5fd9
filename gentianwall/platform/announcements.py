"""The platform's servers: what they say of themselves."""

from __future__ import annotations

import json
import math
from typing import Any

import attrs

from gentianwall.config.settings import Address, parse_address
from gentianwall.membership.messages import ServerKey, ServerNotice

# What a replica can store; JSON has no bound of its own.
MAX_WHOLE = 2**62
STATES = {"ready": "up", "draining": "draining"}


@attrs.frozen
class Announcement:
    """A server's heartbeat, decoded."""

    notice: ServerNotice
    sequence: int
    warmup_ms: float


@attrs.frozen
class Departure:
    """A server's farewell; incarnation 0 where it names none."""

    server: str
    incarnation: int


@attrs.frozen
class BadAnnouncement:
    """An announcement that names no server to use."""

    reason: str


def decode_heartbeat(
    server: str, body: bytes
) -> Announcement | BadAnnouncement:
    """Reads a heartbeat; every field must be there and of its type."""
    try:
        table = json.loads(body)
    except (ValueError, RecursionError) as error:
        return BadAnnouncement(str(error))
    if not isinstance(table, dict):
        return BadAnnouncement("must be an object")
    for key, kind in (
        ("service", str),
        ("address", str),
        ("zone", str),
        ("state", str),
        ("maxConcurrency", int),
        ("sequence", int),
    ):
        if not _is(table.get(key), kind):
            return BadAnnouncement(f"{key} must be {kind.__name__}")
    if table["state"] not in STATES:
        return BadAnnouncement(f"unknown state {table['state']!r}")
    address = parse_address(table["address"])
    if not isinstance(address, Address):
        return BadAnnouncement(f"address {address.reason}")
    # `born` is the Unix millisecond of the server's start.
    incarnation = table.get("born", 0)
    if not _is(incarnation, int) or incarnation < 0:
        return BadAnnouncement("born must be a whole number")
    warmup_ms = table.get("warmupLeftMs", 0)
    is_number = isinstance(warmup_ms, int | float)
    is_number = is_number and not isinstance(warmup_ms, bool)
    if not is_number or not math.isfinite(warmup_ms):
        return BadAnnouncement("warmupLeftMs must be a finite number")
    if not server or not table["service"] or table["maxConcurrency"] < 1:
        return BadAnnouncement("names no server to use")
    notice = ServerNotice(
        key=ServerKey(table["service"], server),
        host=address.host,
        port=address.port,
        slots=table["maxConcurrency"],
        failure_domain=table["zone"],
        incarnation=incarnation,
        state=STATES[table["state"]],
    )
    return Announcement(notice, table["sequence"], float(warmup_ms))


def decode_departure(server: str, body: bytes) -> Departure | BadAnnouncement:
    """Reads a farewell; its body may be empty."""
    if not server:
        return BadAnnouncement("names no server")
    if not body.strip():
        return Departure(server, 0)
    try:
        table = json.loads(body)
    except (ValueError, RecursionError) as error:
        return BadAnnouncement(str(error))
    incarnation = table.get("born", 0) if isinstance(table, dict) else 0
    if not _is(incarnation, int) or incarnation < 0:
        return BadAnnouncement("born must be a whole number")
    return Departure(server, incarnation)


def _is(value: Any, kind: type) -> bool:
    if kind is int:
        return type(value) is int and abs(value) <= MAX_WHOLE
    return isinstance(value, kind)

"""Servers announce themselves over HTTP.

`PUT /gentianwall/v1/services/SERVICE/servers/ID` announces and, repeated,
renews the lease; `DELETE` leaves.
"""

from __future__ import annotations

import ipaddress
import json
import re
from collections.abc import Callable

import attrs

from gentianwall.core.effects import AcceptAnnouncement, RefuseAnnouncement
from gentianwall.core.events import EntryEvent, ServerAnnounced
from gentianwall.http.channel import CallerRequest
from gentianwall.http.problems import plain_problem
from gentianwall.http.tokens import is_server_allowed
from gentianwall.membership.messages import ServerKey, ServerNotice
from gentianwall.timers import monotonic_ms

PATH = re.compile(
    r"/gentianwall/v1/services/([A-Za-z0-9._-]{1,64})"
    r"/servers/([A-Za-z0-9._:-]{1,128})"
)
MAX_SLOTS = 10_000


@attrs.frozen
class BadAnnouncement:
    """What is wrong with an announcement."""

    problems: tuple[str, ...]


class AnnouncementDesk:
    """Answers servers.

    Args:
        token_folder: Folder with a token file per service, or empty.
        handle: Takes an event to the core, which answers at once.
    """

    def __init__(self, token_folder: str, handle: Callable[[EntryEvent], None]):
        self._token_folder = token_folder
        self._handle = handle
        self._waiting: CallerRequest | None = None

    def handle_request(self, request: CallerRequest) -> None:
        """Answers an announcement."""
        key = key_of(request.path)
        if key is None:
            request.answer_problem(plain_problem(404, "no such page"))
            return
        if request.method not in (b"PUT", b"DELETE"):
            request.answer_problem(plain_problem(405, "use PUT or DELETE"))
            return
        given = request.header(b"Authorization")
        if not is_server_allowed(self._token_folder, key.service, given):
            request.answer_problem(plain_problem(401, "wrong token"))
            return
        notice = parse_announcement(key, request)
        if isinstance(notice, BadAnnouncement):
            problem = plain_problem(
                400, "bad announcement", problems=list(notice.problems)
            )
            request.answer_problem(problem)
            return
        self._waiting = request
        self._handle(ServerAnnounced(monotonic_ms(), notice))

    def finish(self, effect: AcceptAnnouncement | RefuseAnnouncement) -> None:
        """Answers the announcement that the core has just decided."""
        request = self._waiting
        self._waiting = None
        if request is None:
            return
        match effect:
            case AcceptAnnouncement():
                content = {
                    "lease_ms": effect.lease_ms,
                    "heartbeat_ms": effect.lease_ms / 3,
                    "declared": effect.is_declared,
                }
                body = json.dumps(content).encode()
                headers = [(b"Content-Type", b"application/json")]
                request.answer(200, headers, body)
            case RefuseAnnouncement():
                problem = plain_problem(
                    409,
                    effect.reason,
                    known_incarnation=effect.incarnation,
                )
                request.answer_problem(problem)


def key_of(path: bytes) -> ServerKey | None:
    """Returns the server that a path names, or nothing."""
    match = PATH.fullmatch(path.decode("latin-1"))
    return ServerKey(match[1], match[2]) if match else None


def read_sequence(request: CallerRequest) -> int | BadAnnouncement:
    """Reads the count of announcements, by which late ones are told.

    The body was read by `parse_announcement` before.
    """
    sequence = json.loads(request.body).get("sequence")
    if not _is_whole(sequence, 0, 2**62):
        reason = "sequence must be a whole number, 0 or more"
        return BadAnnouncement((reason,))
    return sequence


def parse_announcement(
    key: ServerKey, request: CallerRequest
) -> ServerNotice | BadAnnouncement:
    """Reads what a server says of itself, or all that is wrong with it."""
    is_leaving = request.method == b"DELETE"
    if is_leaving and not request.body:
        # Without a body the last known incarnation leaves.
        return ServerNotice(key, "", 0, 0, "", -1, "left")
    try:
        content = json.loads(request.body)
    except ValueError as error:
        return BadAnnouncement((f"not JSON: {error}",))
    if not isinstance(content, dict):
        return BadAnnouncement(("must be a JSON object",))
    problems = _check(content, is_leaving)
    if problems:
        return BadAnnouncement(tuple(problems))
    return ServerNotice(
        key=key,
        host=content.get("address", ""),
        port=content.get("port", 0),
        slots=content.get("slots", 1),
        failure_domain=content.get("failure_domain", ""),
        incarnation=content["incarnation"],
        state="left" if is_leaving else content.get("state", "up"),
    )


def _check(content: dict, is_leaving: bool) -> list[str]:
    problems = []
    if not _is_whole(content.get("incarnation"), 0, 2**62):
        problems.append("incarnation must be a whole number, 0 or more")
    if is_leaving:
        return problems
    try:
        ipaddress.ip_address(content.get("address", ""))
    except ValueError:
        problems.append("address must be an IP number")
    if not _is_whole(content.get("port"), 1, 65535):
        problems.append("port must be a whole number from 1 to 65535")
    if not _is_whole(content.get("slots"), 1, MAX_SLOTS):
        problems.append(f"slots must be a whole number from 1 to {MAX_SLOTS}")
    if not isinstance(content.get("failure_domain", ""), str):
        problems.append("failure_domain must be a text")
    if content.get("state", "up") not in ("up", "draining"):
        problems.append("state must be up or draining")
    return problems


def _is_whole(value: object, least: int, most: int) -> bool:
    return type(value) is int and least <= value <= most

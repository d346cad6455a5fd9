"""HTTP interface by which servers register at an entry.

`PUT /gentianwall/v1/services/SERVICE/servers/ID` registers a server and, when
repeated, renews its lease; `DELETE` deregisters it.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable

import attrs

from gentianwall.core.effects import AcceptAnnouncement, RefuseAnnouncement
from gentianwall.core.events import EntryEvent, ServerAnnounced
from gentianwall.http.channel import CallerRequest
from gentianwall.http.documents import UnreadableDocument, decode_document
from gentianwall.http.problems import plain_problem
from gentianwall.http.tokens import is_server_authorized
from gentianwall.membership.messages import (
    MAX_SLOTS,
    ServerKey,
    ServerNotice,
    is_name,
)
from gentianwall.timers import monotonic_ms
from gentianwall.utils.addresses import is_ip_address

SERVER_PATH = re.compile(
    r"/gentianwall/v1/services/([A-Za-z0-9._-]{1,64})"
    r"/servers/([A-Za-z0-9._:-]{1,128})"
)


@attrs.frozen
class InvalidAnnouncement:
    """An announcement that cannot be used, with all its problems."""

    problems: tuple[str, ...]


class AnnouncementHandler:
    """Answers the announcements of servers.

    Args:
        token_folder: Folder with one token file per service; empty allows
            any server.
        handle: Handles an event in the reducer and performs its effects,
            including the call of `finish`, before it returns.
    """

    def __init__(self, token_folder: str, handle: Callable[[EntryEvent], None]):
        self._token_folder = token_folder
        self._handle = handle
        self._pending_request: CallerRequest | None = None

    def handle_request(self, request: CallerRequest) -> None:
        """Validates an announcement and passes it to the reducer."""
        key = parse_server_path(request.path)
        if key is None:
            request.answer_problem(plain_problem(404, "no such page"))
            return
        if request.method not in (b"PUT", b"DELETE"):
            request.answer_problem(plain_problem(405, "use PUT or DELETE"))
            return
        authorization = request.header(b"Authorization")
        if not is_server_authorized(
            self._token_folder, key.service, authorization
        ):
            request.answer_problem(plain_problem(401, "wrong token"))
            return
        notice = parse_announcement(key, request)
        if isinstance(notice, InvalidAnnouncement):
            problem = plain_problem(
                400, "bad announcement", problems=list(notice.problems)
            )
            request.answer_problem(problem)
            return
        self._pending_request = request
        self._handle(ServerAnnounced(monotonic_ms(), notice))

    def finish(self, effect: AcceptAnnouncement | RefuseAnnouncement) -> None:
        """Answers the pending announcement with the reducer's decision."""
        request = self._pending_request
        self._pending_request = None
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


def parse_server_path(path: bytes) -> ServerKey | None:
    """Returns the server named in a path, or None for another path."""
    match = SERVER_PATH.fullmatch(path.decode("latin-1"))
    return ServerKey(match[1], match[2]) if match else None


def read_sequence(request: CallerRequest) -> int | InvalidAnnouncement:
    """Reads the sequence number, by which late announcements are detected.

    The body must have passed `parse_announcement`.
    """
    content = decode_document(request.body)
    assert not isinstance(content, UnreadableDocument)
    sequence = content.get("sequence")
    if not _is_integer_in_range(sequence, 0, 2**62):
        reason = "sequence must be a non-negative integer"
        return InvalidAnnouncement((reason,))
    return sequence


def parse_announcement(
    key: ServerKey, request: CallerRequest
) -> ServerNotice | InvalidAnnouncement:
    """Parses an announcement; returns all problems if it is invalid."""
    is_deregistration = request.method == b"DELETE"
    if is_deregistration and not request.body:
        # Without a body the last known incarnation is deregistered.
        return ServerNotice(key, "", 0, 0, "", -1, "left")
    content = decode_document(request.body)
    if isinstance(content, UnreadableDocument):
        return InvalidAnnouncement((f"body: {content.reason}",))
    problems = _find_problems(content, is_deregistration)
    if problems:
        return InvalidAnnouncement(tuple(problems))
    if is_deregistration:
        incarnation = content["incarnation"]
        return ServerNotice(key, "", 0, 0, "", incarnation, "left")
    return ServerNotice(
        key=key,
        host=content["address"],
        port=content["port"],
        slots=content["slots"],
        failure_domain=content.get("failure_domain", ""),
        incarnation=content["incarnation"],
        state=content.get("state", "up"),
    )


def _find_problems(content: dict, is_deregistration: bool) -> list[str]:
    problems = []
    if not _is_integer_in_range(content.get("incarnation"), 0, 2**62):
        problems.append("incarnation must be a non-negative integer")
    if is_deregistration:
        return problems
    address = content.get("address")
    if not isinstance(address, str) or not is_ip_address(address):
        problems.append("address must be an IP address")
    if not _is_integer_in_range(content.get("port"), 1, 65535):
        problems.append("port must be an integer from 1 to 65535")
    if not _is_integer_in_range(content.get("slots"), 1, MAX_SLOTS):
        problems.append(f"slots must be an integer from 1 to {MAX_SLOTS}")
    domain = content.get("failure_domain", "")
    if not isinstance(domain, str) or (domain and not is_name(domain)):
        problems.append("failure_domain must be a short text")
    if content.get("state", "up") not in ("up", "draining"):
        problems.append('state must be "up" or "draining"')
    return problems


def _is_integer_in_range(value: object, minimum: int, maximum: int) -> bool:
    return type(value) is int and minimum <= value <= maximum

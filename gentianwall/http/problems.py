"""Refusals and errors as problem+json (RFC 9457)."""

from __future__ import annotations

import json
import math

import attrs

from gentianwall.core.refusals import Refusal

CONTENT_TYPE = b"application/problem+json"


@attrs.frozen
class Problem:
    """Status, body and headers of a problem+json answer."""

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...]


def render_refusal(refusal: Refusal, request_id: str) -> Problem:
    """Renders a refusal for a caller.

    Args:
        refusal: The refusal.
        request_id: Id of the request; empty if it is unknown.
    """
    content = {
        "type": f"urn:gentianwall:refusal:{refusal.reason.name.lower()}",
        "title": refusal.reason.value,
        "status": refusal.status,
        "executed": refusal.executed.value,
        "request_id": request_id,
    }
    headers = [(b"Gentianwall-Executed", refusal.executed.value.encode())]
    if request_id:
        headers.append((b"Gentianwall-Request-Id", request_id.encode()))
    if refusal.detail:
        content["detail"] = refusal.detail
    if refusal.retry_after_ms > 0:
        content["retry_after_ms"] = round(refusal.retry_after_ms, 1)
        seconds = max(1, math.ceil(refusal.retry_after_ms / 1000.0))
        headers.append((b"Retry-After", str(seconds).encode()))
    return Problem(refusal.status, json.dumps(content).encode(), tuple(headers))


def plain_problem(status: int, title: str, **details) -> Problem:
    """Renders an error that is not the refusal of a call."""
    content = {"type": "about:blank", "title": title, "status": status}
    content.update(details)
    return Problem(status, json.dumps(content).encode(), ())

"""Tests that unreadable announcements of servers are refused."""

from __future__ import annotations

import json
import types

import pytest

from gentianwall.http.announcements import (
    InvalidAnnouncement,
    parse_announcement,
)
from gentianwall.membership.messages import ServerKey, ServerNotice

KEY = ServerKey("orders", "i-1")
CONTENT = {
    "address": "127.0.0.1",
    "port": 80,
    "slots": 2,
    "failure_domain": "pa",
    "incarnation": 7,
}


def _parse(body, method=b"PUT"):
    request = types.SimpleNamespace(method=method, body=body)
    return parse_announcement(KEY, request)


def test_a_complete_announcement_is_parsed():
    notice = _parse(json.dumps(CONTENT).encode())
    assert notice == ServerNotice(KEY, "127.0.0.1", 80, 2, "pa", 7, "up")


@pytest.mark.parametrize(
    "body",
    [
        json.dumps(CONTENT).encode().replace(b"pa", b"\xed\xa0\xbd"),
        json.dumps(CONTENT).encode().replace(b"pa", b"\\ud83d"),
        json.dumps(CONTENT).encode().replace(b'"pa"', b"[" * 100_000),
        b"",
        b"[]",
        b"\xff",
    ],
)
@pytest.mark.parametrize("method", [b"PUT", b"DELETE"])
def test_an_unreadable_announcement_is_refused(body, method):
    if not body and method == b"DELETE":
        body = b" "
    assert isinstance(_parse(body, method), InvalidAnnouncement)

"""The operators' pages: a small twisted.web resource tree."""

from __future__ import annotations

import json
from collections.abc import Callable

import attrs
from twisted.web import resource, server

from gentianwall.http.problems import CONTENT_TYPE
from gentianwall.http.tokens import is_bearer

MAX_DECLARATION_BYTES = 4 * 1024 * 1024


@attrs.frozen
class Page:
    """One page.

    Attributes:
        path: Its path.
        method: Its method.
        answer: Answers the request; may do so later.
        is_open: Whether it needs no token.
    """

    path: str
    method: str
    answer: Callable[[server.Request], None]
    is_open: bool = False


class OperatorPages(resource.Resource):
    """Finds the page of a request and checks the token."""

    isLeaf = True

    def __init__(self, pages: list[Page], token: bytes):
        super().__init__()
        self._pages = {(page.method, page.path): page for page in pages}
        self._token = token

    def render(self, request: server.Request):
        """Answers a request."""
        path = request.path.decode("latin-1")
        method = request.method.decode("latin-1")
        page = self._pages.get((method, path))
        if page is None:
            send_json(request, 404, {"title": "no such page", "status": 404})
        elif not page.is_open and not self._is_allowed(request):
            send_json(request, 401, {"title": "wrong token", "status": 401})
        else:
            page.answer(request)
        return server.NOT_DONE_YET

    def _is_allowed(self, request: server.Request) -> bool:
        given = request.getHeader(b"Authorization") or b""
        return is_bearer(self._token, given.decode("latin-1"))


def send_json(request: server.Request, status: int, content: object) -> None:
    """Sends JSON; an error as problem+json."""
    request.setResponseCode(status)
    kind = CONTENT_TYPE if status >= 400 else b"application/json"
    request.setHeader(b"Content-Type", kind)
    request.write(json.dumps(content).encode())
    request.finish()


def send_text(request: server.Request, status: int, text: bytes) -> None:
    """Sends plain text."""
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", b"text/plain; charset=utf-8")
    request.write(text)
    request.finish()

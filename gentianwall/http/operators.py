"""HTTP pages for operators, as one twisted.web resource."""

from __future__ import annotations

import json
from collections.abc import Callable

import attrs
from twisted.web import resource, server

from gentianwall.http.problems import CONTENT_TYPE
from gentianwall.http.tokens import has_bearer_token

MAX_DECLARATION_BYTES = 4 * 1024 * 1024


@attrs.frozen
class Page:
    """A page of the operators' interface.

    Attributes:
        path: Path of the page.
        method: HTTP method.
        answer: Answers a request, at once or later.
        is_public: Whether it is served without a token.
    """

    path: str
    method: str
    answer: Callable[[server.Request], None]
    is_public: bool = False


class OperatorPages(resource.Resource):
    """Resource that checks the token and dispatches requests to pages."""

    isLeaf = True

    def __init__(self, pages: list[Page], token: bytes):
        super().__init__()
        self._pages = {(page.method, page.path): page for page in pages}
        self._token = token

    def render(self, request: server.Request):
        """Passes a request to its page, or answers 404 or 401."""
        path = request.path.decode("latin-1")
        method = request.method.decode("latin-1")
        page = self._pages.get((method, path))
        if page is None:
            send_json(request, 404, {"title": "no such page", "status": 404})
        elif not page.is_public and not self._is_authorized(request):
            send_json(request, 401, {"title": "wrong token", "status": 401})
        else:
            page.answer(request)
        return server.NOT_DONE_YET

    def _is_authorized(self, request: server.Request) -> bool:
        authorization = request.getHeader(b"Authorization") or b""
        return has_bearer_token(self._token, authorization.decode("latin-1"))


def send_json(request: server.Request, status: int, content: object) -> None:
    """Sends JSON; with status 400 and above as problem+json."""
    request.setResponseCode(status)
    content_type = CONTENT_TYPE if status >= 400 else b"application/json"
    request.setHeader(b"Content-Type", content_type)
    request.write(json.dumps(content).encode())
    request.finish()


def send_text(request: server.Request, status: int, text: bytes) -> None:
    """Sends plain text."""
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", b"text/plain; charset=utf-8")
    request.write(text)
    request.finish()

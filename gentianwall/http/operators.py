"""HTTP pages for operators, as one twisted.web resource."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Callable

import attrs
from twisted.protocols import policies
from twisted.web import resource, server

from gentianwall.http.channel import Misuse, MisuseReport
from gentianwall.http.client_budget import ClientBudget
from gentianwall.http.problems import CONTENT_TYPE
from gentianwall.http.tokens import has_bearer_token
from gentianwall.timers import monotonic_ms

MAX_DECLARATION_BYTES = 4 * 1024 * 1024
# Bodies of more than 100 kB are kept in a file by twisted, smaller ones in
# memory.
MAX_MEMORY_BODY_BYTES = 100_000
# Time without data, and time for a whole request and its answer. Declarations
# are confirmed within seconds.
IDLE_TIMEOUT_S = 15.0
CONNECTION_TIMEOUT_S = 120.0


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


class OperatorRequest(server.Request):
    """A request whose body is limited to the largest declaration."""

    _received_bytes = 0

    def gotLength(self, length) -> None:
        """Refuses a body over the limit."""
        super().gotLength(length)
        if length is not None and length > MAX_DECLARATION_BYTES:
            self._refuse()

    def handleContentChunk(self, data) -> None:
        """Adds a chunk to the body, or refuses a body over the limit."""
        self._received_bytes += len(data)
        if self._received_bytes > MAX_DECLARATION_BYTES:
            self._refuse()
        else:
            super().handleContentChunk(data)

    def _refuse(self) -> None:
        self.transport.write(
            b"HTTP/1.1 413 Request Entity Too Large\r\n"
            b"Content-Length: 0\r\nConnection: close\r\n\r\n"
        )
        self.transport.loseConnection()


class _OperatorConnection(policies.ProtocolWrapper):
    """A connection of an operator that has an account in the budget."""

    def makeConnection(self, transport) -> None:
        """Opens the account."""
        self._resources = contextlib.ExitStack()
        address = transport.getPeer().host
        self._account = self._resources.enter_context(
            self.factory.budget.account(
                address, monotonic_ms(), self._give_up, lambda: None
            )
        )
        self._address = address
        self._timeout_call = self.factory.call_later(
            CONNECTION_TIMEOUT_S, self._on_timeout
        )
        super().makeConnection(transport)
        self._account.is_blocked_by_client = True
        # This connection may be given up for it, so that it must be complete.
        self.factory.budget.charge(self._account, MAX_MEMORY_BODY_BYTES)

    def _give_up(self, is_memory_short: bool) -> None:
        misuse = Misuse.MEMORY if is_memory_short else Misuse.CONNECTIONS
        self.factory.report_misuse(misuse, self._address, 0)
        self.transport.abortConnection()

    def _on_timeout(self) -> None:
        self._timeout_call = None
        self.transport.abortConnection()

    def connectionLost(self, reason) -> None:
        """Closes the account."""
        if self._timeout_call is not None:
            self._timeout_call.cancel()
            self._timeout_call = None
        self._resources.close()
        super().connectionLost(reason)


class OperatorSite(policies.WrappingFactory):
    """Serves operators' pages within the budget of the process.

    Args:
        pages: The pages.
        budget: What all clients of the process hold.
        report_misuse: Called when a client is closed.
        call_later: Schedules a call after a number of seconds.
    """

    protocol = _OperatorConnection
    noisy = False

    def __init__(
        self,
        pages: OperatorPages,
        budget: ClientBudget,
        report_misuse: MisuseReport,
        call_later: Callable,
    ):
        site = server.Site(
            pages, requestFactory=OperatorRequest, timeout=IDLE_TIMEOUT_S
        )
        super().__init__(site)
        self.budget = budget
        self.report_misuse = report_misuse
        self.call_later = call_later

    def buildProtocol(self, addr):
        """Creates the protocol of one connection; None closes it."""
        if not self.budget.make_room(monotonic_ms()):
            self.report_misuse(Misuse.CONNECTIONS, addr.host, 0)
            return None
        return super().buildProtocol(addr)


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

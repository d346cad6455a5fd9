"""HTTP client for the operators' API of the instances."""

from __future__ import annotations

import http.client
import json
import urllib.error
import urllib.request
from typing import BinaryIO

import attrs

from gentianwall.http.answer_head import AnswerHead

TIMEOUT_S = 5.0


@attrs.frozen
class Reply:
    """Status and JSON content of an instance's answer."""

    status: int
    content: dict


@attrs.frozen
class Unreachable:
    """No usable answer was received; `reason` says why."""

    reason: str


@attrs.frozen
class OperatorClient:
    """Sends a request to the instances in turn until one handles it.

    An instance that answers with status 503 or not at all does not handle it.
    If none does, the result of the last instance is returned.

    Attributes:
        addresses: Operators' addresses of the instances, as IP:PORT.
        token: Bearer token; empty if none is sent.
    """

    addresses: tuple[str, ...]
    token: str = ""

    def get(self, path: str) -> Reply | Unreachable:
        """Sends a GET to the instances in turn until one handles it."""
        return self._request_any("GET", path, None, {})

    def post(
        self, path: str, body: bytes, headers: dict[str, str]
    ) -> Reply | Unreachable:
        """Sends a POST to the instances in turn until one handles it."""
        return self._request_any("POST", path, body, headers)

    def put(self, path: str, body: bytes) -> Reply | Unreachable:
        """Sends a PUT to the instances in turn until one handles it."""
        return self._request_any("PUT", path, body, {})

    def delete(self, path: str) -> Reply | Unreachable:
        """Sends a DELETE to the instances in turn until one handles it."""
        return self._request_any("DELETE", path, None, {})

    def get_each(self, path: str) -> dict[str, Reply | Unreachable]:
        """Sends a GET to every instance; returns the results by address."""
        return {
            address: self._request(address, "GET", path, None, {})
            for address in self.addresses
        }

    def _request_any(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
    ) -> Reply | Unreachable:
        result: Reply | Unreachable = Unreachable(
            "no operators' address is configured"
        )
        for address in self.addresses:
            result = self._request(address, method, path, body, headers)
            if isinstance(result, Reply) and result.status != 503:
                return result
        return result

    def _request(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
    ) -> Reply | Unreachable:
        request = urllib.request.Request(
            f"http://{address}{path}", data=body, method=method
        )
        for name, value in headers.items():
            request.add_header(name, value)
        if self.token:
            request.add_header("Authorization", f"Bearer {self.token}")
        try:
            return _send(request)
        except (OSError, ValueError, http.client.HTTPException) as error:
            return Unreachable(f"{address}: {error}")


class _CheckedLines:
    """The file that an answer is read from; checks the lines of its head."""

    def __init__(self, file: BinaryIO, method: str):
        self._file = file
        self._head = AnswerHead(method.encode())

    def readline(self, limit: int = -1) -> bytes:
        line = self._file.readline(limit)
        if not self._head.is_complete:
            fault = self._head.receive(line)
            if fault is not None:
                raise http.client.HTTPException(
                    f"malformed answer: {fault.value}"
                )
        return line

    def __getattr__(self, name: str):
        return getattr(self._file, name)


class _CheckedResponse(http.client.HTTPResponse):
    """An answer whose head keeps the grammar of HTTP/1.1."""

    def begin(self) -> None:
        self.fp = _CheckedLines(self.fp, self._method or "GET")
        super().begin()


class _Connection(http.client.HTTPConnection):
    response_class = _CheckedResponse


class _Handler(urllib.request.HTTPHandler):
    """Opens connections whose answers are checked."""

    def http_open(self, req):
        return self.do_open(_Connection, req)


_opener = urllib.request.build_opener(_Handler)


def _send(request: urllib.request.Request) -> Reply:
    """Sends a request to one instance.

    Raises:
        OSError: If the instance is not reached.
        HTTPException: If its answer is malformed or cut short.
        ValueError: If the content of its answer is not a JSON object.
    """
    try:
        with _opener.open(request, timeout=TIMEOUT_S) as answer:
            return Reply(answer.status, _parse_content(answer.read()))
    except urllib.error.HTTPError as error:
        with error:
            return Reply(error.code, _parse_error_body(error.read()))


def _parse_content(body: bytes) -> dict:
    try:
        content = json.loads(body)
    except RecursionError:
        raise ValueError("the answer is nested too deep") from None
    if not isinstance(content, dict):
        raise ValueError("the answer is not a JSON object")
    return content


def _parse_error_body(body: bytes) -> dict:
    try:
        return _parse_content(body)
    except ValueError:
        return {"title": body.decode("utf-8", "replace")[:200]}

"""HTTP towards the operators' pages of the instances."""

from __future__ import annotations

import json
import urllib.error
import urllib.request

import attrs

TIMEOUT_S = 5.0


@attrs.frozen
class Reply:
    """An answer of an instance."""

    status: int
    content: dict


@attrs.frozen
class Unreachable:
    """No instance answered; the last reason."""

    reason: str


@attrs.frozen
class OperatorClient:
    """Asks the instances in turn until one answers.

    Attributes:
        addresses: Operators' addresses of the instances, as IP:PORT.
        token: Bearer token, or an empty text.
    """

    addresses: tuple[str, ...]
    token: str = ""

    def get(self, path: str) -> Reply | Unreachable:
        """Gets a page of the first instance that answers."""
        return self._ask("GET", path, None, {})

    def post(
        self, path: str, body: bytes, headers: dict[str, str]
    ) -> Reply | Unreachable:
        """Posts to the first instance that answers with a decision."""
        return self._ask("POST", path, body, headers)

    def put(self, path: str, body: bytes) -> Reply | Unreachable:
        """Puts to the first instance that answers with a decision."""
        return self._ask("PUT", path, body, {})

    def get_each(self, path: str) -> dict[str, Reply | Unreachable]:
        """Gets a page of every instance."""
        return {
            address: self._ask_one(address, "GET", path, None, {})
            for address in self.addresses
        }

    def _ask(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
    ) -> Reply | Unreachable:
        last: Reply | Unreachable = Unreachable("no address is given")
        for address in self.addresses:
            last = self._ask_one(address, method, path, body, headers)
            if isinstance(last, Reply) and last.status != 503:
                return last
        return last

    def _ask_one(
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
            with urllib.request.urlopen(request, timeout=TIMEOUT_S) as answer:
                return Reply(answer.status, json.loads(answer.read()))
        except urllib.error.HTTPError as error:
            return Reply(error.code, _content(error.read()))
        except (OSError, ValueError) as error:
            return Unreachable(f"{address}: {error}")


def _content(body: bytes) -> dict:
    try:
        content = json.loads(body)
    except ValueError:
        return {"title": body.decode("utf-8", "replace")[:200]}
    return content if isinstance(content, dict) else {"title": str(content)}

"""Reads what servers state about themselves in the headers of answers."""

from __future__ import annotations

from gentianwall.http.connections import ServerAnswer
from gentianwall.http.dialect import Dialect
from gentianwall.routing.reports import (
    SpeedReport,
    parse_rate_limit,
    parse_rest_ms,
    parse_warmup_ms,
)

SHED_STATUS = 503


class AnswerReader:
    """Reads answers by the header names of a dialect."""

    def __init__(self, dialect: Dialect):
        self._dialect = dialect

    def is_authentic(self, answer: ServerAnswer) -> bool:
        """Returns whether an answer is authentic and may be forwarded."""
        names = self._dialect
        if answer.headers.hasHeader(b"Content-Encoding"):
            return False  # Callers do not request encoded content.
        if not names.server_stamp:
            return True
        return answer.headers.hasHeader(
            names.server_stamp
        ) and answer.headers.hasHeader(names.request_id)

    def is_not_executed(self, answer: ServerAnswer) -> bool:
        """Returns whether the server states that it executed nothing."""
        return answer.headers.hasHeader(self._dialect.not_executed)

    def server_name(self, answer: ServerAnswer) -> str:
        """Returns the name of the server that answered; empty if not named."""
        return self._first(answer, self._dialect.server_name) or ""

    def report(self, answer: ServerAnswer) -> SpeedReport | None:
        """Returns the load report, if there is a valid one."""
        text = self._first(answer, self._dialect.load)
        return None if text is None else self._dialect.parse_load(text)

    def rate_limit_per_s(self, answer: ServerAnswer) -> float | None:
        """Returns the rate limit that the server names, if any."""
        text = self._first(answer, self._dialect.rate_limit)
        return None if text is None else parse_rate_limit(text)

    def warmup_ms(self, answer: ServerAnswer) -> float | None:
        """Returns for how long the server is still cold, if it states that."""
        text = self._first(answer, self._dialect.warmup_ms)
        return None if text is None else parse_warmup_ms(text)

    def is_leaving(self, answer: ServerAnswer) -> bool:
        """Returns whether the server states that it leaves."""
        return self._first(answer, self._dialect.leaving) == "1"

    def rest_ms(self, answer: ServerAnswer) -> float:
        """Returns for how long the server wants nothing from this entry.

        Only a server that turns a request away asks for that: after a
        redirection, for example, `Retry-After` is meant for the caller.
        """
        if answer.status != SHED_STATUS:
            return 0.0
        return parse_rest_ms(self._first(answer, b"Retry-After") or "")

    def _first(self, answer: ServerAnswer, name: bytes) -> str | None:
        values = answer.headers.getRawHeaders(name)
        return values[0].decode("latin-1") if values else None

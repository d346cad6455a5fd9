"""Refusals of calls, with reason, HTTP status and retry-after time."""

from __future__ import annotations

import enum

import attrs


class RefusalReason(enum.Enum):
    """Reason of a refusal; the value is the title that callers receive."""

    NOT_READY = "not ready"
    UNKNOWN_SERVICE = "unknown service"
    NO_ROUTE = "no route"
    NO_SERVER = "no live server"
    OVERLOADED = "the wait cannot be met"
    QUEUE_FULL = "too many calls wait"
    DEADLINE = "the deadline passed"
    SERVER_REFUSED = "every server refused"
    SERVER_LOST = "the server was lost"
    SERVER_SILENT = "the connection went silent"
    ANSWER_TOO_LARGE = "the answer is too large"
    REQUEST_TOO_LARGE = "the request is too large"
    QUARANTINED = "the request crashed servers"
    CLAIM_UNAVAILABLE = "no quorum to record the key"
    CLAIM_HELD = "the request runs or ran, its end is unknown"
    CLAIM_MISMATCH = "the key was used with another request"
    CLAIM_OUT_OF_WINDOW = "the key's time is outside the retention"
    KEY_NOT_TIMED = "the key must be a UUID of version 7"
    BAD_REQUEST = "bad request"
    LOOP = "the request came back"
    UNAUTHENTICATED = "a key of an organisation is required"
    OVER_QUOTA = "the quota of the organisation is used up"


class Executed(enum.Enum):
    """Whether a server executed the request."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


STATUS = {
    RefusalReason.NOT_READY: 503,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.NO_SERVER: 503,
    RefusalReason.OVERLOADED: 503,
    RefusalReason.QUEUE_FULL: 503,
    RefusalReason.DEADLINE: 504,
    RefusalReason.SERVER_REFUSED: 503,
    RefusalReason.SERVER_LOST: 502,
    RefusalReason.SERVER_SILENT: 504,
    RefusalReason.ANSWER_TOO_LARGE: 502,
    RefusalReason.REQUEST_TOO_LARGE: 413,
    RefusalReason.QUARANTINED: 422,
    RefusalReason.CLAIM_UNAVAILABLE: 503,
    RefusalReason.CLAIM_HELD: 409,
    RefusalReason.CLAIM_MISMATCH: 422,
    RefusalReason.CLAIM_OUT_OF_WINDOW: 422,
    RefusalReason.KEY_NOT_TIMED: 400,
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.LOOP: 508,
    RefusalReason.UNAUTHENTICATED: 401,
    RefusalReason.OVER_QUOTA: 429,
}


# Statuses of complete answers (RFC 9110, 15).
FINAL_STATUSES = range(200, 600)
# Statuses that promise callers that the request has not run and never will.
PROMISING_STATUSES = frozenset((408, 421, 429, 503))


@attrs.frozen
class Refusal:
    """Refusal sent to the caller instead of an answer.

    Attributes:
        reason: Reason of the refusal.
        executed: Whether a server executed the request.
        retry_after_ms: Retry-after time, or 0 if a retry would not help.
        detail: Additional text.
    """

    reason: RefusalReason
    executed: Executed
    retry_after_ms: float = 0.0
    detail: str = ""

    @property
    def status(self) -> int:
        """The HTTP status of the reason.

        A request that may have been executed is refused with 502 where the
        status would promise that it was not.
        """
        status = STATUS[self.reason]
        is_false_promise = (
            status in PROMISING_STATUSES and self.executed is not Executed.NO
        )
        return 502 if is_false_promise else status

"""Decides at the leader which entry may try a quarantined request again.

Load pattern: all servers of a service end at once while each runs a page that
many callers read. No run completes, so the page is quarantined though it harms
no server. Or a request crashes every server that runs it, and comes to all
entries all the time. One run tells the two apart, so one entry at a time is
permitted a single one, until it completes or a server crashes again.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from gentianwall.claims.quarantines import TRIAL_MS
from gentianwall.claims.register import RegisterState

# Runs that were in flight when the quarantine began end meanwhile.
FIRST_TRIAL_MS = 1000.0
# No two entries hold a permission for the same request. A crash is reported
# before the next one is given.
TRIAL_PAUSE_MS = TRIAL_MS + 1000.0


@attrs.define
class TrialRecord:
    """Trials of one quarantined request.

    Attributes:
        due_ms: When the next one may be permitted.
        crashes: The crashes that were reported before the first one; None
            before that.
    """

    due_ms: float
    crashes: tuple[int, tuple[str, ...]] | None = None


@attrs.define
class QuarantineTrials:
    """Trials that the leader permitted in a term.

    Attributes:
        term: The term.
        records: Trials of the requests that are quarantined.
    """

    term: int = 0
    records: dict[str, TrialRecord] = attrs.field(factory=dict)

    def permit(
        self, register: RegisterState, refused: Iterable[str], now_ms: float
    ) -> tuple[str, ...]:
        """Returns the requests of which an entry may send one.

        Args:
            register: The replicated state.
            refused: Quarantined requests that the entry refused lately.
            now_ms: The local clock.
        """
        for name in [n for n in self.records if n not in register.quarantines]:
            del self.records[name]
        return tuple(
            name
            for name in refused
            if name in register.quarantines
            and self._is_permitted(register, name, now_ms)
        )

    def _is_permitted(
        self, register: RegisterState, name: str, now_ms: float
    ) -> bool:
        record = self.records.get(name)
        if record is None:
            self.records[name] = TrialRecord(now_ms + FIRST_TRIAL_MS)
            return False
        if now_ms < record.due_ms:
            return False
        suspect = register.suspects.get(name)
        servers = suspect.servers if suspect is not None else ()
        crashes = (register.quarantines[name], servers)
        if record.crashes is None:
            record.crashes = crashes
        elif record.crashes != crashes:
            return False  # The request crashed a server in its trial.
        record.due_ms = now_ms + TRIAL_PAUSE_MS
        return True

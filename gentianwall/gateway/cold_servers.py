"""Limits what all entries together send to a server that is cold.

Load pattern: a server that has just started, or a whole failure domain that
returns, takes a few requests a second from all entries together and crashes
well above that. Two hundred entries with two requests a second each learn of it
at the same time, and each of them sees an idle server.

Each entry decides alone, by the number of entries and a hash of server,
incarnation and its own name, whether it sends to a cold server at all, and
then spaces its requests there. If every entry may be a sender without exceeding
the limit, all of them are. Otherwise the share of senders is chosen so that
more of them than the limit allows are hardly ever drawn. No message is needed,
and the limit holds for entries that no leader reaches as well.
"""

from __future__ import annotations

import functools
import hashlib
import math

import attrs

# Two requests of a sender are at least this far apart if it may have one in any
# second; the excess over a second covers differing delays on their way.
SPACING_MS = 1250.0
# Chance that more entries are drawn for a cold server than may send in one
# second. A day of 10,000 cold servers then sees one with probability 0.01, and
# only if all of these send in the same second is the limit exceeded.
EXCESS_CHANCE = 1e-6
# An entry sends nothing to a server in the first second for which it counts as
# cold: earlier requests count towards the same second at the server.
FIRST_WAIT_MS = 1000.0
# An entry that hears no leader stops this long before others may count it no
# more, so that its last requests do not meet the first ones of new senders.
STOP_MARGIN_MS = 2000.0
# Health checks of one server that counts as cold without having said so are at
# least this far apart at one entry.
ASK_INTERVAL_MS = 1000.0
_DRAW_SCALE = 2.0**64


@attrs.frozen
class ColdLimits:
    """How far a cold server withstands more than its service states.

    In any second it withstands `rate x overage + slack` requests, summed over
    all entries.

    Attributes:
        overage: Factor on the requests a second of the service.
        slack: Further requests in any second.
    """

    overage: float = 1.5
    slack: float = 8.0


@attrs.frozen
class ColdPlan:
    """How entries share what a cold server withstands.

    Attributes:
        sender_share: Probability that an entry sends to it at all.
        spacing_ms: Time between two requests of a sender.
    """

    sender_share: float
    spacing_ms: float


@attrs.frozen
class ColdDraw:
    """What the hash of an entry and a server's incarnation decides.

    Attributes:
        rank: From 0 to 1; the entry is a sender if it is below the share.
        phase: From 0 to 1; spreads the first requests of the senders.
    """

    rank: float
    phase: float


def draw(entry: str, server: str, incarnation: int) -> ColdDraw:
    """Returns the draw of an entry for an incarnation of a server."""
    text = f"{entry}\0{server}\0{incarnation}".encode()
    digest = hashlib.blake2b(text, digest_size=16, person=b"cold").digest()
    rank, phase = (
        int.from_bytes(part, "big") / _DRAW_SCALE
        for part in (digest[:8], digest[8:])
    )
    return ColdDraw(rank, phase)


@functools.lru_cache(maxsize=256)
def make_plan(entries: int, per_second: float, limits: ColdLimits) -> ColdPlan:
    """Returns how a number of entries share a cold server.

    Args:
        entries: Number of entries.
        per_second: Requests a second that the service states; above 0.
        limits: What a cold server withstands beyond that.
    """
    most = math.floor(per_second * limits.overage + limits.slack)
    if most < 1 or entries < 1:
        return ColdPlan(0.0, math.inf)
    share, per_entry = 1.0, most // entries
    if entries > most:
        share, per_entry = _sender_share(entries, most), 1
    average_spacing_ms = 1000.0 * entries * share / per_second
    return ColdPlan(share, max(SPACING_MS / per_entry, average_spacing_ms))


def _sender_share(entries: int, most: int) -> float:
    """Returns the highest share by which hardly more than `most` are drawn."""
    low, high = 0.0, 1.0
    # The share is accurate to a millionth, far below the effect of one entry.
    for _ in range(20):
        share = (low + high) / 2.0
        if _excess_chance(entries, most, share) <= EXCESS_CHANCE:
            low = share
        else:
            high = share
    return low


def _excess_chance(entries: int, most: int, share: float) -> float:
    """Returns the chance that more than `most` entries are drawn."""
    return 1.0 - sum(
        math.comb(entries, count)
        * share**count
        * (1.0 - share) ** (entries - count)
        for count in range(most + 1)
    )

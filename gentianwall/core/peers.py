"""Chooses which entries a partitioned entry may relay its requests through.

Load pattern: hundreds of entries, of which many are partitioned from all
servers at once. Each entry learns of a few others only, so that no message and
no entry's work grows with the number of entries. The few are the next ones on a
ring of hashed names, so that each entry is named to about as many others.
"""

from __future__ import annotations

import bisect
import functools
import hashlib
from collections.abc import Iterable

# With this many peers, requests spread over enough of them that one which is
# lost or slow takes only a small share.
MOST_PEERS = 8


@functools.lru_cache(maxsize=4096)
def _position(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def choose_peers(entry: str, candidates: Iterable[str]) -> tuple[str, ...]:
    """Returns the hosts of the peers of an entry.

    Args:
        entry: Link address (HOST:PORT) of the entry.
        candidates: Link addresses of the entries that can relay requests.
    """
    ring = sorted(
        (_position(name), name) for name in candidates if name != entry
    )
    first = bisect.bisect(ring, (_position(entry), entry))
    chosen = (ring[first:] + ring[:first])[:MOST_PEERS]
    return tuple(name.rpartition(":")[0] for _, name in chosen)

"""Names of quarantined requests and of the servers that they crashed."""

from __future__ import annotations

import hashlib

FINGERPRINT_BYTES = 16
# How long an entry may use the permission to try a quarantined request.
TRIAL_MS = 5000.0


def quarantine_key(fingerprint: str, caller: str) -> str:
    """Returns the name under which a request of a caller is quarantined.

    What servers do with a request may depend on who sends it, so the same
    request of another caller is not suspected.

    Args:
        fingerprint: Digest of the request; empty if it was not computed.
        caller: Who sent it, as far as that is known: the organisation where
            requests carry keys. An empty one stands for all unknown callers.
            An address names no caller, since proxies share one and a caller
            may come from several.
    """
    if not fingerprint or not caller:
        return fingerprint
    text = f"{fingerprint}\0{caller}"
    digest = hashlib.blake2b(text.encode(), digest_size=FINGERPRINT_BYTES)
    return digest.hexdigest()


def start_name(server: str, incarnation: int) -> str:
    """Returns the name of one start of a server, for crash reports.

    A server that starts anew under its name can crash again.
    """
    return f"{server}#{incarnation}"

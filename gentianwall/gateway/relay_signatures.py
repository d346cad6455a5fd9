"""Signatures by which entries recognize each other's relayed requests.

Load pattern: any client that reaches the port for relayed requests could
otherwise choose the service, the kind, the deadline and the number of attempts
of a request, past routes, keys and quotas.

The leader of the control instances gives all entries a key with its notices.
A signature covers the whole request and the peer that it is sent to. A peer
accepts each signature once, and only for a short time.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Iterable

import attrs

# An entry holds the key of the present leader and that of the one before, so
# that requests are relayed while the leader changes.
MAX_KEYS = 2
# The time of day of machines may jump by seconds.
MAX_CLOCK_DIFFERENCE_MS = 30_000.0
# Nonces remembered, more than a peer relays within that difference.
MAX_NONCES = 65_536


@attrs.frozen(kw_only=True)
class SignedRequest:
    """What a signature covers.

    Attributes:
        peer: Host of the peer that the request is sent to.
        method: HTTP method.
        uri: Path and query.
        host: Requested host.
        request_id: Id of the request.
        deadline: Value of the deadline header.
        relay: Value of the relay header without the signature.
        body_digest: SHA-256 digest of the body, in hexadecimal.
    """

    peer: str
    method: bytes
    uri: bytes
    host: str
    request_id: str
    deadline: str
    relay: str
    body_digest: str


@attrs.frozen
class RelaySignature:
    """Signature of a relayed request.

    Attributes:
        at_ms: Time of day of the sender.
        nonce: Random text that no other request has.
        body_digest: SHA-256 digest of the body, in hexadecimal.
        macs: HMAC-SHA-256 with each key of the sender, in hexadecimal.
    """

    at_ms: int
    nonce: str
    body_digest: str
    macs: tuple[str, ...]

    def encode(self) -> str:
        """Returns the signature as text without quotes."""
        parts = (str(self.at_ms), self.nonce, self.body_digest, *self.macs)
        return ".".join(parts)


def decode_signature(text: str) -> RelaySignature | None:
    """Parses a signature; returns None if it is malformed."""
    at_ms, *parts = text.split(".")
    is_number = at_ms.isascii() and at_ms.isdecimal() and len(at_ms) <= 15
    if not is_number or not 3 <= len(parts) <= 2 + MAX_KEYS:
        return None
    nonce, body_digest, *macs = parts
    return RelaySignature(int(at_ms), nonce, body_digest, tuple(macs))


def digest_of(body: bytes) -> str:
    """Returns the digest of a body that a signature contains."""
    return hashlib.sha256(body).hexdigest()


def sign(
    request: SignedRequest, keys: Iterable[bytes], nonce: str, at_ms: int
) -> RelaySignature:
    """Signs a request with all keys of the sender."""
    macs = tuple(_mac(request, key, nonce, at_ms) for key in keys)
    return RelaySignature(at_ms, nonce, request.body_digest, macs)


def _mac(request: SignedRequest, key: bytes, nonce: str, at_ms: int) -> str:
    mac = hmac.new(key, digestmod=hashlib.sha256)
    for value in (*attrs.astuple(request), nonce, str(at_ms)):
        data = value if isinstance(value, bytes) else value.encode()
        # The length keeps the end of one value from counting as the next.
        mac.update(len(data).to_bytes(8, "big"))
        mac.update(data)
    return mac.hexdigest()


@attrs.define
class RelayKeys:
    """Keys of this entry, and the signatures that it has accepted.

    Attributes:
        keys: Keys of the leaders, the latest first.
        nonces: Nonces of the accepted signatures, the oldest first.
    """

    keys: tuple[bytes, ...] = ()
    nonces: dict[str, None] = attrs.field(factory=dict)

    def add(self, key: bytes) -> None:
        """Adds the key of a leader; a leader of an earlier build has none."""
        if key and key not in self.keys[:1]:
            others = tuple(known for known in self.keys if known != key)
            self.keys = (key, *others)[:MAX_KEYS]

    def accept(
        self, request: SignedRequest, signature: RelaySignature, now_ms: float
    ) -> bool:
        """Returns whether a request comes from an entry, for the first time.

        Args:
            request: The request as received.
            signature: Its signature.
            now_ms: The local time of day.
        """
        if abs(now_ms - signature.at_ms) > MAX_CLOCK_DIFFERENCE_MS:
            return False
        if signature.nonce in self.nonces:
            return False
        nonce, at_ms = signature.nonce, signature.at_ms
        is_authentic = any(
            hmac.compare_digest(
                _mac(request, key, nonce, at_ms).encode(), mac.encode()
            )
            for key in self.keys
            for mac in signature.macs
        )
        if is_authentic:
            self.nonces[nonce] = None
            if len(self.nonces) > MAX_NONCES:
                del self.nonces[next(iter(self.nonces))]
        return is_authentic

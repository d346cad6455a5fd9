"""Signs requests that are relayed to peers, and checks those of peers."""

from __future__ import annotations

import secrets

import attrs

from gentianwall.gateway.relay_signatures import (
    RelayKeys,
    SignedRequest,
    decode_signature,
    digest_of,
    sign,
)
from gentianwall.http.channel import CallerRequest
from gentianwall.http.connections import ServerRequest
from gentianwall.http.dialect import Dialect
from gentianwall.runtime.relay_headers import (
    RELAY_HEADER,
    add_signature,
    split_signature,
)
from gentianwall.timers import wall_ms

NONCE_BYTES = 16


@attrs.frozen
class RelayAuthenticator:
    """Signs and checks relayed requests with the keys of this entry.

    Attributes:
        host: Address of this entry, under which peers relay to it.
        dialect: Header names that callers use.
        keys: Keys that the leader has given this entry.
    """

    host: str
    dialect: Dialect
    keys: RelayKeys

    def sign(self, request: ServerRequest, peer: str, relay: bytes) -> None:
        """Adds the relay header and its signature to a request to a peer."""

        def header(name: bytes) -> str:
            values = request.headers.getRawHeaders(name) or [b""]
            return values[0].decode("latin-1")

        signed = SignedRequest(
            peer=peer,
            method=request.method,
            uri=request.uri,
            host=header(b"Host"),
            request_id=header(self.dialect.request_id),
            deadline=header(self.dialect.deadline_ms),
            relay=relay.decode("latin-1"),
            body_digest=digest_of(request.body),
        )
        nonce = secrets.token_hex(NONCE_BYTES)
        signature = sign(signed, self.keys.keys, nonce, wall_ms())
        value = add_signature(relay, signature.encode())
        request.headers.setRawHeaders(RELAY_HEADER, [value])

    def is_from_entry(self, request: CallerRequest) -> bool:
        """Returns whether an entry sent a request, for the first time."""
        relay, text = split_signature(request.header(RELAY_HEADER))
        signature = decode_signature(text)
        if signature is None:
            return False
        if signature.body_digest != digest_of(request.body):
            return False
        signed = SignedRequest(
            peer=self.host,
            method=request.method,
            uri=request.uri,
            host=request.header(b"Host"),
            request_id=request.header(self.dialect.request_id),
            deadline=request.header(self.dialect.deadline_ms),
            relay=relay,
            body_digest=signature.body_digest,
        )
        return self.keys.accept(signed, signature, wall_ms())

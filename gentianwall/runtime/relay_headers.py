"""Header by which entries tell each other about relayed requests.

The signature of a request is one more field of the header's JSON object, so
that builds from before there were signatures ignore it.
"""

from __future__ import annotations

import attrs
from cattrs.preconf.json import make_converter

from gentianwall.core.refusals import Refusal
from gentianwall.gateway.events import Relay

RELAY_HEADER = b"Gentianwall-Relay"
SIGNATURE_START = ',"signature":"'
SIGNATURE_END = '"}'

_converter = make_converter()


@attrs.frozen
class RelayOutcome:
    """End of a relayed request at the peer.

    Attributes:
        server: Name of the server that answered; empty if none did.
        refusal: Refusal of the peer; None if a server answered.
    """

    server: str
    refusal: Refusal | None = None


for _class in (Refusal, Relay, RelayOutcome):
    attrs.resolve_types(_class)


def encode(value: Relay | RelayOutcome) -> bytes:
    """Returns the value of the header."""
    return _converter.dumps(value).encode()


def refusal_headers(refusal: Refusal) -> tuple[tuple[bytes, bytes], ...]:
    """Returns the header for the refusal of a request that was not received.

    Only refusals that another peer may lift have one. Others depend on the
    limits of this entry, and the caller has kept those of the first entry.
    """
    if refusal.status != 503:
        return ()
    return ((RELAY_HEADER, encode(RelayOutcome("", refusal))),)


def add_signature(relay: bytes, signature: str) -> bytes:
    """Returns the value of the header with the signature of the request."""
    text = relay.decode().removesuffix("}")
    return f"{text}{SIGNATURE_START}{signature}{SIGNATURE_END}".encode()


def split_signature(text: str) -> tuple[str, str]:
    """Returns the value that was signed, and the signature; "" for none."""
    start, separator, signature = text.rpartition(SIGNATURE_START)
    if not separator or not signature.endswith(SIGNATURE_END):
        return text, ""
    return start + "}", signature.removesuffix(SIGNATURE_END)


def decode_relay(text: str) -> Relay | None:
    """Parses the header of a request; returns None if it is malformed."""
    return _decode(text, Relay)


def decode_outcome(text: str) -> RelayOutcome | None:
    """Parses the header of an answer; returns None if it is malformed."""
    return _decode(text, RelayOutcome)


def _decode(text, value_class):
    try:
        return _converter.loads(text, value_class)
    except Exception:  # noqa: BLE001 - input may be arbitrary
        return None

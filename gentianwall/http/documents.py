"""Decodes JSON bodies that servers and operators send."""

from __future__ import annotations

import json
from typing import Any

import attrs


@attrs.frozen
class UnreadableDocument:
    """Explains why a body is not a JSON object that can be stored."""

    reason: str


def decode_document(body: bytes) -> dict[str, Any] | UnreadableDocument:
    """Decodes a JSON object in UTF-8 (RFC 8259).

    Unpaired surrogates, which Python accepts as bytes and as escapes, and the
    names `NaN` and `Infinity` are refused: journal and links cannot encode the
    former, and the latter are no JSON.
    """
    try:
        text = body.decode()
        document = json.loads(text, parse_constant=_refuse_constant)
        if "\\u" in text:
            json.dumps(document, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        return UnreadableDocument(str(error))
    if not isinstance(document, dict):
        return UnreadableDocument("must be a JSON object")
    return document


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")

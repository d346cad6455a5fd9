"""The envelope that every message between instances travels in."""

from __future__ import annotations

import zlib

import attrs

from gentianwall import codec
from gentianwall.control.messages import ControlMessage, FeedNotice
from gentianwall.membership.messages import MembershipMessage
from gentianwall.replication.messages import ReplicationMessage

PROTOCOL_VERSION = 2

# Notices of a few servers are below it; those of hundreds shrink to a sixth,
# which counts on links of a few Mbit/s.
LARGE_BODY_BYTES = 4096
COMPRESSION_LEVEL = 1
# No message is near it; what is larger cannot be meant.
MAX_BODY_BYTES = 256 * 1024 * 1024
# Those who are told at once hold one of a few states.
KEPT_BODIES = 4

Message = ReplicationMessage | MembershipMessage | ControlMessage
codec.register_union(Message)


@attrs.frozen
class Frame:
    """An envelope as it is sent.

    Attributes:
        protocol: Version of the protocol.
        sender: Name of the sending process.
        boot_id: Drawn at each start of that process.
        sent_ms: The sender's monotonic clock.
        clock_ms: The sender's time line clock, in ms since 1970.
        is_compressed: Whether `body` is compressed by zlib.
        body: The packed message; the same for all who are sent it.
    """

    protocol: int
    sender: str
    boot_id: str
    sent_ms: float
    clock_ms: int
    is_compressed: bool
    body: bytes


@attrs.frozen
class Envelope:
    """A message with who sent it, and when by the sender's clock.

    Attributes:
        sender: Name of the sending process.
        boot_id: Drawn at each start of that process.
        sent_ms: The sender's monotonic clock.
        clock_ms: The sender's time line clock, in ms since 1970.
        message: The message itself.
    """

    sender: str
    boot_id: str
    sent_ms: float
    clock_ms: int
    message: Message


class BodyPacker:
    """Packs messages; one that is sent to many is packed once."""

    def __init__(self):
        self._kept: list[tuple[Message, bool, bytes]] = []

    def pack(self, message: Message) -> tuple[bool, bytes]:
        """Returns whether the body is compressed, and the body."""
        for kept, is_compressed, body in self._kept:
            if kept is message:
                return is_compressed, body
        body = codec.pack(message, Message)
        is_large = len(body) > LARGE_BODY_BYTES
        if is_large:
            body = zlib.compress(body, COMPRESSION_LEVEL)
        if isinstance(message, FeedNotice):
            self._kept.insert(0, (message, is_large, body))
            del self._kept[KEPT_BODIES:]
        return is_large, body


def unpack_envelope(data: bytes) -> Envelope | codec.Malformed:
    """Reads what came over a link; any bytes may come."""
    frame = codec.unpack(data, Frame)
    if isinstance(frame, codec.Malformed):
        return frame
    if frame.protocol != PROTOCOL_VERSION:
        return codec.Malformed(f"protocol {frame.protocol} is not spoken here")
    body = _decompress(frame.body) if frame.is_compressed else frame.body
    if isinstance(body, codec.Malformed):
        return body
    message = codec.unpack(body, Message)
    if isinstance(message, codec.Malformed):
        return message
    return Envelope(
        frame.sender, frame.boot_id, frame.sent_ms, frame.clock_ms, message
    )


def _decompress(body: bytes) -> bytes | codec.Malformed:
    reader = zlib.decompressobj()
    try:
        whole = reader.decompress(body, MAX_BODY_BYTES)
    except zlib.error as error:
        return codec.Malformed(f"not compressed: {error}")
    if not reader.eof:
        return codec.Malformed("compressed body is cut short or too large")
    return whole

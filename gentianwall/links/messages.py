"""Encoding of the messages between instances: frame and envelope."""

from __future__ import annotations

import zlib

import attrs

from gentianwall import codec
from gentianwall.control.messages import ControlMessage, FeedNotice
from gentianwall.membership.messages import MembershipMessage
from gentianwall.replication.messages import ReplicationMessage

PROTOCOL_VERSION = 2

# Bodies above this size are compressed. Notices with a few servers are
# smaller; those with hundreds shrink to a sixth, which matters on links of a
# few Mbit/s.
LARGE_BODY_BYTES = 4096
COMPRESSION_LEVEL = 1
# Limit against decompression bombs, far above the size of any valid message.
MAX_BODY_BYTES = 256 * 1024 * 1024
# A notice is sent to many receivers at once, which have only a few different
# versions, so few bodies are cached.
CACHED_BODIES = 4

Message = ReplicationMessage | MembershipMessage | ControlMessage
codec.register_union(Message)


@attrs.frozen
class Frame:
    """An envelope as it is sent over a link.

    Attributes:
        protocol: Version of the protocol.
        sender: Name of the sending process.
        boot_id: Random id of the sending process, new at each start.
        sent_ms: The sender's monotonic clock.
        clock_ms: The sender's timeline clock, in ms since 1970.
        is_compressed: Whether `body` is compressed by zlib.
        body: The encoded message, the same for all receivers.
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
    """A received message with its sender and the time of sending.

    Attributes:
        sender: Name of the sending process.
        boot_id: Random id of the sending process, new at each start.
        sent_ms: The sender's monotonic clock.
        clock_ms: The sender's timeline clock, in ms since 1970.
        message: The message.
    """

    sender: str
    boot_id: str
    sent_ms: float
    clock_ms: int
    message: Message


class BodyEncoder:
    """Encodes messages; caches the bodies of notices to many receivers."""

    def __init__(self):
        self._cached_bodies: list[tuple[Message, bool, bytes]] = []

    def pack(self, message: Message) -> tuple[bool, bytes]:
        """Encodes a message.

        Returns:
            Whether the body is compressed, and the body.
        """
        for cached_message, is_compressed, body in self._cached_bodies:
            if cached_message is message:
                return is_compressed, body
        body = codec.pack(message, Message)
        is_large = len(body) > LARGE_BODY_BYTES
        if is_large:
            body = zlib.compress(body, COMPRESSION_LEVEL)
        if isinstance(message, FeedNotice):
            self._cached_bodies.insert(0, (message, is_large, body))
            del self._cached_bodies[CACHED_BODIES:]
        return is_large, body


def decode_envelope(data: bytes) -> Envelope | codec.Malformed:
    """Decodes bytes received over a link, which may be malformed."""
    frame = codec.unpack(data, Frame)
    if isinstance(frame, codec.Malformed):
        return frame
    if frame.protocol != PROTOCOL_VERSION:
        return codec.Malformed(
            f"protocol version {frame.protocol} is not supported"
        )
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
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(body, MAX_BODY_BYTES)
    except zlib.error as error:
        return codec.Malformed(f"body cannot be decompressed: {error}")
    if not decompressor.eof:
        return codec.Malformed("compressed body is truncated or too large")
    return decompressed

"""The envelope that every message between instances travels in."""

from __future__ import annotations

import attrs

from gentianwall import codec
from gentianwall.control.messages import ControlMessage
from gentianwall.membership.messages import MembershipMessage
from gentianwall.replication.messages import ReplicationMessage

PROTOCOL_VERSION = 1

Message = ReplicationMessage | MembershipMessage | ControlMessage
codec.register_union(Message)


@attrs.frozen
class Envelope:
    """A message with who sent it, and when by the sender's clock.

    Attributes:
        protocol: Version of the protocol.
        sender: Name of the sending process.
        boot_id: Drawn at each start of that process.
        sent_ms: The sender's monotonic clock.
        clock_ms: The sender's time line clock, in ms since 1970.
        message: The message itself.
    """

    protocol: int
    sender: str
    boot_id: str
    sent_ms: float
    clock_ms: int
    message: Message

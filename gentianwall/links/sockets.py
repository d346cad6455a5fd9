"""Links between processes: ZeroMQ sockets in the twisted reactor.

Each process binds one PULL socket and connects one PUSH socket to each other
process. Messages may be lost; a component that needs delivery repeats them.
ZeroMQ's own heartbeats detect a silent link, close it and reconnect.
"""

from __future__ import annotations

import contextlib
import uuid
from collections.abc import Callable, Iterator

import attrs
import zmq
from twisted.internet.interfaces import IReadDescriptor
from zope.interface import implementer

from gentianwall import codec
from gentianwall.config.settings import Settings
from gentianwall.links.keys import KeyPair, load_keys
from gentianwall.links.messages import (
    PROTOCOL_VERSION,
    BodyEncoder,
    Envelope,
    Frame,
    Message,
    decode_envelope,
)
from gentianwall.logs import get_logger
from gentianwall.timeline import Timeline
from gentianwall.timers import monotonic_ms, wall_ms

log = get_logger("links")

SEND_QUEUE_MESSAGES = 10_000
MAX_MESSAGES_PER_READ = 512
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 150
# The duration of ten elections. A peer to which nothing was sent for that long
# was replaced or has stopped.
UNUSED_LINK_TIMEOUT_MS = 30_000.0


@attrs.frozen(kw_only=True)
class LinkSetup:
    """Name, address and peers of a process, and the timing of its links.

    Attributes:
        name: Name of the process.
        address: Address on which it receives messages.
        peers: Addresses of the other processes by name.
        can_connect_on_demand: Whether the first message to a receiver outside
            `peers` opens a link, with the receiver's name as its address.
        heartbeat_ms: Interval of the heartbeats of a link.
        silence_ms: Silence after which a link is closed and reconnected.
        key_folder: Folder of the keys; empty for links without encryption.
    """

    name: str
    address: str
    peers: dict[str, str] = attrs.field(factory=dict)
    can_connect_on_demand: bool = False
    heartbeat_ms: int
    silence_ms: int
    key_folder: str = ""


def make_link_setup(settings: Settings) -> LinkSetup:
    """Returns the link setup given by the settings of an instance."""
    return LinkSetup(
        name=settings.instance,
        address=settings.own_instance.link_address,
        peers={
            other.name: other.link_address
            for other in settings.instances
            if other.name != settings.instance
        },
        heartbeat_ms=settings.links.heartbeat_ms,
        silence_ms=settings.links.silence_ms,
        key_folder=settings.links.key_folder,
    )


@implementer(IReadDescriptor)
class Links:
    """All links of one process.

    Attributes:
        setup: Names, addresses and timing.
        boot_id: Random id of this process, new at each start.
        sent_bytes: Bytes sent so far.
        received_bytes: Bytes received so far.
        malformed_count: Number of malformed messages received so far.
    """

    def __init__(
        self,
        setup: LinkSetup,
        reactor,
        timeline: Timeline,
        on_envelopes: Callable[[list[Envelope]], None],
    ):
        self.setup = setup
        self.boot_id = uuid.uuid4().hex[:12]
        self.sent_bytes = 0
        self.received_bytes = 0
        self.malformed_count = 0
        self._reactor = reactor
        self._timeline = timeline
        self._on_envelopes = on_envelopes
        self._context = zmq.Context()
        self._authenticator = None
        self._body_encoder = BodyEncoder()
        self._keys: KeyPair | None = None
        self._pull: zmq.Socket | None = None
        self._push: dict[str, zmq.Socket] = {}
        self._last_used_ms: dict[str, float] = {}

    def open(self) -> None:
        """Binds the PULL socket and connects to all peers."""
        folder = self.setup.key_folder
        if folder:
            # Imported only with encryption, because it imports asyncio.
            from zmq.auth.thread import ThreadAuthenticator

            self._keys = load_keys(folder, self.setup.name)
            self._authenticator = ThreadAuthenticator(self._context)
            self._authenticator.start()
            self._authenticator.configure_curve(domain="*", location=folder)
        self._pull = self._context.socket(zmq.PULL)
        self._set_options(self._pull)
        if self._keys is not None:
            self._pull.curve_publickey = self._keys.public
            self._pull.curve_secretkey = self._keys.secret
            self._pull.curve_server = True
        self._pull.bind(f"tcp://{self.setup.address}")
        for name, address in self.setup.peers.items():
            self._push[name] = self._connect(name, address)
        self._reactor.addReader(self)
        self._reactor.callLater(0, self.doRead)

    def close(self) -> None:
        """Closes all sockets; unsent messages are dropped."""
        self._reactor.removeReader(self)
        for socket in self._push.values():
            socket.close(linger=0)
        if self._pull is not None:
            self._pull.close(linger=0)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.term()

    def send(self, receiver: str, message: Message) -> None:
        """Sends a message; drops it if no link is up or the queue is full."""
        socket = self._push.get(receiver)
        if socket is None:
            if not self.setup.can_connect_on_demand:
                return
            socket = self._push[receiver] = self._connect(receiver, receiver)
        if self.setup.can_connect_on_demand:
            self._last_used_ms[receiver] = monotonic_ms()
        is_compressed, body = self._body_encoder.pack(message)
        frame = Frame(
            PROTOCOL_VERSION,
            self.setup.name,
            self.boot_id,
            monotonic_ms(),
            self._timeline.now_ms(wall_ms()),
            is_compressed,
            body,
        )
        data = codec.pack(frame, Frame)
        try:
            socket.send(data, zmq.NOBLOCK)
            self.sent_bytes += len(data)
        except zmq.Again:
            log.debug(
                "Dropped a message to %s: link down or queue full.", receiver
            )

    def close_unused(self) -> None:
        """Closes links that were unused for `UNUSED_LINK_TIMEOUT_MS`."""
        before_ms = monotonic_ms() - UNUSED_LINK_TIMEOUT_MS
        for name, last_used_ms in list(self._last_used_ms.items()):
            if last_used_ms < before_ms:
                del self._last_used_ms[name]
                self._push.pop(name).close(linger=0)

    def fileno(self) -> int:
        """Returns the descriptor that signals received messages."""
        return self._pull.fileno()

    def doRead(self) -> None:
        """Reads received messages.

        The descriptor is edge-triggered, so reading continues in the next
        reactor turn when messages may be left.
        """
        if self._pull.closed:
            return
        envelopes = []
        for _ in range(MAX_MESSAGES_PER_READ):
            try:
                data = self._pull.recv(zmq.NOBLOCK)
            except zmq.Again:
                break
            self._decode(data, envelopes)
        else:
            self._reactor.callLater(0, self.doRead)
        if envelopes:
            self._deliver(envelopes)

    def _deliver(self, envelopes: list[Envelope]) -> None:
        """Passes messages to the callback and logs its exceptions.

        The reactor would stop reading after an exception.
        """
        try:
            self._on_envelopes(envelopes)
        except Exception:  # noqa: BLE001 - later messages must be read
            log.exception("Handling received messages failed.")

    def connectionLost(self, reason) -> None:
        """Does nothing when the reactor removes the descriptor."""

    def logPrefix(self) -> str:
        """Returns the name used in the reactor's log messages."""
        return "links"

    def _decode(self, data: bytes, envelopes: list[Envelope]) -> None:
        self.received_bytes += len(data)
        envelope = decode_envelope(data)
        if isinstance(envelope, codec.Malformed):
            self.malformed_count += 1
            log.warning("Dropped a malformed message: %s", envelope.reason)
        else:
            envelopes.append(envelope)

    def _connect(self, name: str, address: str) -> zmq.Socket:
        socket = self._context.socket(zmq.PUSH)
        self._set_options(socket)
        # Without an established link, messages are dropped at once instead of
        # being queued until they are outdated.
        socket.immediate = True
        socket.sndhwm = SEND_QUEUE_MESSAGES
        socket.reconnect_ivl = RECONNECT_MIN_MS
        socket.reconnect_ivl_max = RECONNECT_MAX_MS
        if self._keys is not None:
            peer = load_keys(self.setup.key_folder, name, False)
            socket.curve_publickey = self._keys.public
            socket.curve_secretkey = self._keys.secret
            socket.curve_serverkey = peer.public
        socket.connect(f"tcp://{address}")
        return socket

    def _set_options(self, socket: zmq.Socket) -> None:
        socket.linger = 0
        socket.heartbeat_ivl = self.setup.heartbeat_ms
        socket.heartbeat_timeout = self.setup.silence_ms
        socket.heartbeat_ttl = self.setup.silence_ms
        socket.connect_timeout = self.setup.silence_ms
        socket.handshake_ivl = self.setup.silence_ms


@contextlib.contextmanager
def open_links(
    setup: LinkSetup,
    reactor,
    timeline: Timeline,
    on_envelopes: Callable[[list[Envelope]], None],
) -> Iterator[Links]:
    """Opens the links of a process and closes them on exit."""
    links = Links(setup, reactor, timeline, on_envelopes)
    links.open()
    try:
        yield links
    finally:
        links.close()

"""Links over ZeroMQ, driven by the twisted reactor.

Each process binds one PULL socket and connects one PUSH socket to each other
process. Messages may be lost; what must arrive is repeated by its part.
ZeroMQ's own heartbeats find a link that went silent, drop it and dial again.
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
    BodyPacker,
    Envelope,
    Frame,
    Message,
    unpack_envelope,
)
from gentianwall.logs import get_logger
from gentianwall.timeline import Timeline
from gentianwall.timers import monotonic_ms, wall_ms

log = get_logger("links")

SEND_QUEUE_MESSAGES = 10_000
MAX_MESSAGES_PER_TURN = 512
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 150
# Ten elections; whom nobody addressed for that long was replaced or is gone.
UNUSED_LINK_MS = 30_000.0


@attrs.frozen(kw_only=True)
class LinkSetup:
    """Who a process is to the others, and how it reaches them.

    Attributes:
        name: Name of the process.
        address: Where it takes messages.
        peers: Addresses of the others by name.
        is_open: Whether any other name is an address and is dialled when it
            is first sent to.
        heartbeat_ms: Time between heartbeats of a link.
        silence_ms: Silence after which a link is dialled anew.
        key_folder: Folder of the keys, or an empty text.
    """

    name: str
    address: str
    peers: dict[str, str] = attrs.field(factory=dict)
    is_open: bool = False
    heartbeat_ms: int
    silence_ms: int
    key_folder: str = ""


def link_setup_of(settings: Settings) -> LinkSetup:
    """Returns the links that the settings of an instance list."""
    return LinkSetup(
        name=settings.instance,
        address=settings.own.link_address,
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
    """All links of one process."""

    def __init__(
        self,
        setup: LinkSetup,
        reactor,
        timeline: Timeline,
        receive: Callable[[list[Envelope]], None],
    ):
        self.setup = setup
        self.boot_id = uuid.uuid4().hex[:12]
        self.sent_bytes = 0
        self.received_bytes = 0
        self.malformed = 0
        self._reactor = reactor
        self._timeline = timeline
        self._receive = receive
        self._context = zmq.Context()
        self._authenticator = None
        self._packer = BodyPacker()
        self._keys: KeyPair | None = None
        self._pull: zmq.Socket | None = None
        self._push: dict[str, zmq.Socket] = {}
        self._used_ms: dict[str, float] = {}

    def open(self) -> None:
        """Binds and connects."""
        folder = self.setup.key_folder
        if folder:
            # Imported where links are locked: it brings in asyncio.
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
        """Closes all sockets; messages not yet sent are dropped."""
        self._reactor.removeReader(self)
        for socket in self._push.values():
            socket.close(linger=0)
        if self._pull is not None:
            self._pull.close(linger=0)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.term()

    def send(self, receiver: str, message: Message) -> None:
        """Sends a message, or drops it when the link is down or full."""
        socket = self._push.get(receiver)
        if socket is None:
            if not self.setup.is_open:
                return
            socket = self._push[receiver] = self._connect(receiver, receiver)
        if self.setup.is_open:
            self._used_ms[receiver] = monotonic_ms()
        is_compressed, body = self._packer.pack(message)
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
            log.debug("No link to %s. Message dropped.", receiver)

    def close_unused(self) -> None:
        """Closes the links that were not sent on for long."""
        before_ms = monotonic_ms() - UNUSED_LINK_MS
        for name, used_ms in list(self._used_ms.items()):
            if used_ms < before_ms:
                del self._used_ms[name]
                self._push.pop(name).close(linger=0)

    def fileno(self) -> int:
        """The descriptor that signals incoming messages."""
        return self._pull.fileno()

    def doRead(self) -> None:
        """Takes what has arrived; the descriptor signals edges only."""
        if self._pull.closed:
            return
        envelopes = []
        for _ in range(MAX_MESSAGES_PER_TURN):
            try:
                data = self._pull.recv(zmq.NOBLOCK)
            except zmq.Again:
                break
            self._unpack(data, envelopes)
        else:
            self._reactor.callLater(0, self.doRead)
        if envelopes:
            self._hand_over(envelopes)

    def _hand_over(self, envelopes: list[Envelope]) -> None:
        """Hands messages over; the reactor stops reading after an error."""
        try:
            self._receive(envelopes)
        except Exception:  # noqa: BLE001 - later messages must be read
            log.exception("Messages not handled.")

    def connectionLost(self, reason) -> None:
        """The reactor gave the descriptor up."""

    def logPrefix(self) -> str:
        """Name in the reactor's own messages."""
        return "links"

    def _unpack(self, data: bytes, envelopes: list[Envelope]) -> None:
        self.received_bytes += len(data)
        envelope = unpack_envelope(data)
        if isinstance(envelope, codec.Malformed):
            self.malformed += 1
            log.warning("Malformed message dropped. %s", envelope.reason)
        else:
            envelopes.append(envelope)

    def _connect(self, name: str, address: str) -> zmq.Socket:
        socket = self._context.socket(zmq.PUSH)
        self._set_options(socket)
        # Without a live link, messages are dropped instead of growing old.
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
    receive: Callable[[list[Envelope]], None],
) -> Iterator[Links]:
    """Opens the links of a process and closes them at the end."""
    links = Links(setup, reactor, timeline, receive)
    links.open()
    try:
        yield links
    finally:
        links.close()

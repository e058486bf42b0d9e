"""The link between instances, by ZeroMQ over TCP."""

import typing

import result
import zmq
import zmq.asyncio

from oleanderstair.domain import codec, messages

_QUEUE_LIMIT: typing.Final = 1000
_MAX_FRAME_BYTES: typing.Final = 4_000_000


class Heard(typing.NamedTuple):
    """A message and the incarnation that sent it."""

    sender: str
    message: messages.Message


class Link(typing.Protocol):
    """Send messages to peers and receive theirs; any may be lost."""

    def send(self, address: str, message: messages.Message) -> int:
        """Send without waiting; return the bytes sent, 0 where dropped."""

    async def receive(self) -> Heard:
        """Return the next message that could be read."""

    def close(self) -> None:
        """Release the sockets."""


class ZmqLink:
    """One ROUTER for what arrives, one DEALER for each peer address."""

    def __init__(self, host: str, port: int, incarnation: str) -> None:
        """Bind to ``host`` and ``port`` (0 for any) as ``incarnation``."""
        self.dropped = 0
        self._incarnation = incarnation.encode()
        self._context = zmq.asyncio.Context()
        self._router = self._context.socket(zmq.ROUTER)
        self._router.setsockopt(zmq.LINGER, 0)
        self._router.setsockopt(zmq.MAXMSGSIZE, _MAX_FRAME_BYTES)
        self._router.bind(f'tcp://{host}:{port or "*"}')
        self._plain: zmq.Context[zmq.Socket[bytes]] = zmq.Context.shadow(
            self._context,
        )
        self._dealer_by_address: dict[str, zmq.Socket[bytes]] = {}

    @property
    def address(self) -> str:
        """Return the bound host and port."""
        endpoint = self._router.getsockopt_string(zmq.LAST_ENDPOINT)
        return endpoint.removeprefix('tcp://')

    def send(self, address: str, message: messages.Message) -> int:
        """Send without waiting; return the bytes sent, 0 where dropped."""
        frame = codec.encode(message)
        try:
            self._dealer(address).send_multipart(
                [self._incarnation, frame],
                zmq.NOBLOCK,
            )
        except zmq.Again:
            self.dropped += 1
            return 0
        return len(frame)

    async def receive(self) -> Heard:
        """Return the next message that could be read."""
        while True:
            frames = await self._router.recv_multipart()
            heard = _read(frames)
            if heard is not None:
                return heard
            self.dropped += 1

    def close(self) -> None:
        """Release the sockets."""
        for dealer in self._dealer_by_address.values():
            dealer.close(0)
        self._context.destroy(0)

    def _dealer(self, address: str) -> 'zmq.Socket[bytes]':
        dealer = self._dealer_by_address.get(address)
        if dealer is None:
            dealer = self._plain.socket(zmq.DEALER)
            dealer.setsockopt(zmq.LINGER, 0)
            dealer.setsockopt(zmq.SNDHWM, _QUEUE_LIMIT)
            dealer.connect(f'tcp://{address}')
            self._dealer_by_address[address] = dealer
        return dealer


def create(host: str, port: int, incarnation: str) -> ZmqLink:
    """Create a link that is bound and ready to receive."""
    return ZmqLink(host, port, incarnation)


def _read(frames: list[bytes]) -> Heard | None:
    _, sender, frame = frames[0], frames[-2], frames[-1]
    decoded = codec.decode(frame)
    if isinstance(decoded, result.Err):
        return None
    return Heard(sender.decode(errors='replace'), decoded.ok_value)

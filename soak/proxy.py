"""A loopback proxy of plain bytes whose links can be harmed."""

import contextlib
import dataclasses
import socket
import struct
import typing

import anyio
import anyio.abc

from oleanderstair import clock
from oleanderstair.engine import listener
from soak import plan

_BROKEN: typing.Final = (OSError, anyio.ClosedResourceError, ValueError)
"""How an end shows; the last is a wait on a socket that is closed."""

_ABORT: typing.Final = struct.pack('ii', 1, 0)
_POLL_S: typing.Final = 0.01
_CHUNK_BYTES: typing.Final = 65_536


@dataclasses.dataclass(slots=True)
class Link:
    """One link: where it leads, and the faults on it now.

    What a fault holds up goes on, as with TCP, when the fault is over.
    ``buffer_bytes`` limits the buffers of what comes down, so that the far
    end notices a slow reader; 0 leaves them to the system.
    """

    address: str
    near: str = ''
    buffer_bytes: int = 0
    faults: list[plan.Fault] = dataclasses.field(default_factory=list)
    ends: set[socket.socket] = dataclasses.field(default_factory=set)

    @contextlib.contextmanager
    def harmed(self, fault: plan.Fault) -> typing.Iterator[None]:
        """Harm the link inside the block; a reset breaks all off at once."""
        self.faults.append(fault)
        if fault.kind is plan.Kind.RESET:
            for end in tuple(self.ends):
                _abort(end)
        try:
            yield
        finally:
            self.faults.remove(fault)

    async def serve(self, bound: socket.socket) -> None:
        """Carry each connection to ``bound`` until cancelled."""
        with bound:
            async with anyio.create_task_group() as tasks:
                while True:
                    await anyio.wait_readable(bound)
                    near, _ = bound.accept()
                    tasks.start_soon(self._carry, near)

    async def _carry(self, near: socket.socket) -> None:
        self._open(near)
        self._limit_buffer(near, socket.SO_SNDBUF)
        try:
            await self._connect(near)
        except _BROKEN:
            _abort(near)
        finally:
            self._close(near)

    async def _connect(self, near: socket.socket) -> None:
        if self._has(plan.Kind.RESET):
            _abort(near)
            return
        # A new connection needs both ways.
        await self._pass(is_up=True)
        await self._pass(is_up=False)
        far = socket.socket()
        self._open(far)
        self._limit_buffer(far, socket.SO_RCVBUF)
        try:
            await _connect(far, self.address)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump, near, far, True)
                tasks.start_soon(self._pump, far, near, False)
        finally:
            self._close(far)

    async def _pump(
        self,
        source: socket.socket,
        sink: socket.socket,
        is_up: bool,
    ) -> None:
        try:
            await self._copy(source, sink, is_up)
        except _BROKEN:
            _abort(source)
            _abort(sink)

    async def _copy(
        self,
        source: socket.socket,
        sink: socket.socket,
        is_up: bool,
    ) -> None:
        is_open = True
        while is_open:
            await anyio.wait_readable(source)
            chunk = source.recv(_CHUNK_BYTES)
            is_open = bool(chunk)
            await self._pass(is_up)
            await _send(sink, chunk)
        sink.shutdown(socket.SHUT_WR)

    async def _pass(self, is_up: bool) -> None:
        """Wait as long as the link holds up what goes this way."""
        delays_ms = [
            fault.delay_ms
            for fault in self.faults
            if fault.kind is plan.Kind.DELAY
        ]
        await anyio.sleep(clock.to_seconds(max(delays_ms, default=0)))
        cut = plan.Kind.CUT_UP if is_up else plan.Kind.CUT_DOWN
        while self._has(plan.Kind.SILENT, cut):
            await anyio.sleep(_POLL_S)

    def _has(self, *kinds: plan.Kind) -> bool:
        return any(fault.kind in kinds for fault in self.faults)

    def _open(self, end: socket.socket) -> None:
        end.setblocking(False)
        end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.ends.add(end)

    def _limit_buffer(self, end: socket.socket, option: int) -> None:
        if self.buffer_bytes:
            end.setsockopt(socket.SOL_SOCKET, option, self.buffer_bytes)

    def _close(self, end: socket.socket) -> None:
        self.ends.discard(end)
        if end.fileno() >= 0:
            anyio.notify_closing(end)
            end.close()


def start(
    address: str,
    tasks: anyio.abc.TaskGroup,
    host: str = '127.0.0.1',
) -> Link:
    """Serve a link to ``address`` on a free port of ``host``."""
    bound = listener.bind_socket(host, 0)
    bound.setblocking(False)
    link = Link(address, listener.address_of(bound))
    tasks.start_soon(link.serve, bound)
    return link


async def _connect(far: socket.socket, address: str) -> None:
    host, _, port = address.rpartition(':')
    with contextlib.suppress(BlockingIOError):
        far.connect((host, int(port)))
    await anyio.wait_writable(far)
    failed = far.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if failed:
        raise OSError(failed, address)


async def _send(sink: socket.socket, chunk: bytes) -> None:
    left = memoryview(chunk)
    while left:
        await anyio.wait_writable(sink)
        left = left[sink.send(left) :]


def _abort(end: socket.socket) -> None:
    """Reset a connection, as a machine does that knows nothing of it."""
    if end.fileno() < 0:
        return
    anyio.notify_closing(end)
    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ABORT)
    end.close()

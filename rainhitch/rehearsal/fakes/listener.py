"""Where the fakes listen: a socket of this machine, or what a loop with a network of its own gives."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

from rainhitch.rehearsal.fakes.loop_with_network import ListenPoint, LoopWithNetwork

HOST = "127.0.0.1"
BACKLOG = 1024  # connections that wait to be accepted


def listen(make: Callable[[], asyncio.Protocol]) -> ListenPoint:
    """Listens on a free address of the machine that the running loop stands for: real, or virtual."""
    loop = asyncio.get_running_loop()
    if isinstance(loop, LoopWithNetwork):
        return loop.make_listen_point(make)
    return Listener(make)


class Listener:
    """A listening socket of this machine, see `ListenPoint`."""

    def __init__(self, make: Callable[[], asyncio.Protocol]) -> None:
        self._make = make
        self._loop = asyncio.get_running_loop()
        self._opening: set[asyncio.Task[None]] = set()
        with socket.socket() as free:
            free.bind((HOST, 0))
            self.address: tuple[str, int] = free.getsockname()
        # Bound to a port it names, the socket keeps that port while it does not listen.
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(self.address)
        self._queue_fillers: list[socket.socket] = []
        self._accepting = False
        self.open()

    def open(self) -> None:
        """Accepts connections."""
        self._close_queue_fillers()
        self._socket.listen(BACKLOG)
        if not self._accepting:
            self._accepting = True
            self._loop.add_reader(self._socket, self._accept)

    def refuse(self) -> None:
        """Refuses connections."""
        self._stop_accepting()
        with contextlib.suppress(OSError):  # it refuses already
            self._socket.shutdown(socket.SHUT_RD)

    def hang(self) -> None:
        """Never completes connections: the queue of the socket is as short as can be, and filled."""
        self._stop_accepting()
        self._socket.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self.address)
            self._queue_fillers.append(filler)

    def close(self) -> None:
        """Closes the socket."""
        self._stop_accepting()
        self._close_queue_fillers()
        self._socket.close()

    def _close_queue_fillers(self) -> None:
        for filler in self._queue_fillers:
            filler.close()
        self._queue_fillers = []

    def _stop_accepting(self) -> None:
        if self._accepting:
            self._accepting = False
            self._loop.remove_reader(self._socket)

    def _accept(self) -> None:
        for _ in range(BACKLOG):
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:
                return  # out of descriptors: the environment has checked their limit before the run
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = self._loop.create_task(self._connect(accepted))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)

    async def _connect(self, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._make, accepted)
        except OSError:
            accepted.close()

"""Connections as a kernel gives them: what arrives when, what waits where, and how a connection ends.

Theory. A connection is two ends. What an end writes goes into its own buffer; from there, as far as the other
end's window is open, on its way; there into the inbox, in order; from the inbox to the protocol when that end
reads. The window is what the other end may hold unread. An end that is closed sends FIN behind all that it
has written, or RST where it leaves something unread, and answers whatever comes later with RST. What had
come before an RST can still be read, as on Linux; who does not read learns of it with the next write.

    open --close()--> closing, until all is written --> closed (FIN, or RST where the inbox is not empty)
    open --abort()--> closed; what was not on its way is lost
    open --RST comes and all is read--> lost, with ConnectionResetError
    open --FIN comes and all is read--> eof_received(): closes, unless that says to stay open

A connect takes a way there and back; it is refused where nobody listens, and hangs where a door says so or
its queue is full, tried again after 1, 3 and 7 s as a kernel does.
"""

import asyncio
import contextvars
import socket
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any, cast

from rainhitch.rehearsal.virtual.datagrams import Datagrams
from rainhitch.rehearsal.virtual.loop import OWNER, Owner, VirtualLoop

Address = tuple[str, int]
WINDOW = 256 << 10  # bytes that an end holds unread, and as many that are on the way
MOST_READ = 64 << 10  # bytes handed to a protocol at once
WAY = 40_000  # ns one way
AGAIN = (1.0, 2.0, 4.0)  # s between tries of a connect that is not answered
HIGH, LOW = 64 << 10, 16 << 10
EMFILE = 24
BUS = 1  # the port that stands for a path of the world's own


class End(asyncio.Transport):
    """One end of a connection, and as much of its socket as anyone here asks for."""

    family, type, proto = socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP

    def __init__(self, network: "Network", address: Address, peer_address: Address) -> None:
        super().__init__()
        self.network, self.loop = network, network.loop
        self.address, self.peer_address = address, peer_address
        self.peer: End = self
        self.protocol: Any = None
        self.context = contextvars.Context()
        self.owner: Owner | None = None
        self.out = bytearray()
        self.inbox = bytearray()
        self.flight = 0  # bytes that have left and are not read at the other end
        self.window = network.window
        self.way = WAY  # ns one way
        self.high, self.low = HIGH, LOW
        self.paused = self.reading = self.full = False
        self.closing = self.closed = self.ended = self.fin_sent = False
        self.eof_in = self.eof_told = self.lost = self.stopped = False
        self.resets = False  # a close resets
        self.reset_by: Exception | None = None  # came while nothing was read
        self.arrives = 0  # the last instant at which something of ours arrives: it stays in order
        self.came = 0  # when something came last

    # what asyncio's transports have

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        told = {"sockname": self.address, "peername": self.peer_address, "socket": self}
        return told.get(name, default)

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        """As much of a socket as anyone here sets: that a close resets."""
        if (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER):
            self.resets = True

    def is_closing(self) -> bool:
        return self.closing

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self.protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        return cast(asyncio.BaseProtocol, self.protocol)

    def is_reading(self) -> bool:
        return not self.paused and not self.closing

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False
        self._plan_read()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self.high = HIGH if high is None else high
        self.low = self.high // 4 if low is None else low
        self._steer_writer()

    def get_write_buffer_size(self) -> int:
        return len(self.out)

    def can_write_eof(self) -> bool:
        return True

    def write(self, data: Any) -> None:
        if self.ended:
            raise RuntimeError("Cannot call write() after write_eof()")
        if self.lost and self.protocol is None:
            raise RuntimeError("the connection is closed")  # as uvloop does
        if not data or self.closing:
            return
        if self.reset_by is not None:
            self._lose(self.reset_by)
            return
        self.out += data
        self._pump()
        self._steer_writer()

    def write_eof(self) -> None:
        if not self.ended and not self.closing:
            self.ended = True
            self._pump()

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self._pump()

    def abort(self) -> None:
        self.out.clear()
        self.closing, self.stopped = True, False
        self._shut()

    # this end's kernel

    def attach(self, protocol: Any) -> None:
        """This end is its protocol's from now on, and the running context's owner's."""
        self.protocol, self.context = protocol, contextvars.copy_context()
        self.owner = OWNER.get()
        self.network.hold(self.owner, self)
        protocol.connection_made(self)
        self.reading = True
        self._plan_read()

    def _pump(self) -> None:
        """Sends on what the other end has room for."""
        while self.out and not self.closed:
            room = self.peer.window - self.flight
            if room <= 0:
                return
            size = self.network.piece(min(room, len(self.out)))
            chunk = bytes(self.out[:size])
            del self.out[:size]
            self.flight += size
            self._send(self.peer._arrive, chunk)
        if self.out or self.closed:
            return
        if self.closing:
            self._shut()
        elif self.ended and not self.fin_sent:
            self.fin_sent = True
            self._send(self.peer._fin)

    def _send(self, what: Callable[..., None], *args: Any) -> None:
        size = len(args[0]) if args else 0
        self.arrives = max(self.arrives, self.loop.clock + self.way) + size * self.network.byte_ps // 1000
        self.loop.at(self.arrives, what, *args)

    def _shut(self) -> None:
        """The socket is closed."""
        if self.closed:
            return
        self.closed = True
        if self.inbox or self.resets:
            self.inbox.clear()
            self._send(self.peer._reset)
        elif not self.fin_sent:
            self.fin_sent = True
            self._send(self.peer._fin)
        self._tell_lost(None)

    def _arrive(self, chunk: bytes) -> None:
        if self.closed:
            self._send(self.peer._reset)
            return
        self.came = self.loop.clock
        self.inbox += chunk
        self._plan_read()

    def _fin(self) -> None:
        if not self.closed:
            self.came = self.loop.clock
            self.eof_in = True
            self._plan_read()

    def _reset(self) -> None:
        if self.closed:
            return
        problem = ConnectionResetError(104, "Connection reset by peer")
        if self.out:
            self._lose(problem)  # the next piece can't be written
        else:
            self.reset_by = problem  # known with the next look at the socket, behind what has come
            self._plan_read()

    def _lose(self, problem: Exception | None) -> None:
        if self.closed:
            return
        self.closed = self.closing = True
        self.stopped = False  # nobody is told to go on
        self.out.clear()
        self.inbox.clear()
        self._tell_lost(problem)

    def _tell_lost(self, problem: Exception | None) -> None:
        if not self.lost:
            self.lost = True
            self.network.drop(self.owner, self)
            if self.protocol is not None:
                self.loop.call_soon(self._say_lost, problem, context=self.context)

    def _say_lost(self, problem: Exception | None) -> None:
        protocol, self.protocol = self.protocol, None
        protocol.connection_lost(problem)

    def _plan_read(self) -> None:
        waits = self.inbox or ((self.eof_in or self.reset_by is not None) and not self.eof_told)
        if waits and self.reading and not self.paused and not self.closing and not self.full:
            self.full = True  # a read is planned
            self.loop.call_soon(self._deliver, context=self.context)

    def _deliver(self) -> None:
        """What has come goes to the protocol."""
        self.full = False
        if self.paused or self.closing or self.protocol is None:
            return
        if self.inbox:
            data = bytes(self.inbox[:MOST_READ])
            del self.inbox[: len(data)]
            self._made_room(len(data))
            self.protocol.data_received(data)
            self._plan_read()
        elif self.reset_by is not None and not self.eof_told:
            self._lose(self.reset_by)
        elif self.eof_in and not self.eof_told:
            self.eof_told = True
            if not self.protocol.eof_received():
                self.close()

    def _made_room(self, size: int) -> None:
        peer = self.peer
        peer.flight -= size
        if peer.out:
            self.loop.at(self.loop.clock + self.way, peer._opened)

    def _opened(self) -> None:
        """The other end has read: its window is open again."""
        if self.closed:
            return
        if self.stopped:
            self.loop.call_soon(self._steer_writer, context=self.context)  # before the end, if this is it
        self._pump()

    def _steer_writer(self) -> None:
        if self.protocol is None:
            return
        if not self.stopped and len(self.out) > self.high:
            self.stopped = True
            self.protocol.pause_writing()
        elif self.stopped and len(self.out) <= self.low:
            self.stopped = False
            self.protocol.resume_writing()

    def readable(self) -> bool:
        """Whether something waits that the protocol has not been given."""
        return (
            bool(self.inbox)
            or (self.eof_in and not self.eof_told)
            or self.reset_by is not None
            or self.closed
        )

    def hung_up(self) -> bool:
        """Whether the other end has ended or reset it, also behind what was not read."""
        return self.eof_in or self.reset_by is not None or self.closed

    def die(self) -> None:
        """The process that holds this end is gone: its kernel resets what is open."""
        if not self.closed:
            self.closed = self.closing = self.lost = True
            self._send(self.peer._reset)
            self.protocol = None


class Server(asyncio.AbstractServer):
    """What accepts at a door."""

    def __init__(self, door: "Door", make: Callable[[], Any], in_a_turn: int) -> None:
        self.door, self.make, self.in_a_turn = door, make, in_a_turn
        self.context = contextvars.copy_context()
        self.owner = OWNER.get()
        self.open = True
        self.planned = False
        self.owns: Door | None = None
        self.sockets: tuple[Any, ...] = (_Named(door.address),)

    def plan(self) -> None:
        if self.open and not self.planned and self.door.queue and not self.door.hangs:
            self.planned = True
            self.door.network.loop.call_soon(self._accept_turn, context=self.context)

    def _accept_turn(self) -> None:
        self.planned = False
        for _ in range(self.in_a_turn):
            if not self.open or not self.door.queue:
                return
            if not self.door.network.room(self.owner):
                # Out of descriptors: it is tried again, as a loop does.
                self.door.network.loop.call_later(1.0, self.plan, context=self.context)
                return
            end = self.door.queue.popleft()
            if not end.closed:
                end.attach(self.make())
        self.plan()

    def close(self) -> None:
        self.open = False
        if self.door.server is self:
            self.door.server = None
        if self.owns is not None:
            self.owns.close()

    def is_serving(self) -> bool:
        return self.open

    def get_loop(self) -> asyncio.AbstractEventLoop:
        return self.door.network.loop

    async def start_serving(self) -> None:
        self.plan()

    async def serve_forever(self) -> None:
        await self.door.network.loop.create_future()

    async def wait_closed(self) -> None:
        """Nothing more has to happen."""


class _Named:
    """As much of a socket as tells its address."""

    def __init__(self, address: Address) -> None:
        self.address = address

    def getsockname(self) -> Address:
        return self.address


class Door:
    """A listening socket: who has connected waits in its queue until somebody accepts."""

    def __init__(self, network: "Network", address: Address) -> None:
        self.network, self.address = network, address
        self.queue: deque[End] = deque()
        self.backlog = 1024
        self.server: Server | None = None
        self.hangs = self.refuses = False
        self.owner = OWNER.get()

    async def accept(self, make: Callable[[], Any], in_a_turn: int, backlog: int) -> Server:
        self.backlog = backlog
        self.server = Server(self, make, in_a_turn)
        self.server.plan()
        return self.server

    def waits(self) -> bool:
        return bool(self.queue)

    def close(self) -> None:
        self.network.doors.pop(self.address, None)
        self.forsake()

    def forsake(self) -> None:
        """Who waits in the queue is reset."""
        for end in self.queue:
            end.die()
        self.queue.clear()


class Place:
    """A stand-in's listening address, which can refuse, or hang, and be itself again."""

    def __init__(self, network: "Network", make: Callable[[], Any]) -> None:
        self.door = network.door("127.0.0.1", 0)
        self.address = self.door.address
        self.door.server = Server(self.door, make, 1024)

    def open(self) -> None:
        self.door.hangs = self.door.refuses = False
        if self.door.server is not None:
            self.door.server.plan()

    def refuse(self) -> None:
        self.door.hangs, self.door.refuses = False, True
        self.door.forsake()

    def hang(self) -> None:
        self.door.hangs, self.door.refuses = True, False

    def close(self) -> None:
        self.door.close()


class Network:
    """All doors and connections of a day. `chop` is the part of writes that is cut at seeded places, `ways`
    from what to what the time of one way goes (ns)."""

    def __init__(
        self,
        loop: VirtualLoop,
        seed: int,
        chop: float = 0.0,
        ways: tuple[int, int] = (WAY, WAY),
        window: int = WINDOW,
        byte_ps: int = 1000,
    ) -> None:
        self.loop, self.chop, self.ways, self.window, self.byte_ps = loop, chop, ways, window, byte_ps
        self.random = Random(f"{seed}/network")
        self.doors: dict[Address, Door] = {}
        self.datagrams = Datagrams(loop, self.port, WAY)
        self.ports = 20_000
        self.held: dict[Owner, dict[End, None]] = {}
        self.limits: dict[Owner, int] = {}

    def port(self) -> int:
        self.ports += 1
        return self.ports

    def door(self, host: Any, port: Any) -> Door:
        """Listens at an address; raises OSError where somebody does."""
        address = str(host), int(port or self.port())
        if address in self.doors:
            raise OSError(98, "Address already in use")
        made = self.doors[address] = Door(self, address)
        return made

    def place(self, make: Callable[[], Any]) -> Place:
        return Place(self, make)

    def way(self, address: Address) -> int:
        """ns of one way on a new connection; those between the world's own parts are all alike."""
        first, last = self.ways
        return WAY if address[1] == BUS or first == last else self.random.randint(first, last)

    def piece(self, size: int) -> int:
        """How much of a write goes on its way in one piece."""
        if self.chop and size > 1 and self.random.random() < self.chop:
            return self.random.randint(1, min(size, self.random.choice((1, 7, 100, size))))
        return size

    def room(self, owner: Owner | None) -> bool:
        return owner is None or len(self.held.get(owner, ())) < self.limits.get(owner, 1 << 30)

    def hold(self, owner: Owner | None, end: End) -> None:
        if owner is not None:
            self.held.setdefault(owner, {})[end] = None

    def drop(self, owner: Owner | None, end: End) -> None:
        if owner is not None:
            self.held.get(owner, {}).pop(end, None)

    def kill(self, owner: Owner) -> None:
        """The owner's process dies: its connections are reset, its doors are gone."""
        owner.dead = True
        owner.line.clear()
        owner.remains = list(owner.tasks)
        for end in list(self.held.pop(owner, {})):
            end.die()
        for door in [one for one in self.doors.values() if one.owner is owner]:
            door.close()
        self.datagrams.kill(owner)

    async def connect(self, factory: Callable[[], Any], address: Any) -> tuple[End, Any]:
        """As loop.create_connection."""
        host, port = str(address[0]), int(address[1])
        if not self.room(OWNER.get()):
            raise OSError(EMFILE, "Too many open files")
        near = End(self, ("127.0.0.1", self.port()), (host, port))
        near.way = self.way((host, port))
        waiter: asyncio.Future[None] = self.loop.create_future()
        self.loop.at(self.loop.clock + near.way, self._knock, near, (host, port), waiter, 0)
        try:
            await waiter
        except asyncio.CancelledError:
            near.closing = near.closed = True
            if near.peer is not near:
                near._send(near.peer._reset)
            raise
        protocol = factory()
        near.attach(protocol)
        return near, protocol

    def _knock(self, near: End, address: Address, waiter: "asyncio.Future[None]", tries: int) -> None:
        if waiter.done():
            return
        door = self.doors.get(address)
        if door is None or door.refuses:
            refused = ConnectionRefusedError(111, f"Connect call failed {address}")
            self.loop.at(self.loop.clock + near.way, self._settle, waiter, refused)
        elif door.hangs or len(door.queue) > door.backlog:
            pause = AGAIN[min(tries, len(AGAIN) - 1)]
            again = self.loop.clock + int(pause * 1e9)
            self.loop.at(again, self._knock, near, address, waiter, tries + 1)
        else:
            far = End(self, address, near.address)
            near.peer, far.peer, far.way = far, near, near.way
            door.queue.append(far)
            if door.server is not None:
                door.server.plan()
            self.loop.at(self.loop.clock + near.way, self._settle, waiter, None)

    @staticmethod
    def _settle(waiter: "asyncio.Future[None]", problem: Exception | None) -> None:
        if waiter.done():
            return
        if problem is None:
            waiter.set_result(None)
        else:
            waiter.set_exception(problem)

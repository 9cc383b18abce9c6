"""Scripted peers of the router under test on loopback sockets: clients, cache servers, an origin, discovery.

A peer's script takes what it was asked, and the connection to answer on; it gives the bytes to answer with,
or None to send nothing.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Any

import hiredis

from rainhitch.node.client_connections import ClientConnections
from rainhitch.node.connection_pool import ConnectionPools
from rainhitch.node.endpoint_directory import EndpointDirectory
from rainhitch.node.request_driver import RequestDriver
from rainhitch.node.resp3_cache_connection import Resp3CacheConnection
from rainhitch.overload.controller import OverloadController
from rainhitch.protocol.resp import FramingError, command
from rainhitch.protocol.resp3_reader import Resp3Reader
from rainhitch.protocol.resp3_types import Map
from rainhitch.protocol.resp3_writer import encode
from rainhitch.settings import read_names, read_settings, read_socket_limits

PATIENCE = 20.0  # s; every wait of these tests is on an event, and this long at the most
WAIT_INTERVAL_S = 0.005  # between two looks at what a test waits for
Json = dict[str, Any]
Script = Callable[[Any, asyncio.StreamWriter], bytes | None]


def info(**ceilings: Any) -> Json:
    """Settings in the platform's words, as a configuration has them; with the given ceilings changed."""
    second = 1_000_000_000
    return {
        "azs": ["a", "b"],
        "hostTypes": ["std", "origin"],
        "balancers": 1,
        "ceilings": {"attemptsCap": 4, "dialTimeout": 250_000_000, "keepalive": 60 * second, **ceilings},
        "classes": [
            {"name": "read", "aim": 5 * second, "deadline": 10 * second, "lateWorth": 0.5},
            {
                "name": "put",
                "aim": 5 * second,
                "deadline": 10 * second,
                "effect": "keyed",
                "group": "all",
                "repeatWindow": 5 * second,
                "lateWorth": 0.5,
            },
            {"name": "once", "aim": 5 * second, "deadline": 10 * second, "effect": "unsafe"},
        ],
        "tenants": [{"name": "acme"}],
        "registryMode": "pushed",
        "safety": {"coldFrom": 0.3, "rampTime": 10 * second, "tipMultiple": 3.0},
        "specifics": {"mode": "aside", "originKind": 1},
    }


async def wait_until(what: Callable[[], Any]) -> Any:
    """Waits until something is true; gives it. Raises TimeoutError after PATIENCE."""
    async with asyncio.timeout(PATIENCE):
        while not (value := what()):
            await asyncio.sleep(WAIT_INTERVAL_S)
        return value


class Peer:
    """A listener that keeps what came, in `received`, and answers as its script says.

    `lines` are its connections in the order in which they came.
    """

    def __init__(self, answer: Script) -> None:
        self.answer = answer
        self.received: list[Any] = []
        self.lines: list[asyncio.StreamWriter] = []
        self.line_of: dict[asyncio.StreamReader, asyncio.StreamWriter] = {}
        self.ended = 0  # connections that the router closed
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port of 127.0.0.1."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.lines.append(writer)
        self.line_of[reader] = writer
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while (asked := await self.read(reader)) is not None:
                self.received.append(asked)
                answer = self.answer(asked, writer)
                if answer is not None:
                    writer.write(answer)
        self.ended += 1
        writer.close()

    async def read(self, reader: asyncio.StreamReader) -> Any:
        """Reads one request; None where the connection has ended."""
        raise NotImplementedError

    async def stop(self) -> None:
        """Stops listening and breaks all connections."""
        assert self.server is not None
        self.server.close()
        for line in self.lines:
            line.transport.abort()
        await self.server.wait_closed()


class Cache(Peer):
    """A cache server; `received` holds the commands as lists of bytes."""

    async def read(self, reader: asyncio.StreamReader) -> Any:
        """Reads one command of RESP2."""
        count = await reader.readline()
        if not count:
            return None
        parts = []
        for _ in range(int(count[1:])):
            size = int((await reader.readline())[1:])
            parts.append((await reader.readexactly(size + 2))[:-2])
        return parts


def as_resp3_reply(answer: bytes) -> bytes:
    """An answer of RESP2 as a server of RESP3 gives it, with how the read went in a map; others unchanged."""
    reader = Resp3Reader()
    reader.feed(answer)
    try:
        parts = reader.next()
    except FramingError:
        return answer
    if not isinstance(parts, list) or len(parts) != 3 or not reader.idle():
        return answer
    value, note, report = parts
    return encode([value, Map(((b"note", note), (b"load", report)))], 3)


class Resp3Cache(Cache):
    """A cache server that speaks RESP3 where HELLO asks for it; HELLO is counted and not in `received`."""

    greeting = encode(Map(((b"server", b"cache"), (b"proto", 3))), 3)

    def __init__(self, answer: Script) -> None:
        super().__init__(lambda asked, line: (plain := answer(asked, line)) and as_resp3_reply(plain))
        self.greeted = 0

    async def read(self, reader: asyncio.StreamReader) -> Any:
        """Reads one command, and answers greetings before it."""
        while (asked := await super().read(reader)) is not None and asked[0] == b"HELLO":
            self.greeted += 1
            self.line_of[reader].write(self.greeting)
        return asked


class HttpPeer(Peer):
    """An HTTP server; `received` holds method, target, headers and body."""

    async def read(self, reader: asyncio.StreamReader) -> Any:
        """Reads one request."""
        line = await reader.readline()
        if not line:
            return None
        method, target, _ = line.split()
        headers = {}
        while (line := (await reader.readline()).strip()) != b"":
            name, _, value = line.partition(b":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get(b"content-length", 0)))
        return method, target, headers, body


def http(status: int, body: bytes = b"", extra: bytes = b"") -> bytes:
    """An HTTP answer; `extra`: whole header lines."""
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b\r\n%b" % (status, len(body), extra, body)


def entry(name: str, address: str, **changes: Any) -> Json:
    """An entry of the endpoint list in the platform's words: a ready cache server, with fields changed."""
    fields: Json = {
        "uid": name,
        "endpoint": address,
        "az": "a",
        "model": "std",
        "pod_group": 0,
        "state": "Ready",
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }
    return {**fields, **changes}


class Caller:
    """A client's connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.parser = hiredis.Reader()

    def send(self, *parts: bytes) -> None:
        """Sends a command."""
        self.writer.write(command(*parts))

    def get(self, key: bytes = b"k", name: bytes = b"i1", info: bytes = b"c=read,t=acme,d=9000") -> None:
        """Sends C.GET with the id `name`."""
        self.send(b"C.GET", key, name, info)

    async def answer_to_ping(self) -> None:
        """Sends PING, and checks that the router says PONG."""
        self.send(b"PING")
        assert await self.answer() == b"PONG"

    async def answer(self) -> Any:
        """The next answer; None once the router has closed."""
        async with asyncio.timeout(PATIENCE):
            while True:
                answer = self.parser.gets()
                if answer is not False:
                    return answer
                data = await self.reader.read(65_536)
                if not data:
                    return None
                self.parser.feed(data)


@dataclass
class Bench:
    """A router in this process with its peers; `clients` and `pools` are its two sides."""

    cache: Cache
    origin: HttpPeer
    driver: RequestDriver
    clients: ClientConnections
    directory: EndpointDirectory
    pools: ConnectionPools
    port: int
    callers: list[Caller] = field(default_factory=list)
    version: int = 2  # the protocol of the clients

    async def caller(self, version: int = 0) -> Caller:
        """Connects a client, which greets where it speaks RESP3; `version` 0: the bench's."""
        caller = Caller(*await asyncio.open_connection("127.0.0.1", self.port))
        self.callers.append(caller)
        if (version or self.version) == 3:
            caller.send(b"HELLO", b"3")
            assert (await caller.answer())[b"proto"] == 3
        return caller


def hit(value: bytes = b"v") -> bytes:
    """A cache server's answer in RESP2 that has the value."""
    return b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value)


FETCHED = http(200, b"from origin")
MISS = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"


@contextlib.asynccontextmanager
async def router(
    cache: Script = lambda asked, line: hit(),
    origin: Script = lambda asked, line: FETCHED,
    entries: Callable[[Cache, HttpPeer], list[Json]] | None = None,
    *,
    sockets: int = 64,
    memory: int = 8 << 20,
    versions: tuple[int, int] = (2, 2),
    **ceilings: Any,
) -> AsyncIterator[Bench]:
    """One router with one cache server and one origin, put together as the program does it.

    `cache` and `origin` are their scripts, `entries` gives another endpoint list, `sockets` is the cap of
    each side, `memory` the bytes that may be held, `versions` the protocols of clients and cache servers.
    """
    from rainhitch.policy.balancer import Balancer

    cache_class = Cache if versions[1] == 2 else Resp3Cache
    peers = cache_class(cache), HttpPeer(origin)
    for peer in peers:
        await peer.start()
    configured = info(**ceilings)
    settings = read_settings(configured)
    limits = read_socket_limits(configured)
    names = read_names(configured)
    pools = ConnectionPools(sockets, limits.connect_timeout_ns / 1e9, limits.keepalive_ns / 1e9)
    overload = OverloadController(settings, 1)
    driver = RequestDriver(Balancer(settings, 1, overload), pools, limits.max_requests, memory)
    directory = EndpointDirectory(names, 1, pools, driver.endpoints_updated)

    def can_serve() -> bool:
        return directory.can_serve and not clients.draining

    clients = ClientConnections(driver, names, sockets, memory, can_serve=can_serve, overload=overload)
    if versions[1] == 3:
        directory.cache_connection_class = Resp3CacheConnection
    listed = [entry("c0", peers[0].address), entry("o", peers[1].address, model="origin")]
    if entries is not None:
        listed = entries(*peers)
    directory.apply({"rev": 5, "all": True, "targets": listed}, cached=True)
    _, port = await clients.listen("127.0.0.1", 0)
    bench = Bench(*peers, driver, clients, directory, pools, port, version=versions[0])
    try:
        yield bench
    finally:
        for caller in bench.callers:
            caller.writer.transport.abort()
        clients.close()
        for peer in peers:
            await peer.stop()

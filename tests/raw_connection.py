"""A plain socket to a fake, on which a test writes and reads bytes as they are."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

from peers import PATIENCE

from rainhitch.rehearsal.fakes.cache_node import CacheNode
from rainhitch.rehearsal.fakes.cache_node_work import CacheNodeSpec

BRIEF_S = 0.3  # in which nothing may come


class RawConnection:
    """A connection to a fake, without any codec."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def get(self, key: str = "k", request_id: str = "i1") -> None:
        """Writes a read as a router does."""
        words = ["C.GET", key, request_id, "c=read,t=a,d=900"]
        self.send(f"*{len(words)}\r\n" + "".join(f"${len(word)}\r\n{word}\r\n" for word in words))

    def send(self, text: str) -> None:
        """Writes text as it is."""
        self.writer.write(text.encode())

    async def read(self, size: int = 4096) -> bytes:
        """What comes next; b"" for an end, b"RESET" for a reset."""
        async with asyncio.timeout(PATIENCE):
            try:
                return await self.reader.read(size)
            except ConnectionResetError:
                return b"RESET"

    async def silent(self) -> bool:
        """Whether nothing comes for a while, not even an end."""
        try:
            async with asyncio.timeout(BRIEF_S):
                await self.reader.read(1)
        except TimeoutError:
            return True
        return False


async def connect(endpoint: str) -> RawConnection:
    """A connection to a fake that listens at HOST:PORT."""
    host, _, port = endpoint.rpartition(":")
    async with asyncio.timeout(PATIENCE):
        return RawConnection(*await asyncio.open_connection(host, int(port)))


@contextlib.asynccontextmanager
async def cache_node(work_us: float = 1000.0, routers: int = 2, **changes: Any) -> AsyncIterator[CacheNode]:
    """A cache node that holds four keys; each request takes `work_us` there, `changes` are its spec's."""
    node = CacheNode(
        "n0", CacheNodeSpec(**{"memory_keys": 4, **changes}), routers, lambda request_id: work_us
    )
    try:
        yield node
    finally:
        node.close()

"""What a router asks of its machine, on a virtual loop."""

import asyncio
from typing import cast

from rainhitch.rehearsal.virtual.loop import BEGIN, OWNER, UNIX, VirtualLoop
from rainhitch.rehearsal.virtual.network import Door, End


class VirtualSystem:
    """All routers' machines; each has a wall clock of its own."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop

    def now(self) -> int:
        owner = OWNER.get()
        return self.loop.clock if owner is None else owner.time(self.loop.clock)

    def unix(self) -> int:
        owner = OWNER.get()
        return UNIX + self.now() - BEGIN + (0 if owner is None else owner.unix_jump)

    def cpu(self) -> float:
        owner = OWNER.get()
        return 0.0 if owner is None else owner.worked / 1e9

    def open_listener(self, host: str, port: int, inherited: int | None) -> Door:
        made: Door = self.loop.network.door(host, port)
        return made

    def readable(self, transport: asyncio.Transport) -> bool:
        return cast(End, transport).readable()

    def hung_up(self, transport: asyncio.Transport) -> bool:
        return cast(End, transport).hung_up()

    def shut(self, transport: asyncio.Transport) -> None:
        """The abort that follows does all."""

    def unread_ms(self, transport: asyncio.Transport) -> int:
        return (self.loop.clock - cast(End, transport).came) // 1_000_000

    def take_unread(self, transport: asyncio.Transport, most: int) -> bytes:
        end = cast(End, transport)
        data = bytes(end.inbox[:most])
        del end.inbox[: len(data)]
        return data

    def bound_reads(self, transport: asyncio.Transport, size: int) -> None:
        end = cast(End, transport)
        end.window = min(end.window, 2 * size)

"""Clients that stop half way fill the router's memory: do whole commands still get an answer each?"""

import asyncio
import contextlib
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import (  # noqa: E402
    ENDED,
    HOST,
    CouldNotRunError,
    Discovery,
    Origin,
    Record,
    Router,
    allow_descriptors,
    command,
    main,
    read_answer,
    read_command,
    router_document,
    target,
    trouble,
    value_reply,
)

MEMORY_MB, SOCKETS = 96, 512  # "half the memory and descriptors" of 192 MB and 1,024
ROUNDS = 4
HALF_WAY = 330  # clients that stop half way, of "crowds of thousands"
HALF_COMMAND = (
    b"*5\r\n$5\r\nC.SET\r\n$16\r\n00000000000c0ffe\r\n$16\r\n%016x\r\n"
    b"$36\r\nc=order-place,t=nangang-chip,d=2400,\r\n$65536\r\n" + b"x" * 62_000
)
USUAL = 40  # clients that send many commands at once
COMMANDS = 40  # at once
WAIT_MS = 4500
GRACE_S = 0.55  # "up to half a second after its time", and the 50 ms of each limit on sockets
WORK_S = 0.1


class CacheServer:
    """Holds every key; answers a read after its work."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.port = 0

    async def start(self) -> None:
        """Begins to listen."""
        server = await asyncio.start_server(self._serve, HOST, 0, backlog=1024)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*ENDED):
            while True:
                parts = await read_command(reader)
                await asyncio.sleep(WORK_S)
                writer.write(value_reply(b"%b for %b" % (parts[1], parts[2])))
        writer.close()


async def half_way(number: int, port: int, counts: Counter[str]) -> None:
    """Sends most of a write, stops in the middle of its value, and stays."""
    with contextlib.suppress(*ENDED):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(HALF_COMMAND % number)
        answer = await asyncio.wait_for(reader.read(100), 6)
        counts[answer.decode().strip() or "closed"] += 1
        writer.close()


def burst(number: int, turn: int) -> tuple[list[str], bytes]:
    """Returns the ids of reads, and the bytes that carry them all."""
    calls = [f"{number:04x}{turn:04x}{one:08x}" for one in range(COMMANDS)]
    fields = f"c=menu-read,t=nangang-chip,d={WAIT_MS}".encode()
    reads = [
        command(b"C.GET", f"{one:016x}".encode(), call.encode(), fields) for one, call in enumerate(calls)
    ]
    return calls, b"".join(reads)


async def usual(number: int, turn: int, port: int, record: Record, counts: Counter[str]) -> None:
    """Asks once on a new connection, then sends many whole commands at once on it, and reads the answers."""
    reader, writer = await asyncio.open_connection(HOST, port)
    fields = f"c=menu-read,t=nangang-chip,d={WAIT_MS}".encode()
    writer.write(command(b"C.GET", b"%016x" % number, b"%08x%08x" % (number, 0xFFFF + turn), fields))
    await asyncio.wait_for(read_answer(reader), WAIT_MS / 1000 + GRACE_S)
    calls, data = burst(number, turn)
    writer.write(data)
    due_from = time.monotonic()  # "the time for which one has to wait for those before it does not count"
    record.line(f"client {number} sends {calls[0]} to {calls[-1]} at once, {len(data)} bytes")
    ending = ""
    for call in calls:
        if not ending:
            try:
                how, body = await asyncio.wait_for(
                    read_answer(reader), due_from + WAIT_MS / 1000 + GRACE_S - time.monotonic()
                )
                due_from = time.monotonic()
                counts[how] += 1
                record.line(f"client {number} {call} {how} {body.decode()}")
                continue
            except TimeoutError:
                ending = "no answer in time"
            except (OSError, asyncio.IncompleteReadError):
                ending = "the router ended the connection"
        counts["lost"] += 1
        record.line(f"client {number} {call} LOST: {ending}")
    writer.close()


async def play(record: Record, folder: Path, routers: list[Router]) -> int:
    """Plays the rounds and judges what the usual clients got."""
    caches = [CacheServer(f"s-{number}") for number in range(6)]
    for cache in caches:
        await cache.start()
    origin = Origin(record)
    await origin.start()
    targets = [target(cache.name, cache.port, room=room) for room, cache in enumerate(caches)]
    targets.append(target("o-1", origin.port, "origin"))
    discovery = Discovery(targets)
    await discovery.start()
    document = router_document("n0", discovery.port, targets, memory_mb=MEMORY_MB, sockets=SOCKETS)
    routers.append(Router(folder, "n0", document))
    router = routers[0]
    router.start()
    await router.ready()
    counts: Counter[str] = Counter()
    bad: Counter[str] = Counter()
    for turn in range(ROUNDS):
        half: list[asyncio.Task[None]] = []
        if trouble():
            half = [asyncio.create_task(half_way(number, router.port, bad)) for number in range(HALF_WAY)]
            record.line(f"{HALF_WAY} clients send half a write each and stop")
        await asyncio.sleep(1.0)
        await asyncio.gather(*(usual(number, turn, router.port, record, counts) for number in range(USUAL)))
        await asyncio.gather(*half)
        record.say(f"round {turn}: so far {dict(counts)}; half way: {dict(bad)}; {router.memory_mb():.0f} MB")
    record.say(f"requests without an answer: {counts['lost']} of {ROUNDS * USUAL * COMMANDS}")
    if sum(counts.values()) != ROUNDS * USUAL * COMMANDS:
        raise CouldNotRunError("not every request was played")
    return 1 if counts["lost"] else 0


if __name__ == "__main__":
    allow_descriptors(4096)
    sys.exit(main(play, HERE, asyncio.new_event_loop))

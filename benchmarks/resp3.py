"""RESP3: what the codec stands, what it costs beside hiredis, and what a request costs in the four pairings.

    python -m benchmarks.resp3 [--frames 200000] [--seconds 6] [--repeats 5]

Prints: mutated frames that crashed, hung or passed the bounds (there must be none); microseconds for an
answer read by the plain path, by hiredis and by the RESP3 reader; CPU of the router for a hit, clients and
cache servers in protocol 2 or 3, in turn within one run, as a ratio to 2/2; and what a push costs.
"""

import argparse
import asyncio
import os
import resource
import statistics
import sys
import time
from pathlib import Path
from random import Random

import hiredis

from rainhitch.protocol import resp
from rainhitch.protocol.resp3_reader import MAX_MESSAGE_BYTES, Resp3Reader
from rainhitch.protocol.resp3_types import Map, Push
from rainhitch.protocol.resp3_writer import encode

SEEDS: list[bytes] = [
    b"*3\r\n$5\r\nhello\r\n$3\r\nhit\r\n$-1\r\n",
    b"*2\r\n$5\r\nhello\r\n%2\r\n+note\r\n+hit\r\n+load\r\n_\r\n",
    b"%2\r\n+a\r\n,1.5\r\n+b\r\n(123456789012345678901234567890\r\n",
    b">2\r\n$10\r\ninvalidate\r\n*1\r\n$3\r\nkey\r\n",
    b"$?\r\n;4\r\nHell\r\n;5\r\no wor\r\n;0\r\n",
    b"*?\r\n:1\r\n~2\r\n#t\r\n#f\r\n.\r\n",
    b"|1\r\n+ttl\r\n:3600\r\n=15\r\ntxt:Some string\r\n",
    b"!21\r\nSYNTAX invalid syntax\r\n_\r\n",
]
INSERTS = [
    b"\r\n",
    b"*",
    b"%",
    b"$",
    b"?",
    b"-1",
    b"9999",
    b"|1\r\n",
    b">1\r\n",
    b";0\r\n",
    b".\r\n",
    b"\0",
    b"*1\r\n" * 3,
]
MOST_KEPT = MAX_MESSAGE_BYTES + (1 << 17)


def mutate(random: Random) -> bytes:
    """A valid frame with a few bytes changed, dropped, doubled or put in."""
    text = bytearray(random.choice(SEEDS) + random.choice(SEEDS))
    for _ in range(random.randint(1, 6)):
        at = random.randrange(len(text) + 1)
        what = random.random()
        if what < 0.3:
            text[at:at] = random.choice(INSERTS)
        elif what < 0.5:
            del text[at : at + random.randint(1, 4)]
        elif what < 0.7:
            text[at : at + 1] = bytes([random.randrange(256)])
        else:
            begin = random.randrange(len(text) + 1)
            text[at:at] = text[begin : begin + random.randint(1, 12)]
    return bytes(text)


def fuzz(seed: int, count: int) -> int:
    """Reads so many mutated frames in pieces; gives how many ended in values, in waiting, or in a
    FramingError."""
    random, fine = Random(seed), 0
    for _ in range(count):
        text, reader = mutate(random), Resp3Reader(relays_long_values=random.random() < 0.5)
        at = steps = 0
        try:
            while at < len(text):
                piece = text[at : at + random.randint(1, 20)]
                at += len(piece)
                reader.feed(piece)
                while reader.next() is not resp.NEED_DATA:
                    reader.read_body()
                    steps += 1
                    if steps > 4 * len(text) + 16:
                        raise AssertionError(f"no end: {text!r}")
                if len(reader.buffer) > MOST_KEPT:
                    raise AssertionError(f"over the bounds: {text!r}")
        except resp.FramingError:
            pass
        fine += 1
    return fine


def read_cost(read: "object", rounds: int = 30_000) -> float:
    """Microseconds of CPU a call, the best of five."""
    assert callable(read)
    best = 1e9
    for _ in range(5):
        begun = time.process_time()
        for _ in range(rounds):
            read()
        best = min(best, (time.process_time() - begun) / rounds * 1e6)
    return best


def codec_costs() -> None:
    value = b"v" * 400
    two = b"*3\r\n$400\r\n" + value + b"\r\n$3\r\nhit\r\n$-1\r\n"
    three = encode([value, Map(((b"note", b"hit"),))], 3)
    frames, own, other = (
        resp.Resp2Reader(reads_replies=True),
        Resp3Reader(relays_long_values=True),
        hiredis.Reader(),
    )

    def plain() -> None:
        frames.feed(two)
        frames.next()

    def reader() -> None:
        own.feed(three)
        own.next()

    def by_hiredis() -> None:
        other.feed(three)
        other.gets()

    costs = [read_cost(one) for one in (plain, by_hiredis, reader)]
    print(
        f"an answer of 400 bytes: plain path of RESP2 {costs[0]:.1f} us, RESP3 by hiredis {costs[1]:.1f} us ",
        end="",
    )
    print(f"(without bounds), by protocol/resp3_reader.py {costs[2]:.1f} us")


def cpu() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


async def hits(versions: tuple[int, int], seconds: float, callers: int) -> float:
    """CPU microseconds of this process a hit, peers and router in one; the peers are the same in all
    pairings."""
    sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))
    import peers

    answer = peers.hit(b"v" * 400)
    three = peers.dressed(answer)
    count = 0
    async with peers.router(lambda asked, line: answer, sockets=256, versions=versions) as bench:
        if versions[1] == 3:
            bench.cache.answer = lambda asked, line: three
        ends = time.monotonic() + seconds

        async def ask(number: int) -> None:
            nonlocal count
            caller = await bench.caller()
            while time.monotonic() < ends:
                caller.get(b"k%d" % (count % 500), b"%d-%d" % (number, count))
                answered = await caller.answer()
                count += isinstance(answered, bytes)  # a router that has just started refuses a few

        begun = cpu()
        await asyncio.gather(*(ask(n) for n in range(callers)))
        return (cpu() - begun) / count * 1e6


async def pushes(count: int) -> float:
    """CPU microseconds for an invalidation of a key that is known, on an idle connection."""
    sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))
    import peers

    async with peers.router(versions=(2, 3)) as bench:
        caller = await bench.caller()
        caller.get()
        await caller.answer()
        memory = bench.driver.balancer.key_memory
        for n in range(10_000):
            memory.remember(f"k{n}", 1, "c0")
        texts = [encode(Push((b"invalidate", [b"k%d" % n])), 3) for n in range(10_000)]
        line, begun = bench.cache.lines[0], cpu()
        for n in range(count):
            line.write(texts[n % 10_000])
            if n % 100 == 0:
                await asyncio.sleep(0)
        await peers.soon(lambda: len(memory.seen) <= 1)
        return (cpu() - begun) / count * 1e6


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--frames", type=int, default=200_000)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--repeats", type=int, default=5)
    parser.add_argument("--callers", type=int, default=8)
    told = parser.parse_args()
    print(f"{os.cpu_count()} cores; router and scripted peers in one process\n")
    begun = time.monotonic()
    count = fuzz(1, told.frames)
    print(f"{count} mutated frames read in {time.monotonic() - begun:.0f} s, none crashed or hung")
    codec_costs()
    pairings = [(2, 2), (2, 3), (3, 2), (3, 3)]
    found: dict[tuple[int, int], list[float]] = {one: [] for one in pairings}
    for _ in range(told.repeats):
        for one in pairings:
            found[one].append(asyncio.run(hits(one, told.seconds / len(pairings), told.callers)))
    print("\n| client | node | CPU a hit, us (median) | ratio to 2/2 (median of paired) |")
    print("| --- | --- | --- | --- |")
    for one in pairings:
        ratios = [a / b for a, b in zip(found[one], found[2, 2], strict=True)]
        middle = statistics.median(found[one])
        print(f"| {one[0]} | {one[1]} | {middle:.0f} | {statistics.median(ratios):.3f} |")
    print(f"\na push that voids a known key, peer and router: {asyncio.run(pushes(10_000)):.1f} us")


if __name__ == "__main__":
    main()

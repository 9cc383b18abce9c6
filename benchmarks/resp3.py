"""RESP3: what the codec withstands and costs, and what a request costs by protocol versions.

    python -m benchmarks resp3 [--frames 200000] [--seconds 6] [--repeats 5]

Prints: mutated frames that crashed, hung or passed the bounds (there must be none); microseconds for an
answer read by the plain path, by hiredis and by the RESP3 reader; CPU of the router for a hit, clients and
cache servers in protocol 2 or 3, in turn within one run, as a ratio to 2/2; and what a push costs.
"""

import argparse
import asyncio
import contextlib
import os
import resource
import statistics
import sys
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from types import ModuleType
from typing import NamedTuple

import hiredis

from benchmarks.rig import parser_for, print_row, print_table_header
from rainhitch.protocol import resp
from rainhitch.protocol.resp2_reader import Resp2Reader
from rainhitch.protocol.resp3_reader import MAX_RESP3_MESSAGE_BYTES, Resp3Reader
from rainhitch.protocol.resp3_types import Map, Push
from rainhitch.protocol.resp3_writer import encode

SEED_FRAMES: list[bytes] = [
    b"*3\r\n$5\r\nhello\r\n$3\r\nhit\r\n$-1\r\n",
    b"*2\r\n$5\r\nhello\r\n%2\r\n+note\r\n+hit\r\n+load\r\n_\r\n",
    b"%2\r\n+a\r\n,1.5\r\n+b\r\n(123456789012345678901234567890\r\n",
    b">2\r\n$10\r\ninvalidate\r\n*1\r\n$3\r\nkey\r\n",
    b"$?\r\n;4\r\nHell\r\n;5\r\no wor\r\n;0\r\n",
    b"*?\r\n:1\r\n~2\r\n#t\r\n#f\r\n.\r\n",
    b"|1\r\n+ttl\r\n:3600\r\n=15\r\ntxt:Some string\r\n",
    b"!21\r\nSYNTAX invalid syntax\r\n_\r\n",
]
INSERTIONS = [
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
MAX_BUFFERED_BYTES = MAX_RESP3_MESSAGE_BYTES + (1 << 17)
MAX_PIECE_BYTES = 20
VALUE = b"v" * 400
TIMED_CALLS = 30_000
TIMED_ROUNDS = 5
KEYS = 500
KNOWN_KEYS = 10_000  # of the router that gets pushes
PUSHES = 10_000
PUSHES_PER_TURN = 100


class Versions(NamedTuple):
    """Protocol versions that a router speaks."""

    client: int
    server: int


PAIRINGS = [Versions(2, 2), Versions(2, 3), Versions(3, 2), Versions(3, 3)]


def mutate(random: Random) -> bytes:
    """A valid frame with a few bytes changed, dropped, doubled or inserted."""
    text = bytearray(random.choice(SEED_FRAMES) + random.choice(SEED_FRAMES))
    for _ in range(random.randint(1, 6)):
        at = random.randrange(len(text) + 1)
        choice = random.random()
        if choice < 0.3:
            text[at:at] = random.choice(INSERTIONS)
        elif choice < 0.5:
            del text[at : at + random.randint(1, 4)]
        elif choice < 0.7:
            text[at : at + 1] = bytes([random.randrange(256)])
        else:
            begin = random.randrange(len(text) + 1)
            text[at:at] = text[begin : begin + random.randint(1, 12)]
    return bytes(text)


def fuzz(seed: int, count: int) -> int:
    """Reads so many mutated frames in pieces; gives how many passed.

    A frame passes that ends in values, in waiting, or in a FramingError. Raises AssertionError for one that
    does not end, or that makes the reader keep more than its bounds.
    """
    random = Random(seed)
    passed = 0
    for _ in range(count):
        text = mutate(random)
        reader = Resp3Reader(relays_long_values=random.random() < 0.5)
        with contextlib.suppress(resp.FramingError):
            _read_in_pieces(random, reader, text)
        passed += 1
    return passed


def _read_in_pieces(random: Random, reader: Resp3Reader, text: bytes) -> None:
    at = 0
    steps = 0
    while at < len(text):
        piece = text[at : at + random.randint(1, MAX_PIECE_BYTES)]
        at += len(piece)
        reader.feed(piece)
        while reader.next() is not resp.NEED_DATA:
            reader.read_long_value()
            steps += 1
            if steps > 4 * len(text) + 16:
                raise AssertionError(f"no end: {text!r}")
        if len(reader.buffer) > MAX_BUFFERED_BYTES:
            raise AssertionError(f"over the bounds: {text!r}")


def best_cpu_us(read: Callable[[], None]) -> float:
    """CPU time of a call, in us; the best of some rounds."""
    rounds_us = []
    for _ in range(TIMED_ROUNDS):
        begun_s = time.process_time()
        for _ in range(TIMED_CALLS):
            read()
        rounds_us.append((time.process_time() - begun_s) / TIMED_CALLS * 1e6)
    return min(rounds_us)


def print_codec_costs() -> None:
    """Measures and prints what reading one answer costs, by reader."""
    resp2_answer = b"*3\r\n$400\r\n" + VALUE + b"\r\n$3\r\nhit\r\n$-1\r\n"
    resp3_answer = encode([VALUE, Map(((b"note", b"hit"),))], 3)
    frames = Resp2Reader(reads_replies=True)
    own_reader = Resp3Reader(relays_long_values=True)
    hiredis_reader = hiredis.Reader()

    def read_resp2() -> None:
        """By the path of RESP2."""
        frames.feed(resp2_answer)
        frames.next()

    def read_resp3() -> None:
        """By protocol/resp3_reader.py."""
        own_reader.feed(resp3_answer)
        own_reader.next()

    def read_by_hiredis() -> None:
        """By hiredis."""
        hiredis_reader.feed(resp3_answer)
        hiredis_reader.gets()

    resp2_us = best_cpu_us(read_resp2)
    hiredis_us = best_cpu_us(read_by_hiredis)
    resp3_us = best_cpu_us(read_resp3)
    print(
        f"an answer of 400 bytes: plain path of RESP2 {resp2_us:.1f} us, "
        f"RESP3 by hiredis {hiredis_us:.1f} us (without bounds), by resp3_reader.py {resp3_us:.1f} us"
    )


def own_cpu_s() -> float:
    """Seconds of CPU, user and system, that this process has used."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def import_peers() -> ModuleType:
    """The scripted peers of the tests, which lie beside this package."""
    sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))
    import peers

    return peers


async def hit_cpu_us(versions: Versions, seconds: float, callers: int) -> float:
    """CPU time of this process for a hit, in us, peers and router in one; the peers are always the same."""
    peers = import_peers()
    answer = peers.hit(VALUE)
    resp3_answer = peers.as_resp3_reply(answer)
    hits = 0
    async with peers.router(lambda asked, line: answer, sockets=256, versions=versions) as bench:
        if versions.server == 3:
            bench.cache.answer = lambda asked, line: resp3_answer
        ends_s = time.monotonic() + seconds

        async def ask(number: int) -> None:
            """Sends requests one after the other, as one client."""
            nonlocal hits
            caller = await bench.caller()
            while time.monotonic() < ends_s:
                caller.get(b"k%d" % (hits % KEYS), b"%d-%d" % (number, hits))
                answered = await caller.answer()
                if isinstance(answered, bytes):  # a router that has just started rejects a few
                    hits += 1

        begun_s = own_cpu_s()
        await asyncio.gather(*(ask(number) for number in range(callers)))
        return (own_cpu_s() - begun_s) / hits * 1e6


async def push_cpu_us(count: int) -> float:
    """CPU time of this process for an invalidation of a known key, in us, on an idle connection."""
    peers = import_peers()
    async with peers.router(versions=Versions(2, 3)) as bench:
        caller = await bench.caller()
        caller.get()
        await caller.answer()
        memory = bench.driver.balancer.key_memory
        for number in range(KNOWN_KEYS):
            memory.remember(f"k{number}", 1, "c0")
        pushes = [encode(Push((b"invalidate", [b"k%d" % number])), 3) for number in range(KNOWN_KEYS)]
        line = bench.cache.lines[0]
        begun_s = own_cpu_s()
        for number in range(count):
            line.write(pushes[number % KNOWN_KEYS])
            if number % PUSHES_PER_TURN == 0:
                await asyncio.sleep(0)
        await peers.wait_until(lambda: len(memory.seen) <= 1)
        return (own_cpu_s() - begun_s) / count * 1e6


def print_pairings(options: argparse.Namespace) -> None:
    """Measures and prints what a hit costs, by protocol versions."""
    costs_us: dict[Versions, list[float]] = {versions: [] for versions in PAIRINGS}
    seconds = options.seconds / len(PAIRINGS)
    for _ in range(options.repeats):
        for versions in PAIRINGS:
            costs_us[versions].append(asyncio.run(hit_cpu_us(versions, seconds, options.callers)))
    print()
    print_table_header(["client", "node", "CPU a hit, us (median)", "ratio to 2/2 (median of paired)"])
    for versions in PAIRINGS:
        pairs = zip(costs_us[versions], costs_us[PAIRINGS[0]], strict=True)
        ratio = statistics.median(cost_us / reference_us for cost_us, reference_us in pairs)
        median_us = statistics.median(costs_us[versions])
        print_row([str(versions.client), str(versions.server), f"{median_us:.0f}", f"{ratio:.3f}"])


def main(arguments: list[str]) -> int:
    """Runs the benchmark; gives the exit code."""
    parser = parser_for(__doc__)
    parser.add_argument("--frames", type=int, default=200_000)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--repeats", type=int, default=5)
    parser.add_argument("--callers", type=int, default=8)
    options = parser.parse_args(arguments)
    print(f"{os.cpu_count()} cores; router and scripted peers in one process\n")
    begun_s = time.monotonic()
    count = fuzz(1, options.frames)
    print(f"{count} mutated frames read in {time.monotonic() - begun_s:.0f} s, none crashed or hung")
    print_codec_costs()
    print_pairings(options)
    print(f"\na push that voids a known key, peer and router: {asyncio.run(push_cpu_us(PUSHES)):.1f} us")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

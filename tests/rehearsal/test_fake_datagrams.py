"""The relay of datagrams between routers, and its faults."""

import asyncio
import contextlib
import functools
import socket
import time
from collections.abc import AsyncIterator
from typing import Any

from peers import wait_until

from rainhitch.rehearsal.fakes.datagrams import DatagramRelay


class Receiver:
    """A router's socket for datagrams."""

    def __init__(self) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.setblocking(False)
        self.received: list[tuple[bytes, Any]] = []
        asyncio.get_running_loop().add_reader(
            self.socket, lambda: self.received.append(self.socket.recvfrom(512))
        )

    def close(self) -> None:
        """Closes the socket."""
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.close()


@contextlib.asynccontextmanager
async def relayed() -> AsyncIterator[tuple[DatagramRelay, list[Receiver]]]:
    """A relay among three routers' sockets."""
    relay = DatagramRelay(3, 1, (0.0, 0.001), 0.0)
    receivers = [Receiver() for _ in range(3)]
    relay.targets = {n: receiver.socket.getsockname() for n, receiver in enumerate(receivers)}
    try:
        yield relay, receivers
    finally:
        relay.close()
        for receiver in receivers:
            receiver.close()


def address(text: str) -> tuple[str, int]:
    """HOST:PORT as a socket takes it."""
    host, _, port = text.rpartition(":")
    return host, int(port)


async def test_datagrams_arrive_from_their_senders_address_and_go_to_all_from_the_last_one() -> None:
    async with relayed() as (relay, receivers):
        receivers[0].socket.sendto(b"one", address(relay.addresses(0)[2]))
        await wait_until(lambda: receivers[2].received)
        assert receivers[2].received[0] == (b"one", address(relay.addresses(2)[0]))
        receivers[1].socket.sendto(b"all", address(relay.addresses(1)[-1]))
        await wait_until(lambda: receivers[0].received and len(receivers[2].received) == 2)
        assert not receivers[1].received and relay.delivered == 3


def dropped(relay: DatagramRelay, count: int) -> bool:
    """Whether so many datagrams were lost."""
    return relay.dropped == count


async def test_datagrams_are_lost_cut_off_or_late_as_the_faults_say_or_lost_as_too_long() -> None:
    """The network between routers loses datagrams, cuts a router off, or is slow; too long ones are lost."""
    async with relayed() as (relay, receivers):
        to = address(relay.addresses(0)[1])
        for fault in ("lost", "isolated", "long"):
            relay.faults.loss_fraction = 1.0 if fault == "lost" else 0.0
            relay.faults.isolated = {0} if fault == "isolated" else set()
            receivers[0].socket.sendto(b"x" * (257 if fault == "long" else 8), to)
            await wait_until(functools.partial(dropped, relay, 1 + ["lost", "isolated", "long"].index(fault)))
        relay.faults.extra_delay_s = 0.3
        begun = time.monotonic()
        receivers[0].socket.sendto(b"late", to)
        await wait_until(lambda: receivers[1].received)
        assert time.monotonic() - begun >= 0.29 and len(receivers[1].received) == 1

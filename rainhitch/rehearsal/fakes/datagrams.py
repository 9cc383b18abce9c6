"""The datagrams between routers, with faults: each router has the others under addresses of its own."""

import asyncio
import socket
from dataclasses import dataclass, field
from random import Random
from typing import Any

from rainhitch.rehearsal.fakes.loop_with_network import LoopWithNetwork

HOST = "127.0.0.1"
LARGEST_BYTES = 256  # a larger datagram is lost
READ_BYTES = 4096


@dataclass
class DatagramFaults:
    """What happens to datagrams beside the usual delay and loss."""

    extra_delay_s: float = 0.0
    loss_fraction: float = 0.0
    duplicate_fraction: float = 0.0
    reorder_delay_s: float = 0.0  # further delay at most, drawn for each
    isolated: set[int] = field(default_factory=set)  # routers that are cut off from the others
    one_way: bool = False  # only what isolated routers send is lost

    def cuts(self, source: int, target: int) -> bool:
        """Whether a partition stands between two routers."""
        if (source in self.isolated) == (target in self.isolated):
            return False
        return source in self.isolated or not self.one_way


class DatagramRelay:
    """Carries what router i sends to its address for j on to j, from j's address for i.

    Attributes:
        faults: what happens to datagrams on the way.
        targets: where each router listens; a datagram for one that is not here is gone.
    """

    def __init__(self, routers: int, seed: int, delay_s: tuple[float, float], loss_fraction: float) -> None:
        self.faults = DatagramFaults()
        self.targets: dict[int, tuple[str, int]] = {}
        self.sent = 0
        self.delivered = 0
        self.dropped = 0
        self.delivered_bytes = 0
        self._routers = routers
        self._delay_s = delay_s
        self._loss_fraction = loss_fraction
        self._random = Random(f"{seed}/datagrams")
        self._loop = asyncio.get_running_loop()
        # _sockets[i][j]: what i has as j's address; the last is for all
        self._sockets = [[self._socket() for _ in range(routers + 1)] for _ in range(routers)]
        for source, row in enumerate(self._sockets):
            for target, one in enumerate(row):
                self._loop.add_reader(one, self._read, one, source, target)

    def _socket(self) -> Any:
        if isinstance(self._loop, LoopWithNetwork):
            return self._loop.make_datagram_socket()
        one = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        one.setblocking(False)
        one.bind((HOST, 0))
        return one

    def addresses(self, router: int) -> list[str]:
        """The addresses of all routers as this one has them, HOST:PORT; the last is for all of them."""
        return ["{}:{}".format(*one.getsockname()) for one in self._sockets[router]]

    def to_row(self) -> dict[str, int]:
        """The counts as the record has them."""
        return {"sent": self.sent, "delivered": self.delivered, "bytes": self.delivered_bytes}

    def _read(self, one: Any, source: int, target: int) -> None:
        try:
            data, _ = one.recvfrom(READ_BYTES)
        except OSError:
            return
        is_for_all = target == self._routers
        for receiver in range(self._routers) if is_for_all else [target]:
            if receiver != source:
                self._carry(data, source, receiver)

    def _carry(self, data: bytes, source: int, target: int) -> None:
        """Loses, delays or duplicates a datagram. The order of the draws is part of what a seed gives."""
        faults = self.faults
        self.sent += 1
        chance = self._random.random()
        delay_s = self._random.uniform(*self._delay_s)
        lost = chance < max(self._loss_fraction, faults.loss_fraction)
        if lost or len(data) > LARGEST_BYTES or faults.cuts(source, target):
            self.dropped += 1
            return
        if faults.reorder_delay_s:
            delay_s += self._random.uniform(0, faults.reorder_delay_s)
        self._loop.call_later(delay_s + faults.extra_delay_s, self._deliver, data, source, target)
        if faults.duplicate_fraction and self._random.random() < faults.duplicate_fraction:
            self._loop.call_later(2 * delay_s + faults.extra_delay_s, self._deliver, data, source, target)

    def _deliver(self, data: bytes, source: int, target: int) -> None:
        address = self.targets.get(target)
        if address is None:
            return
        try:
            self._sockets[target][source].sendto(data, address)
        except OSError:
            self.dropped += 1
            return
        self.delivered += 1
        self.delivered_bytes += len(data)

    def close(self) -> None:
        """Closes all sockets."""
        for row in self._sockets:
            for one in row:
                self._loop.remove_reader(one)
                one.close()

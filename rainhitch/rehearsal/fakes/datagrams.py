"""The datagrams between routers: each router sees the others under addresses of its own; late or lost on
the way.
"""

import asyncio
import socket
from random import Random
from typing import Any

MOST_BYTES = 256


class DatagramRelay:
    """Carries what router i sends to its address for j on to j, from j's address for i."""

    def __init__(self, routers: int, seed: int, delay_s: tuple[float, float], loss: float) -> None:
        self.routers, self.delay, self.loss = routers, delay_s, loss
        self.random = Random(f"{seed}/datagrams")
        self.loop = asyncio.get_running_loop()
        self.more = 0.0  # s of further delay
        self.lost = 0.0  # part that is lost beside the usual
        self.doubled = 0.0  # part that comes twice
        self.shuffled = 0.0  # s of further delay at most, drawn for each
        self.apart: set[int] = set()  # routers that are cut off from the others
        self.oneway = False  # only what these send is lost
        self.sent = self.delivered = self.dropped = self.bytes = 0
        self.targets: dict[int, tuple[str, int]] = {}  # where each router listens for them
        # sockets[i][j]: what i knows as j's address; the last is for all
        self.sockets = [[self._socket() for _ in range(routers + 1)] for _ in range(routers)]
        for i, row in enumerate(self.sockets):
            for j, one in enumerate(row):
                self.loop.add_reader(one, self._read, one, i, j)

    def _socket(self) -> Any:
        virtual = getattr(self.loop, "datagram_socket", None)
        if virtual is not None:
            return virtual()
        one = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        one.setblocking(False)
        one.bind(("127.0.0.1", 0))
        return one

    def addresses(self, router: int) -> list[str]:
        """The addresses of all routers as this one is told them; the last is for all of them."""
        return ["{}:{}".format(*one.getsockname()) for one in self.sockets[router]]

    def _read(self, one: Any, source: int, to: int) -> None:
        try:
            data, _ = one.recvfrom(4096)
        except OSError:
            return
        for target in range(self.routers) if to == self.routers else [to]:
            if target != source:
                self._carry(data, source, target)

    def _carry(self, data: bytes, source: int, target: int) -> None:
        self.sent += 1
        apart = (source in self.apart) != (target in self.apart) and (source in self.apart or not self.oneway)
        chance, late = self.random.random(), self.random.uniform(*self.delay)
        if len(data) > MOST_BYTES or apart or chance < max(self.loss, self.lost):
            self.dropped += 1
            return
        if self.shuffled:
            late += self.random.uniform(0, self.shuffled)
        self.loop.call_later(late + self.more, self._deliver, data, source, target)
        if self.doubled and self.random.random() < self.doubled:
            self.loop.call_later(2 * late + self.more, self._deliver, data, source, target)

    def _deliver(self, data: bytes, source: int, target: int) -> None:
        address = self.targets.get(target)
        if address is None:
            return
        try:
            self.sockets[target][source].sendto(data, address)
        except OSError:
            self.dropped += 1
            return
        self.delivered += 1
        self.bytes += len(data)

    def close(self) -> None:
        for row in self.sockets:
            for one in row:
                self.loop.remove_reader(one)
                one.close()

"""What an event loop offers to the fakes where it has a network of its own, as in virtual time."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol, runtime_checkable


class ListenPoint(Protocol):
    """A listening address that can refuse connections, or never complete them, and accept them again."""

    address: tuple[str, int]

    def open(self) -> None:
        """Accepts connections."""

    def refuse(self) -> None:
        """Refuses connections, as a machine does whose process has ended."""

    def hang(self) -> None:
        """Never completes connections, as behind a cut network."""

    def close(self) -> None:
        """Gives the address back."""


@runtime_checkable
class LoopWithNetwork(Protocol):
    """A loop that makes the fakes' sockets itself; any other loop has those of the machine."""

    def make_listen_point(self, make: Callable[[], asyncio.Protocol]) -> ListenPoint:
        """Listens on a free address; `make` makes the protocol of each connection."""

    def make_datagram_socket(self) -> Any:
        """A datagram socket that is bound to a free address and does not block."""

"""Open connections of each simulated process, and how many it may have."""

from rainhitch.rehearsal.virtual.connection_socket import VirtualSocket
from rainhitch.rehearsal.virtual.process import SimulatedProcess


class DescriptorTable:
    """Which sockets each process holds. The kit's own (`process` None) are not counted."""

    def __init__(self) -> None:
        # The inner maps are ordered sets: a process's sockets are reset in the order in which they came.
        self.sockets: dict[SimulatedProcess, dict[VirtualSocket, None]] = {}
        self.limits: dict[SimulatedProcess, int] = {}

    def set_limit(self, process: SimulatedProcess, limit: int) -> None:
        """A process may hold so many sockets."""
        self.limits[process] = limit

    def has_free(self, process: SimulatedProcess | None) -> bool:
        """Whether a process may open one more socket."""
        if process is None or process not in self.limits:
            return True
        return len(self.sockets.get(process, ())) < self.limits[process]

    def hold(self, process: SimulatedProcess | None, sock: VirtualSocket) -> None:
        """A process holds a socket."""
        if process is not None:
            self.sockets.setdefault(process, {})[sock] = None

    def release(self, process: SimulatedProcess | None, sock: VirtualSocket) -> None:
        """A process has closed a socket."""
        if process is not None:
            self.sockets.get(process, {}).pop(sock, None)

    def release_all(self, process: SimulatedProcess) -> list[VirtualSocket]:
        """A process has ended; gives what it held."""
        return list(self.sockets.pop(process, {}))

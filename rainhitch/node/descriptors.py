"""Divides the file descriptors of the process between client connections and server connections."""

from dataclasses import dataclass

RESERVED_UPSTREAM_DESCRIPTORS = 16  # descriptors kept free for server connections until clients can be closed


@dataclass(slots=True)
class DescriptorBudget:
    """The descriptors in use on each side, and the limit of each side given the use of the other.

    New clients are not rejected while descriptors are free: beyond their own cap, clients may use those that
    server connections do not use, less a reserve for server connections opened soon. Server connections stay
    within their cap and within what clients leave of `shared`. Clients may always use their own cap, whatever
    the server side holds, so the total stays within `shared` only if the two caps fit into it.
    """

    shared: int | None = None  # descriptors for both sides together; None: each side has only its own cap
    reserved_upstream: int = RESERVED_UPSTREAM_DESCRIPTORS
    upstream_open: int = 0  # server connections that are open or being opened
    clients_open: int = 0

    def max_upstream(self, cap: int) -> int:
        """Returns how many server connections may be open now; `cap` is the limit of that side."""
        return cap if self.shared is None else min(cap, self.shared - self.clients_open)

    def max_clients(self, cap: int) -> int:
        """Returns how many clients may be connected now, at least `cap`, the limit of that side."""
        if self.shared is None:
            return cap
        return max(cap, self.shared - self.reserved_upstream - self.upstream_open)

"""How the two sides of a router, its clients and its servers, share the descriptors of its process."""

from dataclasses import dataclass

RESERVED_UPSTREAM_DESCRIPTORS = 16  # that servers' connections may want before clients have made room


@dataclass(slots=True)
class DescriptorBudget:
    """What each side holds now, and what it may take of what the other leaves.

    Guards newcomers against a crowd that says little: what the servers' side does not use is the clients',
    but for what it may soon want, and both stay under what the process may hold.
    """

    shared: int | None = None  # descriptors of both sides together; None: each has its own cap only
    reserved_upstream: int = RESERVED_UPSTREAM_DESCRIPTORS
    upstream_open: int = 0  # connections to servers that are open, or being opened
    clients_open: int = 0

    def max_upstream(self, cap: int) -> int:
        """The most connections to servers that may be open now; `cap` is that side's own."""
        return cap if self.shared is None else min(cap, self.shared - self.clients_open)

    def max_clients(self, cap: int) -> int:
        """The most clients that may be connected now; `cap` is that side's own, which it has in any case."""
        if self.shared is None:
            return cap
        return max(cap, self.shared - self.reserved_upstream - self.upstream_open)

"""How often each key was asked for among this router's latest requests, so that a hot one is spread."""

COUNTED_PER_SERVER = 8  # requests counted for each server before old ones count half
SERVERS_PER_FAIR_SHARE = (
    2  # a server bears about two fair shares, so a hot key is spread over so many for each
)


class KeyPopularity:
    """Counts of this router's latest requests by key."""

    def __init__(self) -> None:
        self.requests: dict[str, int] = {}
        self.total = 0

    def count_and_spread(self, key: str, servers: int) -> int:
        """Counts a request for a key; gives how many servers besides its owner the key is spread over.

        That is 0 for a key that is not hot. `servers`: how many cache servers there are.
        """
        if self.total >= COUNTED_PER_SERVER * max(1, servers):
            self.requests = {name: count // 2 for name, count in self.requests.items() if count > 1}
            self.total //= 2
        self.total += 1
        # Guards against a router that receives few: among a handful of requests each key that comes twice
        # looks hot.
        min_total = COUNTED_PER_SERVER * servers // 2
        heat = self.heat(key, servers) * self.total / max(self.total, min_total)
        self.requests[key] = self.requests.get(key, 0) + 1
        return int(SERVERS_PER_FAIR_SHARE * heat) if heat >= 1 else 0

    def heat(self, key: str, servers: int) -> float:
        """How many servers' fair shares of the counted requests a key makes up."""
        return self.requests.get(key, 0) * servers / max(1, self.total)

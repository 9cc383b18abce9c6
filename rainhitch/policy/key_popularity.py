"""Popularity of keys among this router's recent requests, to spread a hot key over several servers."""

MAX_COUNTED_PER_SERVER = 8  # requests per server after which all counts are halved
# A server can handle about two fair shares of the load, so a hot key is spread over this many servers for
# each fair share that it makes up.
SERVERS_PER_FAIR_SHARE = 2


class KeyPopularity:
    """Counts of this router's recent requests by key."""

    def __init__(self) -> None:
        self.requests: dict[str, int] = {}
        self.total = 0

    def count_and_spread(self, key: str, server_count: int) -> int:
        """Counts a request for a key; returns over how many servers besides its owner the key is spread.

        The result is 0 for a key that is not hot. `server_count` is the number of cache servers.
        """
        if self.total >= MAX_COUNTED_PER_SERVER * max(1, server_count):
            self.requests = {name: count // 2 for name, count in self.requests.items() if count > 1}
            self.total //= 2
        self.total += 1
        # A minimum total keeps a router with few requests from taking every key that is requested twice for
        # a hot key.
        min_total = MAX_COUNTED_PER_SERVER * server_count // 2
        fair_shares = self.fair_shares(key, server_count) * self.total / max(self.total, min_total)
        self.requests[key] = self.requests.get(key, 0) + 1
        return int(SERVERS_PER_FAIR_SHARE * fair_shares) if fair_shares >= 1 else 0

    def fair_shares(self, key: str, server_count: int) -> float:
        """Returns a key's part of the counted requests, as a multiple of a server's fair share."""
        return self.requests.get(key, 0) * server_count / max(1, self.total)

"""Key ranges: the hash space in equal parts, one for each server of a sorted list."""

from zlib import crc32

HASH_SPACE_SIZE = 1 << 32  # of crc32
# The lowest bits of a key's hash choose one of so many instants of a slow start, at which its owner takes it.
SLOW_START_INSTANTS = 1 << 16


class KeyRanges:
    """Which server owns a key, and which are next."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.chains: dict[
            int, list[str]
        ] = {}  # all servers in range order, by the range that the list begins with

    def set_servers(self, names: list[str]) -> bool:
        """Takes the sorted ids of the servers; whether they are others than before."""
        if names == self.names:
            return False
        self.names = names
        self.chains = {}
        return True

    def owner(self, key: str) -> str:
        """The server of the range in which a key lies, the first that `locate` gives.

        Raises IndexError where there are no servers.
        """
        return self.names[crc32(key.encode()) * len(self.names) // HASH_SPACE_SIZE]

    def locate(self, key: str) -> tuple[float, float, list[str]]:
        """Where a key lies in the hash space.

        Three values, in a bare tuple since each request needs them up to twice, and an object costs more:

        - how deep it lies in its range, 0 to 1;
        - from which part of its capacity on, 0 to 1, a server in slow start takes the key;
        - where to look for it: the owner of its range, then all others in range order.
        """
        hash_value = crc32(key.encode())
        first, depth = divmod(hash_value * len(self.names), HASH_SPACE_SIZE)
        chain = self.chains.get(first)
        if chain is None:
            chain = self.names[first:] + self.names[:first]
            self.chains[first] = chain
        return depth / HASH_SPACE_SIZE, hash_value % SLOW_START_INSTANTS / SLOW_START_INSTANTS, chain

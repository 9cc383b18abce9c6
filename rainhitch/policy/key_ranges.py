"""Keys dealt to servers by equal ranges of the hash space."""

from zlib import crc32


class KeyRanges:
    """The hash space in equal ranges, dealt to the sorted ids of a list."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.chains: dict[int, list[str]] = {}  # by the range that it begins with

    def set_servers(self, names: list[str]) -> bool:
        """Takes up a list; whether it is another."""
        if names == self.names:
            return False
        self.names, self.chains = names, {}
        return True

    def locate(self, key: str) -> tuple[float, float, list[str]]:
        """How deep in its range a key lies, when within a warm-up a cold owner takes it up (both parts of 1),
        and where to look for it: with the owner of its range, then with the next in range order."""
        code = crc32(key.encode())
        start, depth = divmod(code * len(self.names), 1 << 32)
        chain = self.chains.get(start)
        if chain is None:
            chain = self.chains[start] = self.names[start:] + self.names[:start]
        return depth / 2**32, (code & 0xFFFF) / 2**16, chain

"""Key ranges: the hash space divided into equal parts, one for each server of a sorted list."""

from zlib import crc32

HASH_SPACE_SIZE = 1 << 32  # number of crc32 values
# Number of steps in a slow start. The lowest bits of a key's hash choose the step from which on an owner in
# slow start takes the key.
SLOW_START_STEPS = 1 << 16


class KeyRanges:
    """Mapping of each key to its owner and to the servers after the owner."""

    def __init__(self) -> None:
        self.names: list[str] = []
        # All servers in range order, by the index of the range with which the list begins.
        self.preference_lists: dict[int, list[str]] = {}

    def set_servers(self, names: list[str]) -> bool:
        """Sets the servers, given as sorted ids; returns whether they differ from those before."""
        if names == self.names:
            return False
        self.names = names
        self.preference_lists = {}
        return True

    def owner(self, key: str) -> str:
        """Returns the owner of a key, the first server in the list from `locate`.

        Raises IndexError if there are no servers.
        """
        return self.names[crc32(key.encode()) * len(self.names) // HASH_SPACE_SIZE]

    def locate(self, key: str) -> tuple[float, float, list[str]]:
        """Returns the position of a key and the servers to send its requests to.

        The result is a tuple of three values, because each request needs them up to twice and an object costs
        more time:

        - the relative position of the key in its range, 0 to 1;
        - the fraction of its capacity, 0 to 1, from which on a server in slow start takes the key;
        - the servers to try: the owner of the range, then all others in range order.
        """
        hash_value = crc32(key.encode())
        first, position = divmod(hash_value * len(self.names), HASH_SPACE_SIZE)
        preference_list = self.preference_lists.get(first)
        if preference_list is None:
            preference_list = self.names[first:] + self.names[:first]
            self.preference_lists[first] = preference_list
        return position / HASH_SPACE_SIZE, hash_value % SLOW_START_STEPS / SLOW_START_STEPS, preference_list

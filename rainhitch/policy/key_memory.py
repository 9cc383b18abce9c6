"""Memory of recent hits by key, with the server of each, to predict which reads are likely to miss."""

from rainhitch import interface as api
from rainhitch.policy.rates import SMOOTHING

MAX_KEYS = 1 << 14  # maximum number of remembered keys; the oldest are evicted first
AGE_UNIT_BITS = 26  # ages are measured in units of 2^26 ns, about 67 ms
UNKNOWN_KEY_AGE_CLASS = 63  # age class of keys that are not remembered
MIN_LIKELY_HIT_FRACTION = 0.5


class KeyMemory:
    """Recently seen keys, and the hit rate of reads by the time since their key was last seen."""

    def __init__(self) -> None:
        # By key, the oldest first: when the key was last seen (ns), and the server that holds it.
        self.seen: dict[str, tuple[int, str]] = {}
        # Moving average of the hit rate by age class. The last class is for keys that are not remembered;
        # they count as misses until hits are observed.
        self.hit_fractions = [1.0] * UNKNOWN_KEY_AGE_CLASS + [0.0]

    def _age_class(self, key: str, now_ns: int) -> int:
        """Returns the age class of a key: the binary logarithm of the time since it was last seen."""
        seen = self.seen.get(key)
        if seen is None:
            return UNKNOWN_KEY_AGE_CLASS
        return ((now_ns - seen[0]) >> AGE_UNIT_BITS).bit_length()

    def likely_miss(self, key: str, now_ns: int) -> bool:
        """Returns whether a read of this key is more likely to miss than to hit now."""
        return self.hit_fractions[self._age_class(key, now_ns)] < MIN_LIKELY_HIT_FRACTION

    def record_read(self, key: str, now_ns: int, server: str, hit: bool) -> None:
        """Records whether a read was a hit; `server` as in `remember`."""
        age_class = self._age_class(key, now_ns)
        outcome = 1.0 if hit else 0.0
        self.hit_fractions[age_class] += (outcome - self.hit_fractions[age_class]) * SMOOTHING
        if hit:
            self.remember(key, now_ns, server)
        else:
            self.seen.pop(key, None)

    def forget_keys(self, event: api.KeysInvalidated) -> None:
        """Forgets keys that a server no longer holds; another read of them is a likely miss."""
        for key in list(self.seen) if event.keys is None else event.keys:
            if key in self.seen and self.seen[key][1] == event.server:
                del self.seen[key]

    def remember(self, key: str, now_ns: int, server: str) -> None:
        """Records that this server holds a key now; "": the server recorded before still holds it."""
        _, previous = self.seen.pop(key, (0, ""))
        self.seen[key] = now_ns, server or previous
        if len(self.seen) > MAX_KEYS:
            del self.seen[next(iter(self.seen))]

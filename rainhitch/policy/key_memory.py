"""Which keys were lately seen hit and where, and with that which reads are likely to miss."""

from rainhitch import interface as api
from rainhitch.policy.rates import SMOOTHING

KEYS_KEPT = 1 << 14  # keys remembered; the oldest are forgotten first
AGE_UNIT_BITS = 26  # ages are in units of 2^26 ns, about 67 ms
NOT_REMEMBERED_AGE = 63  # the age class of keys that are not remembered
MIN_LIKELY_HIT_FRACTION = 0.5


class KeyMemory:
    """Where keys were lately seen, and by the age of that how likely another read of a key is a hit."""

    def __init__(self) -> None:
        # By key, the oldest first: when it was seen (ns), and the server that holds it.
        self.seen: dict[str, tuple[int, str]] = {}
        # Moving average of hits among reads, by the logarithm of the age; the last is of keys that are not
        # remembered, which count as misses until they are seen to hit.
        self.hit_fractions = [1.0] * NOT_REMEMBERED_AGE + [0.0]

    def _age_class(self, key: str, now_ns: int) -> int:
        """The logarithm to base 2 of how long ago a key was seen."""
        seen = self.seen.get(key)
        if seen is None:
            return NOT_REMEMBERED_AGE
        return ((now_ns - seen[0]) >> AGE_UNIT_BITS).bit_length()

    def likely_miss(self, key: str, now_ns: int) -> bool:
        """Whether a read of this key now is more likely a miss than a hit."""
        return self.hit_fractions[self._age_class(key, now_ns)] < MIN_LIKELY_HIT_FRACTION

    def record_read(self, key: str, now_ns: int, server: str, hit: bool) -> None:
        """Learns from a read's end; `server` as in `remember`."""
        age_class = self._age_class(key, now_ns)
        outcome = 1.0 if hit else 0.0
        self.hit_fractions[age_class] += (outcome - self.hit_fractions[age_class]) * SMOOTHING
        if hit:
            self.remember(key, now_ns, server)
        else:
            self.seen.pop(key, None)

    def forget_keys(self, event: api.KeysInvalidated) -> None:
        """A server holds these keys no more, or none at all: another read of them is a likely miss."""
        for key in list(self.seen) if event.keys is None else event.keys:
            if key in self.seen and self.seen[key][1] == event.server:
                del self.seen[key]

    def remember(self, key: str, now_ns: int, server: str) -> None:
        """A key is held by this server from now on; "": by the one that held it before."""
        _, previous = self.seen.pop(key, (0, ""))
        self.seen[key] = now_ns, server or previous
        if len(self.seen) > KEYS_KEPT:
            del self.seen[next(iter(self.seen))]

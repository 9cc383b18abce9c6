"""The ids of requests that a server may have executed, so that an id that comes again is not executed again.

Theory of operation. An id is new with every request. One that comes again is a copy: from a client library
that sends a request again after its connection has ended, or from the network in front of the router. While
the first request is in flight the driver's table has it. Afterwards, and at the other process of an upgrade,
this table has it: an id is recorded right before the first byte of an attempt is written, and found for
REMEMBERED_NS. A request of which nothing was written is not recorded, so that its client may send it again.

The table is bounded: an id has one bucket, in which a new id replaces the oldest. An entry is the id's digest
and the time at which it was recorded, on the monotonic clock that all processes of a host share. So a process
may map the table of another one, and read it while that one writes: a half written entry is no match.
"""

from hashlib import blake2b

NS_PER_S = 1_000_000_000
REMEMBERED_NS = 60 * NS_PER_S
DIGEST_BYTES = 8
BUCKET_COUNT = 4096
BUCKET_ENTRIES = 8
ENTRY_WORDS = 2  # digest and time
WORD_BYTES = 8
BUCKET_WORDS = BUCKET_ENTRIES * ENTRY_WORDS
TABLE_BYTES = BUCKET_COUNT * BUCKET_WORDS * WORD_BYTES


def _digest(request_id: bytes) -> int:
    """Returns an id's digest; never 0, which marks an entry that is not used."""
    return int.from_bytes(blake2b(request_id, digest_size=DIGEST_BYTES).digest()) or 1


def as_words(table: "memoryview | bytearray") -> memoryview:
    """Returns a table of TABLE_BYTES as its words."""
    return memoryview(table).cast("B").cast("Q")


class ExecutedIds:
    """The recorded ids of this process, and those of the router's other processes; times are in ns."""

    def __init__(self) -> None:
        self.table = as_words(bytearray(TABLE_BYTES))
        self.is_shared = False  # whether other processes can read the table
        self.other_tables: list[memoryview] = []  # of the other processes during an upgrade

    def move_to(self, table: memoryview) -> None:
        """Continues in another table, which other processes can read, with what is recorded so far."""
        table[:] = self.table
        self.table = table
        self.is_shared = True

    def add(self, now: int, request_id: bytes) -> None:
        """Records an id that may be executed from now on."""
        digest = _digest(request_id)
        table = self.table
        first = digest % BUCKET_COUNT * BUCKET_WORDS
        oldest = first
        for word in range(first, first + BUCKET_WORDS, ENTRY_WORDS):
            if table[word] == digest:
                oldest = word
                break
            if table[word + 1] < table[oldest + 1]:
                oldest = word
        table[oldest] = digest
        table[oldest + 1] = now

    def contains(self, now: int, request_id: bytes) -> bool:
        """Returns whether any process of this router has recorded an id within REMEMBERED_NS."""
        return self.is_in_other_process(now, request_id) or _contains(self.table, _digest(request_id), now)

    def is_in_other_process(self, now: int, request_id: bytes) -> bool:
        """Returns whether another process of this router has recorded an id within REMEMBERED_NS."""
        if not self.other_tables:
            return False
        digest = _digest(request_id)
        return any(_contains(table, digest, now) for table in self.other_tables)


def _contains(table: memoryview, digest: int, now: int) -> bool:
    first = digest % BUCKET_COUNT * BUCKET_WORDS
    return any(
        table[word] == digest and now - table[word + 1] < REMEMBERED_NS
        for word in range(first, first + BUCKET_WORDS, ENTRY_WORDS)
    )

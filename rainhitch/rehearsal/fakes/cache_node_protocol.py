"""What a fake cache node writes on the wire, RESP2 and RESP3. No I/O.

The answers are written out here as bytes, and read from routers with hiredis alone: nothing of
`rainhitch.protocol`, so that the router's codec is tried against another one and not against itself.
"""

from typing import Any
from zlib import crc32

BUSY = b"-BUSY\r\n"
FAILED = b"-ERR failed\r\n"
SYNTAX_ERROR = b"-SYNTAX\r\n"
UNKNOWN_COMMAND = b"-ERR unknown command\r\n"
NO_PERMISSION = b"-NOPERM\r\n"
OK = b"+OK\r\n"
PONG = b"+PONG\r\n"
MISS = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
HIT_END = b"$3\r\nhit\r\n$-1\r\n"  # what ends a RESP2 answer that serves
RESP3_MISS = b"*2\r\n_\r\n%2\r\n+note\r\n+miss\r\n+load\r\n_\r\n"
RESP3_HIT_END = b"%2\r\n+note\r\n+hit\r\n+load\r\n_\r\n"
RESP3_GREETING = b"%3\r\n$6\r\nserver\r\n$10\r\ncache-node\r\n$5\r\nproto\r\n:3\r\n$4\r\nrole\r\n+master\r\n"
CORRUPT_ANSWERS = (  # none is an answer that the protocol allows
    b"*2\r\n$1\r\nx\r\n$3\r\nhit\r\n",
    b":1\r\n",
    b"*3\r\n$9999999\r\n",
    b"HTTP/1.1 200 OK\r\n\r\n",
    b"$-1\r\n",
)
READ = "C.GET"
GREETING = b"HELLO"
REQUEST_WORDS = {b"C.GET": 4, b"C.SET": 5}  # how many words a request has, its name among them


def to_resp3(answer: bytes) -> bytes:
    """A RESP2 answer as RESP3 has it: what goes with the value is in a map."""
    if answer == MISS:
        return RESP3_MISS
    if answer.startswith(b"*3\r\n$") and answer.endswith(HIT_END):
        return b"*2" + answer[2 : -len(HIT_END)] + RESP3_HIT_END
    return answer


def hit(value: bytes) -> bytes:
    """The RESP2 answer that serves a value."""
    return b"*3\r\n$%d\r\n%b\r\n%b" % (len(value), value, HIT_END)


def corrupt_answer(request_id: str) -> bytes:
    """The corrupt answer that a request gets, chosen by its id."""
    return CORRUPT_ANSWERS[crc32(request_id.encode()) % len(CORRUPT_ANSWERS)]


def invalidation(key: str) -> bytes:
    """The RESP3 push message that says that a key's copy is gone."""
    text = key.encode("latin-1")
    return b">2\r\n$10\r\ninvalidate\r\n*1\r\n$%d\r\n%b\r\n" % (len(text), text)


def command_words(command: Any) -> list[bytes]:
    """The words of what the reader gave; none where that is no command, which is an array of bulk strings."""
    if isinstance(command, list) and all(isinstance(word, bytes) for word in command):
        return command
    return []


def wire_length(command: Any) -> int:
    """How many bytes a command took on the wire."""
    if not isinstance(command, list):
        return 0
    words = [word for word in command if isinstance(word, bytes)]
    header_bytes = len(b"*%d\r\n" % len(command))
    return header_bytes + sum(len(b"$%d\r\n" % len(word)) + len(word) + len(b"\r\n") for word in words)

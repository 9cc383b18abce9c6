"""The events of a router's process, as records name them."""

from enum import StrEnum


class RouterEventKind(StrEnum):
    """What was done to a router's process, or what it did. The values are the records'."""

    START = "start"
    READY = "ready"  # it answered PING
    TERM = "term"
    KILL = "kill"
    LATE_KILL = "late kill"  # it did not end in time after SIGTERM
    ENDED = "ended"
    RELOAD = "reload"
    PAUSE = "pause"
    RESUME = "wake"

"""Why a client's connection ended. Each connection has one reason: the first that was noted."""

from enum import StrEnum


class CloseReason(StrEnum):
    """The reasons, with the texts that the `second` record counts them under."""

    BY_CLIENT = "by the client"
    LAST_COMMAND = "after its last command"  # QUIT
    PROTOCOL_ERROR = "protocol error"
    UNFINISHED = "no whole command in time"
    OUT_OF_MEMORY = "out of memory"
    NO_ROOM = "no room"  # a newcomer at the cap on connections
    IDLE = "idle"  # to make room for another, or as the router ends
    LINGERED = "lingered too long"
    SHUTDOWN = "shutdown"
    UNREAD_ANSWERS = "answers not read in time"
    VALUE_CUT_OFF = "long value cut off"

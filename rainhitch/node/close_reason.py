"""The reasons for closing a client connection. Each connection has one: the first that was recorded."""

from enum import StrEnum


class CloseReason(StrEnum):
    """The reasons; the values are the texts under which the `second` record counts them."""

    BY_CLIENT = "by the client"
    LAST_COMMAND = "after its last command"  # QUIT
    PROTOCOL_ERROR = "protocol error"
    UNFINISHED = "no whole command in time"
    OUT_OF_MEMORY = "out of memory"
    NO_ROOM = "no room"  # a new connection at the cap
    IDLE = "idle"  # the close makes room for another connection, or is part of the shutdown
    LINGERED = "lingered too long"
    SHUTDOWN = "shutdown"
    UNREAD_RESPONSES = "answers not read in time"
    VALUE_CUT_OFF = "long value cut off"

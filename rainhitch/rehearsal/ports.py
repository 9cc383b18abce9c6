"""Free ports of the loopback address for processes that are still to start."""

import socket


def hold_port() -> socket.socket:
    """A socket that holds a free port of the loopback address for whoever binds it by its number.

    It guards a process that is still to start: as long as this is open, the system gives that port to nobody
    else.
    """
    held = socket.socket()
    held.bind(("127.0.0.1", 0))
    # Set only now: two that had it set before could have been given the same port.
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return held

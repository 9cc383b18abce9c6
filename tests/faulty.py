"""The program with faults injected into its process: `python tests/faulty.py`, with their names in FAULTS.

blind   the system does not report for how long bytes lay unread, as on a host whose kernel has no TCP_INFO
late    a read of a client's bytes that hold LATE is delayed by LATE_S, between the poll and the program
"""

import os
import sys
import time

from rainhitch.__main__ import main
from rainhitch.node.client_connection import ClientConnection
from rainhitch.system import RealSystem

LATE = b"late-read"
LATE_S = 0.4


def blind() -> None:
    """The system does not report the age of unread bytes."""
    RealSystem.unread_ms = lambda self, transport: 0  # type: ignore[method-assign]


def late() -> None:
    """Holds the process up in a read of bytes that hold LATE."""
    received = ClientConnection.data_received

    def data_received(self: ClientConnection, data: bytes) -> None:
        """Reads what has come, late."""
        if LATE in data:
            time.sleep(LATE_S)
        received(self, data)

    ClientConnection.data_received = data_received  # type: ignore[method-assign]


FAULTS = {"blind": blind, "late": late}

if __name__ == "__main__":
    for name in os.environ.get("FAULTS", "").split():
        FAULTS[name]()
    sys.exit(main())

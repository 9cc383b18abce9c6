"""The program with faults put into its process: `python tests/faulty.py`, with their names in FAULTS.

blind   the system does not tell for how long bytes lay unread, as on a host whose kernel has no TCP_INFO
late    a read of a client's bytes that hold LATE waits for LATE_S between the poll and the program
"""

import os
import sys
import time

from rainhitch.__main__ import main
from rainhitch.node.client_connection import ClientConnection
from rainhitch.system import Machine

LATE, LATE_S = b"late-read", 0.4


def blind() -> None:
    Machine.unread_ms = lambda self, transport: 0  # type: ignore[method-assign]


def late() -> None:
    received = ClientConnection.data_received

    def data_received(self: ClientConnection, data: bytes) -> None:
        if LATE in data:
            time.sleep(LATE_S)
        received(self, data)

    ClientConnection.data_received = data_received  # type: ignore[method-assign]


if __name__ == "__main__":
    for name in os.environ.get("FAULTS", "").split():
        {"blind": blind, "late": late}[name]()
    sys.exit(main())

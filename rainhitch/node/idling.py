"""For how long a connection to a server may be idle: less where servers' tables are full. No sockets, no
clock.

Theory. A server holds so many connections, told nowhere, and an idle one that a router keeps takes the place
of another router's request. Where routers times servers are more than all places, each router's idle
connections are what fills the tables, and who is turned away reads its key elsewhere: a miss, and a copy
that pushes out another. So each router shortens what it keeps by a part with each new connection that is
turned away, and lengthens it by a smaller part with each that is taken (AIMD's place is taken by MIMD, since
the right span lies anywhere between a fraction of a second and the operator's bound); all routers meet the
same tables, so all give way alike. At rest one in 1 + CUT/GROWTH new connections is turned away.
"""

from rainhitch.interface import Status

LEAST = 0.25  # s
CUT, GROWTH = 1 / 8, 1 / 128


class Idling:
    """`most`: s at most, by the operator and the servers' keepalive."""

    def __init__(self, most: float) -> None:
        self.most = self.span = most

    def ended(self, status: Status) -> None:
        """How a new connection's first request ended."""
        if status is Status.FULL:
            self.span = max(min(LEAST, self.most), self.span * (1 - CUT))
        elif status in (Status.OK, Status.MISS):
            self.span = min(self.most, self.span * (1 + GROWTH))

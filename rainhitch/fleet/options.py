"""What an operator may set of what routers share; see docs/operate/fleet.md."""

from dataclasses import dataclass


@dataclass
class FleetOptions:
    """[routers] of the operator's file."""

    counts: bool = False  # customers' use is told and added up
    bounded: bool = False  # one router's word on a server is bounded by a second one's
    members: bool = False  # who is there is found out
    database_rps: float = 0.0  # reads a second that all routers together may send the database; 0: no limit

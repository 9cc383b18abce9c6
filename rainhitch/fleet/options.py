"""What an operator may set of what routers share; see docs/operate/fleet.md."""

from dataclasses import dataclass


@dataclass
class Options:
    """[routers] of the operator's file."""

    counts: bool = True  # customers' use is told and added up
    members: bool = False  # who is there is found out
    database_rps: float = 0.0  # reads a second that all routers together may send the database; 0: no limit

"""What an operator may set of what routers share; see docs/operate/fleet.md."""

from dataclasses import dataclass


@dataclass
class FleetOptions:
    """[routers] of the operator's file; the names are those of its keys."""

    counts: bool = False  # tenants' usage is published and added up
    bounded: bool = False  # a latency counts no more than a second router confirms
    members: bool = False  # failed routers are detected
    database_rps: float = 0.0  # reads a second that all routers together may send the database; 0: no limit

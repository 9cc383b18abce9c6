"""Operator's options of the communication among routers; see docs/operate/fleet.md."""

from dataclasses import dataclass


@dataclass
class FleetOptions:
    """Options of the table [routers] of the operator's file, under the names of its keys."""

    counts: bool = False  # routers publish the tenants' usage and add it up
    bounded: bool = False  # latencies from other routers are bounded by those of a second router
    members: bool = False  # routers detect the failure of others
    database_rps: float = 0.0  # limit of all routers' reads of the database a second; 0 for no limit

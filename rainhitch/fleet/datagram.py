"""Datagrams to other routers, and the base class of this package's errors."""

from typing import NamedTuple

from rainhitch.errors import RainhitchError

ALL_ROUTERS = -1  # receiver of a datagram that is broadcast to all routers


class FleetError(RainhitchError):
    """Error for a datagram from another router that cannot be read; it is counted and dropped."""


class Datagram(NamedTuple):
    """Datagram to send; the receiver is a router's number or `ALL_ROUTERS`."""

    receiver: int
    payload: bytes

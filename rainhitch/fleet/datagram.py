"""A datagram that is to be sent to another router, and the root of this package's errors."""

from typing import NamedTuple

from rainhitch.errors import RainhitchError

EVERYONE = -1  # as the receiver: all routers, by broadcast


class FleetError(RainhitchError):
    """A datagram of another router that can't be read; it is counted and dropped."""


class Datagram(NamedTuple):
    """A datagram to send: the receiver's number among the routers, or `EVERYONE`, and its bytes."""

    receiver: int
    payload: bytes

"""The log lines that a router writes for machines to read; each field is named here and nowhere else.

A line is a word and one JSON object, behind whatever the logging puts before it:

    ... INFO second {"at":1764618445.2,"taken":31,"ended":{"served":24,"refused:placement+":7},...}
    ... INFO bad {"at":1764618445.4,"id":"4981","how":"failed:late","tries":["s-5b timeout after 900 ms"],...}

Counts are of what happened since the router's last `second`; times are Unix seconds.
"""

from dataclasses import dataclass, field
from enum import StrEnum

Numbers = dict[str, int]


class Outcome(StrEnum):
    """How a request ended, as records tell, where no decision with a `RejectReason` ended it."""

    SERVED = "served"
    CLIENT_LEFT = "gone"
    CLIENT_GAVE_UP = "gone:unanswered"  # it left with so little of its wait left that it gave up waiting
    ROUTER_FULL = "refused:room"  # the router holds as many requests or bytes as it may
    OVERDUE = "failed:overdue"  # its time was over, and no decision had ended it
    CUT_OFF = "failed:cut off"  # a long value broke off, or its client left meanwhile


# Plain texts for who counts: the JSON writer takes no enum as a key, and reading a member off its class is a
# Python call in 3.11.
SERVED = Outcome.SERVED.value
CLIENT_LEFT = Outcome.CLIENT_LEFT.value
CLIENT_GAVE_UP = Outcome.CLIENT_GAVE_UP.value
ROUTER_FULL = Outcome.ROUTER_FULL.value
OVERDUE = Outcome.OVERDUE.value
CUT_OFF = Outcome.CUT_OFF.value
# Before a RejectReason, of the decision that ended the request.
REJECTED_PREFIX = "refused:"
FAILED_PREFIX = "failed:"


def is_loss(outcome: str) -> bool:
    """Whether a request was rejected, failed, or left by a client that gave up waiting: it has a reason."""
    return ":" in outcome


@dataclass(slots=True)
class Second:
    """What one router did in a second; nothing is written for one in which nothing happened."""

    at: float
    taken: int = 0  # requests accepted, or rejected at once
    # What shows lateness stands first: platforms cut long lines.
    lag: Numbers = field(default_factory=dict)  # delays of the event loop: times, ms
    # Requests whose bytes may have lain unread for over 5 ms, by how long: under 20, 50, 100, 150 ms, more.
    unread: Numbers = field(default_factory=dict)
    accepts: Numbers = field(default_factory=dict)  # pauses in accepting clients: pauses, ms
    closed: Numbers = field(default_factory=dict)  # connections of clients, by the reason of their end
    # How requests ended: served, gone (the client left), gone:unanswered (it left when its wait was almost
    # over, so that this router may have been late), refused:REASON, failed:REASON. The reason is the decision
    # that ended it: placement (no server has capacity), throttle, buffer (waited there too long), fetch
    # (waited for a coalesced read), origin, total (of the fleet's reads of the database), storm, order,
    # budget (of retries), attempts (no further one is allowed), full, error, late, room (of the router),
    # overdue (the decisions lost it), cut off (of a long value); + behind
    # it: beyond the tenant's quota.
    ended: Numbers = field(default_factory=dict)
    # Attempts by their status, "origin" before it for those at the database; and their durations' sums, ms.
    tried: Numbers = field(default_factory=dict)
    took: Numbers = field(default_factory=dict)
    again: Numbers = field(default_factory=dict)  # retries, by the status of the attempt before
    # Requests by tenant, + behind its name beyond its quota: served, refused, failed.
    customers: Numbers = field(default_factory=dict)
    sent: Numbers = field(default_factory=dict)  # attempts, by server
    poor: Numbers = field(default_factory=dict)  # of these, those that ended neither ok nor miss
    links: Numbers = field(default_factory=dict)  # connections to servers: new, refused, no room
    calls: Numbers = field(default_factory=dict)  # to discovery: ok, or the error's name
    words: Numbers = field(default_factory=dict)  # gossip datagrams: told, bytes, heard, unread
    away: Numbers = field(default_factory=dict)  # pauses of the process: times, ms
    open: int = 0  # connections to servers at the second's end
    list_age: float = -1.0  # s since discovery last answered; -1: it never has
    rate: float = 0.0  # of the origin's throttle, expected misses per second; 0: it is off
    cpu: float = 0.0  # s of CPU


@dataclass(slots=True)
class Bad:
    """A request that was not served though it had been attempted, or whose client gave up waiting."""

    at: float
    id: str
    how: str  # as in Second.ended
    tries: list[str]  # the servers attempted, each with the attempt's status
    connection: int = 0  # the client connection's number
    unread: int = 0  # ms for which it may have been unread before it was accepted
    left: int = 0  # ms that were left of its client's wait when it ended; below 0: it was late


WORDS: dict[str, type[Second] | type[Bad]] = {"second": Second, "bad": Bad}

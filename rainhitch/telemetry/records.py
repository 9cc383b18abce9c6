"""The lines that a router writes for machines to read: each field is named here and nowhere else.

A line is a word and one JSON object, behind whatever the logging puts before it:

    ... INFO second {"at":1764618445.2,"taken":31,"ended":{"served":24,"refused:placement+":7},...}
    ... INFO bad {"at":1764618445.4,"id":"4981434d5d3a91c4","how":"failed:late","tries":["s-5be2 timeout"]}

Counts are of what happened since the router's last `second`; times are Unix seconds.
"""

from dataclasses import dataclass, field

Numbers = dict[str, int]


@dataclass(slots=True)
class Second:
    """What one router did in a second; nothing is written for one in which nothing happened."""

    at: float
    taken: int = 0  # requests
    # What tells of lateness stands first: platforms cut long lines.
    lag: Numbers = field(default_factory=dict)  # delays of the event loop: times, ms
    # Requests whose bytes may have lain unread for over 5 ms, by how long: under 20, 50, 100, 150 ms, more.
    unread: Numbers = field(default_factory=dict)
    accepts: Numbers = field(default_factory=dict)  # pauses in accepting clients: pauses, ms
    closed: Numbers = field(default_factory=dict)  # connections of clients, by why they ended
    # How requests ended: served, gone (the client left), gone:unanswered (it left when its wait was all but
    # over, so that this router may have been late), refused:WHY, failed:WHY. WHY is the decision that
    # gave it up: placement (no server calm), throttle, buffer (waited there too long), fetch (waited for
    # another's read), origin, total (of the fleet's reads of the database), storm, order, budget (of
    # retries), attempts (no one more is allowed), full, error, late, room (of the router), overdue (the
    # decisions lost it); + behind it: beyond the share.
    ended: Numbers = field(default_factory=dict)
    # Attempts, by how they ended; "origin" before it: at the database. And how long these took in all, ms.
    tried: Numbers = field(default_factory=dict)
    took: Numbers = field(default_factory=dict)
    again: Numbers = field(default_factory=dict)  # attempts after an earlier one, by how that had ended
    customers: Numbers = field(
        default_factory=dict
    )  # by customer, + beyond its share: served, refused, failed
    sent: Numbers = field(default_factory=dict)  # attempts, by server
    poor: Numbers = field(default_factory=dict)  # of these, those with neither ok nor miss
    links: Numbers = field(default_factory=dict)  # connections to servers: new, refused
    calls: Numbers = field(default_factory=dict)  # to discovery: ok, or the error's name
    words: Numbers = field(default_factory=dict)  # between routers: told, bytes, heard, unread
    away: Numbers = field(default_factory=dict)  # stopped, or without its core: times, ms
    open: int = 0  # connections to servers at its end
    list_age: float = -1.0  # s since discovery last answered; -1: it never has
    rate: float = 0.0  # of the throttle, likely misses a second; 0: it is off
    cpu: float = 0.0  # s of CPU


@dataclass(slots=True)
class Bad:
    """A request that ended without an answer after it had been sent on, or whose client gave up waiting."""

    at: float
    id: str
    how: str
    tries: list[str]  # the servers tried, each with how it ended
    connection: int = 0  # the client connection's number
    unread: int = 0  # ms for which it may have lain unread before it was taken
    left: int = 0  # ms that were left of its client's wait when it ended; below 0: it was late


WORDS: dict[str, type[Second] | type[Bad]] = {"second": Second, "bad": Bad}

"""Order keys: one attempt of an order out at a time at this router, whatever request it belongs to.

Theory. A client's retry of an order is a request of its own: a new id, the same order key. To the rules on
requests the two have nothing to do with one another, and yet what the first may have done, the second would
do again. So an order has one holder, the request that may send, and a line of others that wait for its end.
The holder's end is its answer and the end of all that it has out: an attempt of a client that has left runs
on. What may have run is remembered beyond it. The next holder inherits that, and goes on as if these were
attempts of its own: within the group that drops repeats, and while that remembers them.

    unknown --enter--> held --enter (another id)--> held, with a line
    held --ended, and nothing out--> the next in line holds it, or idle
    idle --enter--> held, with what it inherits
    idle --its window and the longest retry's time are over--> unknown

Bounds: so many orders, and so many in a line; beyond them a request is turned away before anything ran.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from rainhitch import interface as api

MOST_ORDERS = 4096  # remembered at once
MOST_IN_LINE = 8  # requests that wait for one order


class Entry(Enum):
    """What a request may do about its order."""

    HOLDS = "holds"
    WAITS = "waits"
    FULL = "full"  # nothing ran: turned away


@dataclass(slots=True)
class Order:
    """One order key."""

    holder: str = ""
    open: bool = False  # the holder has no final answer yet
    out: set[tuple[str, int]] = field(default_factory=set)  # attempts, by id and number
    ran: dict[tuple[str, int], tuple[int, api.Endpoint]] = field(
        default_factory=dict
    )  # may have: when, where
    line: deque[str] = field(default_factory=deque)
    until: int = 0  # remembered so long once idle, ns

    @property
    def busy(self) -> bool:
        return self.open or bool(self.out)


class IdempotencyKeyGuard:
    """The order keys that this router knows. Times are ns; `patience` is how long a client may take to come
    again: the longest deadline of a class."""

    def __init__(self, patience: int, most: int = MOST_ORDERS, in_line: int = MOST_IN_LINE) -> None:
        self.patience, self.most, self.in_line = patience, most, in_line
        self.orders: dict[str, Order] = {}  # the longest untouched first
        self.of: dict[str, str] = {}  # the order of each request that holds one, waits, or has an attempt out

    def __len__(self) -> int:
        return len(self.orders)

    def enter(self, now: int, key: str, id: str) -> Entry:
        """A request for this order has come."""
        order = self.orders.get(key)
        if order is not None and not order.busy and now >= order.until:
            del self.orders[key]
            order = None
        if order is None:
            if len(self.orders) >= self.most and not self._forget(now):
                return Entry.FULL
            order = self.orders[key] = Order()
        if order.busy:
            if len(order.line) >= self.in_line:
                return Entry.FULL
            order.line.append(id)
            self.of[id] = key
            return Entry.WAITS
        self._hold(key, order, id)
        return Entry.HOLDS

    def known(self, now: int, key: str) -> bool:
        """Whether this order has come before."""
        order = self.orders.get(key)
        return order is not None and (order.busy or now < order.until)

    def inherited(self, key: str, id: str) -> list[tuple[int, api.Endpoint]]:
        """When and where the attempts of other requests than this at an order may have run."""
        order = self.orders.get(key)
        return [] if order is None else [ran for (whose, _), ran in order.ran.items() if whose != id]

    def sent(self, now: int, id: str, number: int, member: api.Endpoint, window: int) -> None:
        """The holder has sent an attempt; `window` is for how long repeats of it are dropped."""
        key = self.of.get(id)
        if key is not None:
            order = self.orders[key]
            order.out.add((id, number))
            order.ran[id, number] = (now, member)
            order.until = max(order.until, now + window + self.patience)

    def outcome(self, id: str, number: int, status: api.AttemptStatus) -> str:
        """An attempt has ended; gives the request that holds the order from now on, "" for none."""
        key = self.of.get(id)
        if key is None:
            return ""
        order = self.orders[key]
        order.out.discard((id, number))
        if status in api.NEVER_EXECUTED:
            order.ran.pop((id, number), None)
        return self._next(key, order)

    def ended(self, id: str) -> str:
        """A request has its final answer, or its client has left; gives who holds the order from now on."""
        key = self.of.get(id)
        if key is None:
            return ""
        order = self.orders[key]
        if order.holder == id:
            order.open = False
            return self._next(key, order)
        if id in order.line:
            order.line.remove(id)
            del self.of[id]
        return ""

    def _hold(self, key: str, order: Order, id: str) -> None:
        order.holder, order.open, self.of[id] = id, True, key
        self.orders[key] = self.orders.pop(key)  # the latest touched goes last

    def _next(self, key: str, order: Order) -> str:
        if order.busy:
            return ""
        self.of.pop(order.holder, None)
        if order.line:
            self._hold(key, order, order.line.popleft())
            return order.holder
        if not order.ran:
            del self.orders[key]  # nothing to be remembered
        return ""

    def _forget(self, now: int) -> bool:
        """Makes room: the longest untouched that is past its time, or else the longest untouched idle one."""
        idle = next((key for key, order in self.orders.items() if not order.busy), None)
        if idle is None:
            return False
        late = [key for key, order in self.orders.items() if not order.busy and now >= order.until]
        for key in late or [idle]:
            del self.orders[key]
        return True

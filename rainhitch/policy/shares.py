"""What each customer may send of its share, cut to this router's part of the traffic."""

from rainhitch import interface as api
from rainhitch.policy.rates import Bank, Rate
from rainhitch.policy.throttle import LEAST_TOTAL
from rainhitch.policy.turn import Turn

PART_KEPT = 10_000_000  # ns for which this router's part of the traffic, where it was reckoned here, is kept


class Shares:
    """Marks what exceeds a customer's quota."""

    def __init__(self, turn: Turn) -> None:
        self.turn = turn
        tenants = turn.settings.tenants
        self.shares = [Rate(4 * turn.shortest_aim) for _ in tenants]
        self.banks = [Bank() for _ in tenants]
        self.parts, self.until = [0.0], 0  # this router's part of each one's traffic, and until when it holds

    def told(self, event: api.Part) -> None:
        """The routers' counts tell this one's part of each customer's traffic, or of all of it."""
        self.parts, self.until = event.parts, self.turn.now + event.span

    def exceeds(self, event: api.Request) -> bool:
        """Whether this request is beyond its customer's quota."""
        quotas = self.turn.settings.tenants
        if event.tenant >= len(quotas) or len(quotas) < 2 or not quotas[event.tenant].quota:
            return False
        if not event.repeat:
            self.shares[event.tenant].add(self.turn.now)
        if self.turn.now >= self.until:
            both = zip(self.shares, quotas, strict=True)
            used = sorted(rate.per_second(self.turn.now) / one.quota for rate, one in both if one.quota)
            # Guards against a surge of all customers taken for this router's part: it is no more than all.
            self.parts, self.until = [min(1, used[(len(used) - 1) // 2])], self.turn.now + PART_KEPT
        part = self.parts[event.tenant % len(self.parts)]
        rate = quotas[event.tenant].quota * max(1 / self.turn.settings.balancers, part)
        return not self.banks[event.tenant].take(self.turn.now, rate, max(LEAST_TOTAL, rate))

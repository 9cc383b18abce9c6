"""A request that is held, and what rules 1 and 2 allow for it by what its attempts have proved."""

from dataclasses import dataclass, field

from rainhitch import interface as api

S = api.Status
# Kept of a window for a router that is held up (0.15 s, less the protocol's slack of 0.05 s), ns; and of a
# short window one part in so many at most.
WINDOW_RESERVE, WINDOW_RESERVE_PART = 100_000_000, 4
NEVER_RAN = frozenset((S.FULL, S.CONNECT_FAILED, S.MOOT, S.MISS, S.NO_ROOM))


@dataclass(slots=True, eq=False)
class Job:
    """A request this router holds, with what its attempts have proved so far."""

    request: api.Request
    spec: api.RequestClass
    due: int  # until when it is worth its full: the end of its aim, or its deadline if that is sooner
    marked: bool = False  # over its tenant's share
    likely_miss: bool = False  # its key was not lately seen hit; in through mode, not lately sent
    skip: int = 0  # owners of a hot key's ranges that this request passes by
    at_origin: bool = False  # a write, or a read that missed
    moving: bool = False  # its key is asked for at its owner for the first time
    away: bool = False  # or where it was
    waits: bool = False  # for the end of an earlier request for its order
    made: int = 0  # attempts so far
    failed: int = 0  # of these, but for misses
    # May have run: where, when sent. Those of earlier requests for the same order have negative numbers.
    live: dict[int, tuple[api.Member, int]] = field(default_factory=dict)
    out: set[int] = field(default_factory=set)
    tried: set[str] = field(default_factory=set)
    missed: str = ""  # the last server that lacked its key
    why: str = "late"  # what it waits for, or which decision gave it up

    def given_up(self) -> str:
        """Which decision gave it up, as the log has it."""
        return self.why + "+" * self.marked

    def may_repeat(self, to: api.Member, now: int) -> bool:
        """Rule 2: whether one more attempt may go there, by what the earlier ones proved."""
        if self.spec.effect is api.Effect.SAFE or not self.live:
            return True
        if self.spec.effect is api.Effect.UNSAFE or not self.in_window(now):
            return False
        group = self.spec.group
        ran = [at for at, _ in self.live.values()]
        same = [one.zone == to.zone if group == "zone" else one.cell == to.cell for one in ran]
        return group == "all" or all(same)

    def may_refuse(self, now: int) -> bool:
        """Rule 2: whether trying again is harmless, which is what a refusal says."""
        dropped = self.spec.effect is api.Effect.KEYED and self.spec.group == "all"
        return self.spec.effect is api.Effect.SAFE or not self.live or (dropped and self.in_window(now))

    def in_window(self, now: int) -> bool:
        return now < self.window_end()

    def window_end(self) -> int:
        """Until when a repeat may be begun: the router may be held up between this and its write."""
        reserve = min(WINDOW_RESERVE, self.spec.window // WINDOW_RESERVE_PART)
        return min(sent for _, sent in self.live.values()) + self.spec.window - reserve

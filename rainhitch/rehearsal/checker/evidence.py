"""The ledgers of a day put together: what each request met, when, and what each router had been told."""

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

Json = dict[str, Any]
SECOND = 1_000_000_000
MILLI = 1_000_000
HELD_UP = 200 * MILLI  # ns for which a router may be held up and owes all the same; with what signals take
NEVER = 1 << 62
NEVER_RAN = ("busy", "miss")
STALL_NEAR = SECOND  # ns round an instant within which the rig's own stalls count


@dataclass(slots=True)
class ObservedAttempt:
    """One attempt of a router, as the node or the database saw it; times are monotonic ns."""

    to: str
    router: int
    id: str
    first: int
    last: int
    out_until: int  # when it was answered, or its connection closed; NEVER for neither
    outcome: str
    may_have_run: bool
    cold: bool = False
    work: float = 0.0
    connection: int = 0
    order: str = ""
    executed: bool = False
    write: bool = False


@dataclass
class Evidence:
    """A day's ledgers, indexed."""

    scenario: Json
    plan: Json
    ledgers: Json
    sends: dict[str, list[ObservedAttempt]] = field(
        default_factory=dict
    )  # by request id, in the order of their last bytes
    tries: list[Json] = field(default_factory=list)
    extras: list[Json] = field(default_factory=list)
    told: dict[tuple[int, str], list[tuple[int, str]]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        parts = self.ledgers["parts"]
        self.zero: int = self.ledgers["zero"]
        self.nodes: Json = {}
        grouped: dict[str, list[ObservedAttempt]] = defaultdict(list)
        for role, rows in sorted(parts.items()):
            if role.startswith("clients"):
                self.tries += rows["sent"]
                self.extras += rows["extras"]
            elif role.startswith("nodes"):
                self.nodes |= {one["uid"]: one for one in rows["nodes"]}
                for row in rows["attempts"]:
                    grouped[row["id"]].append(_attempt(row))
        self.centre: Json = parts["centre"]
        for row in self.centre["fetches"]:
            grouped[row["id"]].append(_fetch(row))
        for sends in grouped.values():
            sends.sort(key=lambda one: (one.last, one.first, one.to))
        self.sends = dict(grouped)
        self.tries.sort(key=lambda one: (one["ask"], one["number"]))
        self.extras.sort(key=lambda one: one["at"])
        self.stalls = sorted((a, b) for rows in parts.values() for a, b in rows["stalls"])
        self.lives = {one["number"]: one["events"] for one in self.ledgers["routers"]}
        self._tell()

    def _tell(self) -> None:
        """What each router had been told of each node, and when; a new start of a router begins anew."""
        told: dict[tuple[int, str], list[tuple[int, str]]] = defaultdict(list)
        uids = [one["uid"] for one in self.plan["nodes"]]
        for row in sorted(self.centre["told"], key=lambda one: one["at"]):
            if row["node"]:
                told[row["router"], row["node"]].append((row["at"], row["state"]))
                continue
            for uid in uids:
                if uid not in row["named"]:
                    told[row["router"], uid].append((row["at"], "Gone"))
        for router, events in self.lives.items():
            for what, at in events:
                if what == "start":
                    for uid in uids:
                        told[router, uid].append((at, "unknown"))
        for rows in told.values():
            rows.sort()
        self.told = dict(told)

    def last_told(self, router: int, uid: str, at: int) -> tuple[int, str]:
        """The state that a router held a node for at an instant, and since when it was told so."""
        rows = self.told.get((router, uid), [])
        end = bisect_right(rows, (at, "\uffff"))
        if not end:
            return 0, "unknown"
        state, since = rows[end - 1][1], rows[end - 1][0]
        for when, one in reversed(rows[: end - 1]):
            if (one in ("Terminating", "Gone")) != (state in ("Terminating", "Gone")) or one == "unknown":
                break
            since = when
        return since, state

    def knows_start(self, router: int, uid: str, started: int, at: int) -> bool:
        """Whether a router had been told by then of a node's latest start."""
        rows = self.told.get((router, uid), [])
        return any(started <= when <= at and state == "Ready" for when, state in rows)

    def died(self, router: int, begin: int, end: int) -> bool:
        """Whether a router was killed, crashed, or was stopped as it stood for longer than it has to bear,
        between two instants."""
        asked = ""  # what the stage did to it last; who is told to stop has to answer what it holds
        stopped = 0
        for what, at in self.lives.get(router, []):
            if what == "pause":
                stopped = at
            elif what == "wake" and at - stopped > HELD_UP and stopped <= end and at >= begin:
                return True
            if what in ("start", "term", "kill", "late kill"):
                asked = what
            if begin <= at <= end and (what == "kill" or (what == "ended" and asked == "start")):
                return True
        return False

    def slack(self, at: int) -> int:
        """The longest stall of the rig itself near an instant: so much it may have mistaken."""
        longest = 0
        for begin, end in self.stalls:
            if begin <= at + STALL_NEAR and end >= at - STALL_NEAR:
                longest = max(longest, end - begin)
        return longest


def _attempt(row: Json) -> ObservedAttempt:
    proven = row["ended"] and row["outcome"] in NEVER_RAN
    ends = [one for one in (row["ended"], row["closed"]) if one]
    return ObservedAttempt(
        row["node"],
        row["router"],
        row["id"],
        row["first"],
        row["last"],
        min(ends, default=NEVER),
        row["outcome"] if row["ended"] else "unanswered",
        not proven,
        row["cold"],
        row["work"],
        row["connection"],
        write=row["name"] == "C.SET",
    )


def _fetch(row: Json) -> ObservedAttempt:
    ends = [one for one in (row["ended"], row["closed"]) if one]
    return ObservedAttempt(
        "database",
        row["router"],
        row["id"],
        row["first"],
        row["last"],
        min(ends, default=NEVER),
        row["outcome"] or "unanswered",
        row["outcome"] != "busy",
        connection=row["connection"],
        order=row["order"],
        executed=row["executed"],
        write=row["write"],
    )

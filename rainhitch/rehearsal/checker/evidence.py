"""The records of a run put together: what each request met, when, and what list each router had been sent."""

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field

from rainhitch.rehearsal.checker.records import (
    MILLI,
    SECOND,
    AskedRequest,
    CheckedClass,
    ClientTry,
    DatabaseStop,
    FurtherAnswer,
    Json,
    ListEntry,
    NodeRecord,
    ObservedAttempt,
    RouterCrash,
    RouterEvent,
)
from rainhitch.rehearsal.router_events import RouterEventKind

MAX_PAUSE_NS = 200 * MILLI  # a router that stood still for longer owes no answer; with what signals take
STALL_REACH_NS = SECOND  # round an instant, within which stalls of the kit itself count
UNKNOWN = "unknown"  # the state of a node of which a router has been sent nothing since it started
READY = "Ready"
GONE = "Gone"
NO_NEW_REQUESTS_STATES = ("Terminating", GONE)
AFTER_ALL_STATES = "\uffff"  # sorts behind every state of the same instant


@dataclass
class Evidence:
    """A run's records, indexed. The first three are the rows as they are kept in files."""

    scenario: Json
    plan: Json
    records: Json
    zero_ns: int = 0  # the first scored instant
    classes: list[CheckedClass] = field(default_factory=list)
    requests: list[AskedRequest] = field(default_factory=list)
    client_tries: list[ClientTry] = field(default_factory=list)  # by request and number
    further_answers: list[FurtherAnswer] = field(default_factory=list)  # by time
    attempts_by_id: dict[str, list[ObservedAttempt]] = field(default_factory=dict)  # by their last bytes
    nodes: dict[str, NodeRecord] = field(default_factory=dict)
    database_stops: list[DatabaseStop] = field(default_factory=list)
    router_events: dict[int, list[RouterEvent]] = field(default_factory=dict)
    crashes: list[RouterCrash] = field(default_factory=list)
    stalls: list[tuple[int, int]] = field(default_factory=list)  # of the kit itself: begin and end, ns
    list_history: dict[tuple[int, str], list[ListEntry]] = field(default_factory=dict)  # by router and node

    def __post_init__(self) -> None:
        """Reads the rows."""
        parts = self.records["parts"]
        self.zero_ns = self.records["zero"]
        self.classes = [CheckedClass.from_row(row) for row in self.scenario["classes"]]
        self.requests = [AskedRequest.from_row(row) for row in self.plan["asks"]]
        self._read_clients(parts)
        self._read_attempts(parts)
        self.database_stops = [
            DatabaseStop(at, is_overload) for at, is_overload in self.shared_services["stops"]
        ]
        self.stalls = sorted((begin, end) for rows in parts.values() for begin, end in rows["stalls"])
        self._read_routers()
        self._read_lists()

    @property
    def shared_services(self) -> Json:
        """The record of the database, discovery and the network between routers."""
        rows: Json = self.records["parts"]["centre"]
        return rows

    def _read_clients(self, parts: Json) -> None:
        """The tries of all clients, and what else came to them."""
        for role, rows in sorted(parts.items()):
            if role.startswith("clients"):
                self.client_tries += [ClientTry.from_row(row) for row in rows["sent"]]
                self.further_answers += [FurtherAnswer.from_row(row) for row in rows["extras"]]
        self.client_tries.sort(key=lambda one: (one.request_number, one.try_number))
        self.further_answers.sort(key=lambda one: one.at_ns)

    def _read_attempts(self, parts: Json) -> None:
        """The attempts that nodes and the database saw, by the id of their request."""
        attempts_by_id: dict[str, list[ObservedAttempt]] = defaultdict(list)
        for role, rows in sorted(parts.items()):
            if role.startswith("nodes"):
                self.nodes |= {row["uid"]: NodeRecord.from_row(row) for row in rows["nodes"]}
                for row in rows["attempts"]:
                    attempts_by_id[row["id"]].append(ObservedAttempt.from_node_row(row))
        for row in self.shared_services["fetches"]:
            attempts_by_id[row["id"]].append(ObservedAttempt.from_database_row(row))
        for attempts in attempts_by_id.values():
            attempts.sort(key=lambda one: (one.last_byte_ns, one.first_byte_ns, one.server))
        self.attempts_by_id = dict(attempts_by_id)

    def _read_routers(self) -> None:
        """What became of the routers' processes."""
        for row in self.records["routers"]:
            number = row["number"]
            self.router_events[number] = [RouterEvent(kind, at_ns) for kind, at_ns in row["events"]]
            crash = row["crash"]
            if crash:
                self.crashes.append(RouterCrash(number, crash["at"], crash["why"], crash["log"]))

    def _read_lists(self) -> None:
        """What each router was sent of each node, and when; a router that starts anew knows nothing."""
        history: dict[tuple[int, str], list[ListEntry]] = defaultdict(list)
        uids = [row["uid"] for row in self.plan["nodes"]]
        for row in sorted(self.shared_services["told"], key=lambda one: one["at"]):
            if row["node"]:
                history[row["router"], row["node"]].append(ListEntry(row["at"], row["state"]))
                continue
            for uid in uids:  # a whole list: nodes that it does not name are gone
                if uid not in row["named"]:
                    history[row["router"], uid].append(ListEntry(row["at"], GONE))
        for router, events in self.router_events.items():
            for event in events:
                if event.kind == RouterEventKind.START:
                    for uid in uids:
                        history[router, uid].append(ListEntry(event.at_ns, UNKNOWN))
        for entries in history.values():
            entries.sort()
        self.list_history = dict(history)

    def attempts_of(self, id: str) -> list[ObservedAttempt]:
        """All attempts for a request id, by their last bytes."""
        return self.attempts_by_id.get(id, [])

    def all_attempts(self) -> list[ObservedAttempt]:
        """The attempts of all requests."""
        return [attempt for attempts in self.attempts_by_id.values() for attempt in attempts]

    def listed_state(self, router: int, uid: str, at_ns: int) -> ListEntry:
        """The state that a router's list had for a node at an instant, and since when.

        Terminating and gone are one in this: gone after terminating does not begin anew.
        """
        entries = self.list_history.get((router, uid), [])
        end = bisect_right(entries, (at_ns, AFTER_ALL_STATES))
        if end == 0:
            return ListEntry(0, UNKNOWN)
        since_ns, state = entries[end - 1]
        takes_none = state in NO_NEW_REQUESTS_STATES
        for earlier in reversed(entries[: end - 1]):
            if earlier.state == UNKNOWN or (earlier.state in NO_NEW_REQUESTS_STATES) != takes_none:
                break
            since_ns = earlier.at_ns
        return ListEntry(since_ns, state)

    def knew_of_start(self, router: int, uid: str, started_ns: int, at_ns: int) -> bool:
        """Whether a router had been sent by then that a node is ready since its latest start."""
        entries = self.list_history.get((router, uid), [])
        return any(started_ns <= entry.at_ns <= at_ns and entry.state == READY for entry in entries)

    def owes_no_answer(self, router: int, begin_ns: int, end_ns: int) -> bool:
        """Whether a router was killed, crashed, or stood still for over MAX_PAUSE_NS between two instants.

        One that ends after SIGTERM owes all the same: it has to answer what it holds. A crash is a violation
        of its own.
        """
        last_command = ""
        paused_ns = 0
        for kind, at_ns in self.router_events.get(router, []):
            if kind == RouterEventKind.PAUSE:
                paused_ns = at_ns
            was_long_pause = kind == RouterEventKind.RESUME and at_ns - paused_ns > MAX_PAUSE_NS
            if was_long_pause and paused_ns <= end_ns and at_ns >= begin_ns:
                return True
            if kind in (
                RouterEventKind.START,
                RouterEventKind.TERM,
                RouterEventKind.KILL,
                RouterEventKind.LATE_KILL,
            ):
                last_command = kind
            crashed = kind == RouterEventKind.ENDED and last_command == RouterEventKind.START
            if begin_ns <= at_ns <= end_ns and (kind == RouterEventKind.KILL or crashed):
                return True
        return False

    def kit_stall_ns(self, at_ns: int) -> int:
        """The longest stall of the kit itself near an instant: its clocks may be wrong by so much."""
        longest_ns = 0
        for begin_ns, end_ns in self.stalls:
            if begin_ns <= at_ns + STALL_REACH_NS and end_ns >= at_ns - STALL_REACH_NS:
                longest_ns = max(longest_ns, end_ns - begin_ns)
        return longest_ns

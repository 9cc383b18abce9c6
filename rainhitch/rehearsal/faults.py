"""The kinds of faults, the keys that each needs, and which of them can't overlap.

What each kind does stands in `fault_actions`.
"""

from dataclasses import dataclass

from rainhitch import toml_schema as schema

# By kind: which of `room`, `node`, `router` it needs, and which of the other keys have a meaning for it.
# A room, node or router that a kind has no use for is an error; any other such key is accepted and ignored.
KINDS: dict[str, tuple[str, ...]] = {
    "room-loss": ("room", "for_s", "routers"),
    "partition": ("room", "for_s"),
    "hot-keys": ("for_s", "share", "keys"),
    "key-flood": ("for_s", "share"),
    "list-late": ("for_s", "delay_s"),
    "list-silent": ("for_s",),
    "messages-lost": ("for_s", "share"),
    "messages-late": ("for_s", "delay_s"),
    "messages-doubled": ("for_s", "share"),
    "messages-shuffled": ("for_s", "delay_s"),
    "routers-apart": ("group", "for_s", "oneway"),
    "database-slow": ("for_s", "factor"),
    "database-stop": ("for_s",),
    "node-kill": ("node", "for_s"),
    "node-drain": ("node", "for_s", "away_s"),
    "node-join": ("node",),
    "node-retire": ("node", "for_s"),
    "node-upgrade": ("node", "for_s", "away_s"),
    "clients-upgrade": ("share",),
    "node-silent": ("node", "for_s"),
    "node-spoil": ("node", "for_s", "share"),
    "link-delay": ("router", "node", "for_s", "delay_s"),
    "link-silent": ("router", "node", "for_s"),
    "link-reset": ("router", "node"),
    "router-kill": ("router", "for_s"),
    "router-restart": ("router",),
    "router-reload": ("router",),
    "router-pause": ("router", "for_s"),
    "surge": ("router", "for_s", "share"),
    "reconnect-storm": ("for_s", "clients"),
    "etcd-drop": (),
    "etcd-compact": (),
    "etcd-silent": ("for_s",),
    "etcd-outage": ("for_s",),
    "etcd-delay": ("for_s", "delay_s"),
}

ROUTER_RESTART_S = 6.0  # a router that is asked to stop may take so long; meanwhile it can't be asked again
# Kinds of which two of the same kind (and room, where it has one) can't overlap.
EXCLUSIVE_KINDS = (
    "partition",
    "routers-apart",
    "database-stop",
    "list-silent",
    "etcd-silent",
    "etcd-outage",
)
NODE_ENDING_KINDS = ("node-kill", "node-drain", "node-retire", "node-upgrade")
ROUTER_ENDING_KINDS = ("router-kill", "router-restart", "router-pause")


@dataclass(slots=True)
class Fault:
    """One fault of a scenario. The fields are the keys of the file's `[[faults]]`.

    Keys that `KINDS` does not have for a kind are accepted and ignored, but for `room`, `node` and `router`:
    these are an error there (`check_faults`).
    """

    kind: str = schema.text(schema.REQUIRED, "what goes wrong", tuple(KINDS))
    at_s: float = schema.number(schema.REQUIRED, 0, 3600, "when, from the first scored second")
    for_s: float = schema.number(0.0, 0, 3600, "for how long")
    room: str = schema.text("", "which room")
    node: str = schema.text("", "which node: ROOM-NUMBER")
    router: int = schema.whole(-1, 0, 299, "which router, from 0")
    group: list[int] = schema.numbers(
        [], 0, 299, "routers-apart: which routers, from 0; the rest are the others"
    )
    oneway: bool = schema.flag(False, "routers-apart: only what the group sends is lost")
    routers: bool = schema.flag(True, "room-loss: its routers too")
    share: float = schema.number(0.1, 0, 1, "of all traffic, reads, messages or answers")
    keys: int = schema.whole(2, 1, 100, "hot-keys: how many")
    away_s: float = schema.number(
        0.0, 0, 3600, "node-drain, node-upgrade: gone so long, then back cold; 0: for good"
    )
    clients: int = schema.whole(5000, 1, 100000, "reconnect-storm: so many connect anew and ask at once")
    factor: float = schema.number(4.0, 1, 1000, "database-slow: how many times slower")
    delay_s: float = schema.number(1.0, 0, 600, "how late")

    @property
    def until_s(self) -> float:
        """When it is over, from the first scored second.

        Without `away_s`: a drained node ends at this time, and is back so much later.

        The end of a fault is worked out again, not alike, from rows: `report.timeline` and `coverage`,
        `shrink` and `grammar` of `explore` take `for_s` alone, also for a router's restart;
        `explore.case_runner` adds `away_s`.
        """
        duration_s = ROUTER_RESTART_S if self.kind == "router-restart" else self.for_s
        return self.at_s + duration_s

    @property
    def place(self) -> str:
        """Where it acts: its router, room and node, or `all`."""
        places = []
        if "router" in KINDS[self.kind]:
            places.append(f"router {self.router}")
        places += [name for name in (self.room, self.node) if name]
        return " ".join(places) if places else "all"


def check_faults(
    faults: list[Fault], rooms: list[str], nodes: list[str], routers: int, length_s: float
) -> list[str]:
    """What is wrong with a scenario's faults.

    One line for each fault that acts nowhere, never, or on what another fault has taken away. `rooms` and
    `nodes` are the fleet's names, `routers` the count of routers, `length_s` the length of the run.
    """
    lines = []
    for number, fault in enumerate(faults):
        label = f"faults[{number}]"
        lines += _check_name(fault, label, "room", fault.room, rooms)
        lines += _check_name(fault, label, "node", fault.node, nodes)
        lines += _check_group(fault, label, routers)
        lines += _check_router(fault, label, routers)
        lines += _check_times(fault, label, length_s)
    lines += _check_joins(faults)
    lines += _check_overlaps(faults)
    return lines


def _check_name(fault: Fault, label: str, key: str, value: str, names: list[str]) -> list[str]:
    """A line for a room or node that is not there, or that this kind of fault has no use for."""
    is_needed = key in KINDS[fault.kind]
    if is_needed and value not in names:
        return [f"{label}.{key} = {value!r}: allowed is one of {', '.join(names)}"]
    if not is_needed and value:
        return [f"{label}.{key} = {value!r}: {fault.kind} has no {key}"]
    return []


def _check_group(fault: Fault, label: str, routers: int) -> list[str]:
    """A line for a group of routers that leaves none to be apart from."""
    if fault.kind != "routers-apart":
        return []
    group = set(fault.group)
    if group <= set(range(routers)) and 0 < len(group) < routers:
        return []
    return [f"{label}.group = {fault.group}: allowed are some routers from 0 to {routers - 1}, not all"]


def _check_router(fault: Fault, label: str, routers: int) -> list[str]:
    """A line for a router that is not there, or that this kind of fault has no use for."""
    is_needed = "router" in KINDS[fault.kind]
    if is_needed and not 0 <= fault.router < routers:
        return [f"{label}.router = {fault.router}: allowed is a whole number from 0 to {routers - 1}"]
    if not is_needed and fault.router >= 0:
        return [f"{label}.router = {fault.router}: {fault.kind} has no router"]
    return []


def _check_times(fault: Fault, label: str, length_s: float) -> list[str]:
    """Lines for a fault that lasts no time, or begins after the run."""
    lines = []
    if "for_s" in KINDS[fault.kind] and fault.for_s <= 0:
        lines.append(f"{label}.for_s = {fault.for_s:g}: {fault.kind} needs a time over 0")
    if fault.at_s >= length_s:
        lines.append(f"{label}.at_s = {fault.at_s:g}: allowed is less than the day's {length_s:g}")
    return lines


def _check_joins(faults: list[Fault]) -> list[str]:
    """One line for each fault that acts on a node before that has joined."""
    join_times_s = {fault.node: fault.at_s for fault in faults if fault.kind == "node-join"}
    lines = []
    for number, fault in enumerate(faults):
        if fault.kind == "node-join" or fault.node not in join_times_s:
            continue
        joins_at_s = join_times_s[fault.node]
        if fault.at_s <= joins_at_s:
            lines.append(f"faults[{number}].at_s = {fault.at_s:g}: {fault.node} joins at {joins_at_s:g} only")
    return lines


def _check_overlaps(faults: list[Fault]) -> list[str]:
    """One line for each two faults that take away the same thing at the same time."""
    lines = []
    for number, fault in enumerate(faults):
        for earlier_number, earlier in enumerate(faults[:number]):
            overlap = fault.at_s < earlier.until_s and earlier.at_s < fault.until_s
            if overlap and _take_the_same(fault, earlier):
                lines.append(
                    f"faults[{number}] ({fault.kind} of {fault.place}) overlaps "
                    f"faults[{earlier_number}] ({earlier.kind}): what is gone can't go again"
                )
    return lines


def _take_the_same(one: Fault, other: Fault) -> bool:
    """Whether two faults take away the same process, or the same part of the network."""
    if one.kind == other.kind and (one.kind == "room-loss" or one.kind in EXCLUSIVE_KINDS):
        return one.room == other.room
    if one.kind in NODE_ENDING_KINDS and other.kind in NODE_ENDING_KINDS:
        return one.node == other.node
    if one.kind in ROUTER_ENDING_KINDS and other.kind in ROUTER_ENDING_KINDS:
        return one.router == other.router
    return _takes_room_of_node(one, other) or _takes_room_of_node(other, one)


def _takes_room_of_node(room_loss: Fault, node_fault: Fault) -> bool:
    """Whether the first is the loss of the room in which the second ends a node."""
    if room_loss.kind != "room-loss" or node_fault.kind not in NODE_ENDING_KINDS:
        return False
    return node_fault.node.rsplit("-", 1)[0] == room_loss.room

"""The kinds of faults, what each needs, and which of them can't stand together."""

from dataclasses import dataclass

from rainhitch import toml_schema

# kind: what of `room`, `node`, `router` it needs, and which of the other keys it heeds
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

RESTARTS_S = 6.0  # a router that is told to stop may take so long, and can't be told again meanwhile


@dataclass(slots=True)
class Fault:
    kind: str = toml_schema.text(toml_schema.REQUIRED, "what goes wrong", tuple(KINDS))
    at_s: float = toml_schema.number(toml_schema.REQUIRED, 0, 3600, "when, from the first scored second")
    for_s: float = toml_schema.number(0.0, 0, 3600, "for how long")
    room: str = toml_schema.text("", "which room")
    node: str = toml_schema.text("", "which node: ROOM-NUMBER")
    router: int = toml_schema.whole(-1, 0, 299, "which router, from 0")
    group: list[int] = toml_schema.numbers(
        [], 0, 299, "routers-apart: which routers, from 0; the rest are the others"
    )
    oneway: bool = toml_schema.flag(False, "routers-apart: only what the group sends is lost")
    routers: bool = toml_schema.flag(True, "room-loss: its routers too")
    share: float = toml_schema.number(0.1, 0, 1, "of all traffic, reads, messages or answers")
    keys: int = toml_schema.whole(2, 1, 100, "hot-keys: how many")
    away_s: float = toml_schema.number(
        0.0, 0, 3600, "node-drain, node-upgrade: gone so long, then back cold; 0: for good"
    )
    clients: int = toml_schema.whole(5000, 1, 100000, "reconnect-storm: so many connect anew and ask at once")
    factor: float = toml_schema.number(4.0, 1, 1000, "database-slow: how many times slower")
    delay_s: float = toml_schema.number(1.0, 0, 600, "how late")

    @property
    def until_s(self) -> float:
        return self.at_s + (RESTARTS_S if self.kind == "router-restart" else self.for_s)

    @property
    def place(self) -> str:
        """Where it acts, in a word."""
        of_router = [f"router {self.router}"] if "router" in KINDS[self.kind] else []
        return " ".join(of_router + [one for one in (self.room, self.node) if one]) or "all"


def check_faults(
    faults: list[Fault], rooms: list[str], nodes: list[str], routers: int, length_s: float
) -> list[str]:
    """One line for each fault that acts nowhere, never, or on what another has taken away."""
    lines = []
    for number, one in enumerate(faults):
        at, needs = f"faults[{number}]", KINDS[one.kind]
        for key, value, names in (("room", one.room, rooms), ("node", one.node, nodes)):
            if key in needs and value not in names:
                lines.append(f"{at}.{key} = {value!r}: allowed is one of {', '.join(names)}")
            elif key not in needs and value:
                lines.append(f"{at}.{key} = {value!r}: {one.kind} has no {key}")
        lines += _apart(one, at, routers)
        if "router" in needs and not 0 <= one.router < routers:
            lines.append(f"{at}.router = {one.router}: allowed is a whole number from 0 to {routers - 1}")
        elif "router" not in needs and one.router >= 0:
            lines.append(f"{at}.router = {one.router}: {one.kind} has no router")
        if "for_s" in needs and one.for_s <= 0:
            lines.append(f"{at}.for_s = {one.for_s:g}: {one.kind} needs a time over 0")
        if one.at_s >= length_s:
            lines.append(f"{at}.at_s = {one.at_s:g}: allowed is less than the day's {length_s:g}")
    lines += _before_joining(faults)
    for number, one in enumerate(faults):
        for other in range(number):
            two = faults[other]
            if one.at_s < two.until_s and two.at_s < one.until_s and _clash(one, two):
                lines.append(
                    f"faults[{number}] ({one.kind} of {one.place}) overlaps faults[{other}] ({two.kind}): "
                    "what is gone can't go again"
                )
    return lines


def _apart(one: Fault, at: str, routers: int) -> list[str]:
    """A line for a group of routers that leaves nobody to be apart from."""
    group = set(one.group)
    if one.kind != "routers-apart" or (group <= set(range(routers)) and 0 < len(group) < routers):
        return []
    return [f"{at}.group = {one.group}: allowed are some routers from 0 to {routers - 1}, not all"]


def _before_joining(faults: list[Fault]) -> list[str]:
    """One line for each fault that acts on a node before that has joined."""
    joins = {one.node: one.at_s for one in faults if one.kind == "node-join"}
    return [
        f"faults[{number}].at_s = {one.at_s:g}: {one.node} joins at {joins[one.node]:g} only"
        for number, one in enumerate(faults)
        if one.kind != "node-join" and one.at_s <= joins.get(one.node, -1.0)
    ]


def _clash(one: Fault, two: Fault) -> bool:
    """Whether two overlapping faults take away the same process."""
    if one.kind == two.kind == "room-loss":
        return one.room == two.room
    if one.kind == two.kind and one.kind in (
        "partition",
        "routers-apart",
        "database-stop",
        "list-silent",
        "etcd-silent",
        "etcd-outage",
    ):
        return one.room == two.room
    taking = ("node-kill", "node-drain", "node-retire", "node-upgrade")
    if one.kind in taking and two.kind in taking:
        return one.node == two.node
    for room, other in ((one, two), (two, one)):
        if room.kind == "room-loss" and other.kind in taking:
            return other.node.rsplit("-", 1)[0] == room.room
    ends = ("router-kill", "router-restart", "router-pause")
    return one.kind in ends and two.kind in ends and one.router == two.router

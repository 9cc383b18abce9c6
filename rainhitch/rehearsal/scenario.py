"""A scenario file: fleet, work, clients, and a timeline of faults. Read strictly, as the operator's file.

The dataclasses are the file's tables: their fields are its keys, and the texts beside them stand in the JSON
Schema of `rainhitch schema`. Times are in seconds or milliseconds, as the key's end says; a range [a, b] is
drawn from the seed. Defaults are those of the operators' own fleet, so that a file says only what its run is
about.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from importlib import resources
from pathlib import Path
from typing import NamedTuple

from rainhitch import toml_schema as schema
from rainhitch.rehearsal.faults import Fault, check_faults


@dataclass(slots=True)
class Day:
    """The length of a run, and the limits of the routers: the table `[day]`."""

    length_s: float = schema.number(16.0, 1, 3600, "how long clients come")
    prelude_s: float = schema.number(
        4.0,
        0.5,
        60,
        "time before the first scored second, in which each warm key is read once, at no cost; not scored",
    )
    memory_mb: float = schema.number(192.0, 32, 65536, "of each router, which ends over it")
    sockets: int = schema.whole(1024, 64, 1 << 20, "descriptors that each router may hold")


@dataclass(slots=True)
class NodeClass:
    """A class of cache nodes: a table of `[[fleet.nodes]]`."""

    name: str = schema.text(schema.REQUIRED, "as the list names it")
    count: int = schema.whole(1, 1, 1000, "how many, dealt to the rooms in turn")
    cores: int = schema.whole(7, 1, 256, "cores at work")
    speed: tuple[float, float] = schema.pair((0.85, 1.1), 0.01, 100, "of a core, drawn for each node")
    slots_per_core: int = schema.whole(16, 1, 1024, "requests in work at once")
    queue_per_core: float = schema.number(2.5, 0, 1024, "requests that wait; those beyond are rejected")
    table_per_core: float = schema.number(13.0, 1, 10000, "connections that are held; others are rejected")


def _default_node_classes() -> list[NodeClass]:
    """Those of the operators' own fleet."""
    return [NodeClass("full-node", 5, 7, (0.85, 1.1)), NodeClass("small-node", 4, 6, (0.51, 0.69))]


@dataclass(slots=True)
class Fleet:
    """Rooms, routers and cache nodes: the table `[fleet]`. The JSON Schema has the class's name."""

    rooms: list[str] = schema.texts(["neihu", "banqiao", "taoyuan"], "machine rooms")
    routers: int = schema.whole(3, 1, 300, "dealt to the rooms in turn; beyond 64 in virtual time only")
    first_port: int = schema.whole(0, 0, 65000, "of the routers, one after the other; 0: any that are free")
    nodes: list[NodeClass] = schema.tables(NodeClass, "the classes of cache nodes", _default_node_classes)
    memory_keys: int = schema.whole(300, 1, 1 << 20, "keys that a node holds; the least lately used go first")
    connection_ms: tuple[float, float] = schema.pair(
        (17, 28), 0, 10000, "work that a new connection costs a node"
    )
    probe_ms: tuple[float, float] = schema.pair((2.8, 5.6), 0, 10000, "work that a probe costs a node")
    keepalive_s: float = schema.number(60.0, 0.5, 3600, "a node closes a connection that is idle for so long")
    cold_from: float = schema.number(0.3, 0.01, 1, "part of its capacity that a node starts with")
    warm_s: float = schema.number(8.7, 0.1, 600, "time from a node's start until it has its whole capacity")
    tip_multiple: float = schema.number(
        3.0, 1, 100, "a cold node that is sent so many times its capacity collapses"
    )
    tip_s: float = schema.number(1.0, 0.1, 60, "window of `tip_multiple`")
    error_rate: float = schema.number(0.0005, 0, 1, "answers that are errors")
    resp3: float = schema.number(0.0, 0, 1, "part of the nodes that speak RESP3 where they are greeted so")


@dataclass(slots=True)
class Database:
    """The order database: the table `[database]`."""

    workers: int = schema.whole(9, 1, 1024, "requests in work at once")
    time_ms: float = schema.number(120.0, 0.1, 60000, "mean time of one")
    queue: int = schema.whole(60, 0, 100000, "requests that wait; those beyond are rejected")
    stop_multiple: float = schema.number(
        2.5, 1, 100, "the database stops when it is sent so many times its capacity"
    )
    stop_after_s: float = schema.number(3.0, 0.1, 600, "overload time after which the database stops")
    stop_s: float = schema.number(5.0, 0.1, 600, "how long the database stays stopped")


@dataclass(slots=True)
class WorkClass:
    """A class of requests: a table of `[[classes]]`."""

    name: str = schema.text(schema.REQUIRED, "as requests name it")
    share: float = schema.number(schema.REQUIRED, 0, 100, "of the traffic, by weight")
    work_ms: float = schema.number(schema.REQUIRED, 0.1, 60000, "mean work of one, on a core of speed 1")
    aim_ms: float = schema.number(schema.REQUIRED, 1, 600000, "an answer within this time counts in full")
    deadline_ms: float = schema.number(schema.REQUIRED, 1, 600000, "time after which the client gives up")
    worth: float = schema.number(1.0, 0, 1000, "of an answer within `aim_ms`")
    late_worth: float = schema.number(0.2, 0, 1, "part of `worth` that a later answer earns")
    repeats: str = schema.text("safe", "what a second execution does", ("safe", "keyed", "unsafe"))
    window_s: float = schema.number(5.0, 0, 600, "keyed: time for which repeats are dropped")
    write: bool = schema.flag(False, "goes to the order database")


def _default_work_classes() -> list[WorkClass]:
    """Those of the operators' own traffic."""
    return [
        WorkClass("menu-read", 38, 115, 1200, 5000, 1.0, 0.25),
        WorkClass("slot-read", 33, 115, 1000, 2000, 1.0, 0.5),
        WorkClass("order-list", 21, 200, 1500, 5000, 1.0, 0.2),
        WorkClass("order-place", 7.8, 87, 750, 2500, 1.0, 0.2, "keyed", 5.0, True),
    ]


@dataclass(slots=True)
class Customer:
    """One who shares the fleet: a table of `[[customers]]`."""

    name: str = schema.text(schema.REQUIRED, "as requests name it")
    share: float = schema.number(schema.REQUIRED, 0, 100, "of `traffic.quota_rps`, by weight")
    usage: float = schema.number(schema.REQUIRED, 0, 100, "how many times its share it sends")


def _default_customers() -> list[Customer]:
    """Those of the operators: a large one beyond its share, and small ones within theirs."""
    return [
        Customer("nangang-chip", share=43, usage=2.8),
        Customer("xinzhu-textile", share=14, usage=0.72),
        Customer("taichung-tools", share=14, usage=0.8),
        Customer("linkou-logis", share=14, usage=0.71),
        Customer("yilan-foods", share=14, usage=0.75),
    ]


@dataclass(slots=True)
class Traffic:
    """What clients send: the table `[traffic]`."""

    rate: float = schema.number(150.0, 0.1, 100000, "requests a second, first tries of all clients")
    shape: str = schema.text("steady", "of the rate over the day", ("steady", "bursty", "wave"))
    swing: float = schema.number(0.25, 0, 0.9, "how far bursts and waves go from the mean")
    quota_rps: float = schema.number(
        92.0, 0.1, 1e6, "requests a second within all customers' shares together"
    )
    over_share_worth: float = schema.number(0.05, 0, 1, "part of its worth that a request beyond a share has")
    keys: int = schema.whole(6000, 1, 1 << 20, "different keys")
    zipf: float = schema.number(1.0, 0, 3, "exponent of their popularity")
    offset: float = schema.number(5.0, 0, 1000, "ranks by which the head is flattened")
    drift: float = schema.number(
        0.0,
        0,
        1,
        "part of the ranks of popularity that change keys each second; no clock: see `virtual.drift`",
    )
    value_bytes: int = schema.whole(400, 64, 60000, "of a value")
    room_skew: float = schema.number(0.0, 0, 0.9, "how much more the first room has than the mean")


@dataclass(slots=True)
class Clients:
    """How clients send it: the table `[clients]`."""

    retries: int = schema.whole(1, 0, 4, "further tries of a request that failed or was refused")
    backoff_ms: tuple[float, float] = schema.pair((30, 240), 0, 60000, "time before a further try")
    honour: float = schema.number(0.9, 0, 1, "part of the clients that heed `-BUSY MS`")
    give_up: tuple[float, float] = schema.pair((0.7, 1.0), 0.01, 1, "part of the deadline that a try waits")
    told: bool = schema.flag(False, "routers may say after how long to come back")
    most_wait_ms: float = schema.number(2000.0, 1, 60000, "the longest that they may say")
    impatient: float = schema.number(0.0, 0, 1, "part of the tries that leave early")
    connections: str = schema.text(
        "reused", "or a new one for each request, the old kept", ("reused", "kept")
    )
    resp3: float = schema.number(0.0, 0, 1, "part of the connections that speak RESP3")
    idle_s: float = schema.number(30.0, 0.1, 3600, "a client closes a connection idle for so long")
    most: int = schema.whole(
        2000, 1, 100000, "connections that the clients of a room hold; one that is idle goes first"
    )


@dataclass(slots=True)
class Front:
    """The front end, which spreads a room's clients over its routers: the table `[front]`."""

    notice_s: tuple[float, float] = schema.pair(
        (1.6, 3.9),
        0,
        600,
        "time until the front end gives a dead router no new connections; the list's is `discovery.notice_s`",
    )


@dataclass(slots=True)
class Discovery:
    """How late the endpoint list is: the table `[discovery]`."""

    notice_s: tuple[float, float] = schema.pair(
        (0.72, 3), 0, 600, "time until the list says that a node died; the front end's is `front.notice_s`"
    )
    drain_s: tuple[float, float] = schema.pair(
        (0.2, 1), 0, 600, "time until the list says that a node drains or retires"
    )
    add_s: tuple[float, float] = schema.pair((0.48, 1.8), 0, 600, "time until the list says that a node came")
    spread_ms: tuple[float, float] = schema.pair(
        (14, 110), 0, 60000, "further delay of the list, drawn for each router"
    )
    source: str = schema.text("agents", "the platform's agents, or a fake etcd", ("agents", "etcd"))


@dataclass(slots=True)
class Messages:
    """The network between routers: the table `[messages]`."""

    delay_ms: tuple[float, float] = schema.pair((1.2, 31), 0, 60000, "delay of a datagram between routers")
    loss: float = schema.number(0.0, 0, 1, "part of the datagrams that is lost")


@dataclass(slots=True)
class Virtual:
    """What a run in virtual time has besides: the table `[virtual]`."""

    core: float = schema.number(1.0, 0, 1000, "routers' cores are so many times as slow; 0: at no cost")
    chop: float = schema.number(0.0, 0, 1, "part of the writes that is cut in pieces at drawn places")
    way_ms: tuple[float, float] = schema.pair(
        (0.04, 0.04), 0.001, 10000, "time one way between two machines, drawn for each connection"
    )
    mb_s: float = schema.number(1000.0, 0.001, 1e6, "of a connection, each way")
    window_kb: float = schema.number(256.0, 1, 1e6, "that an end holds unread")
    drift: float = schema.number(
        0.0,
        0,
        0.05,
        "routers' clocks run faster or slower by up to this part; no change of keys: see `traffic.drift`",
    )
    wall_s: float = schema.number(0.0, 0, 1e6, "routers' wall clocks are off by up to so much")


@dataclass(slots=True)
class Expect:
    """What must hold besides the rules: the table `[expect]`."""

    service: float = schema.number(
        0.001, 0, 1, "the least service; a run in which nothing was served holds nothing"
    )
    score: float = schema.number(-10.0, -10, 1, "the least score")
    origin_stops: int = schema.whole(1000, 0, 1000, "how often the database stops at most")


class PlacedNode(NamedTuple):
    """A cache node of the scenario: its name, its class, and the room that it stands in."""

    uid: str
    node_class: NodeClass
    room: str


@dataclass(slots=True)
class Scenario:
    """A scenario: the whole file."""

    about: str = schema.text(schema.REQUIRED, "what it rehearses, in a sentence")
    must: str = schema.text(schema.REQUIRED, "what must hold, in a sentence")
    day: Day = schema.table(Day, "how long, and the routers' limits")
    fleet: Fleet = schema.table(Fleet, "rooms, routers and cache nodes")
    database: Database = schema.table(Database, "the order database")
    classes: list[WorkClass] = schema.tables(WorkClass, "classes of requests", _default_work_classes)
    customers: list[Customer] = schema.tables(Customer, "who shares the fleet", _default_customers)
    traffic: Traffic = schema.table(Traffic, "what clients send")
    clients: Clients = schema.table(Clients, "how they send it")
    front: Front = schema.table(Front, "spreads the clients of a room over its routers")
    discovery: Discovery = schema.table(Discovery, "how late the list is")
    messages: Messages = schema.table(Messages, "between routers")
    virtual: Virtual = schema.table(Virtual, "what a day in virtual time has besides")
    expect: Expect = schema.table(Expect, "what else must hold")
    faults: list[Fault] = schema.tables(Fault, "what goes wrong, and when")

    def nodes(self) -> list[PlacedNode]:
        """All cache nodes, dealt to the rooms in turn, so that each room has nodes of each class."""
        placed = []
        rooms = self.fleet.rooms
        node_classes = (one for one in self.fleet.nodes for _ in range(one.count))
        for number, node_class in enumerate(node_classes):
            room = rooms[number % len(rooms)]
            placed.append(PlacedNode(f"{room}-{number // len(rooms)}", node_class, room))
        return placed

    def whole_customer_share(self) -> float:
        """All customers' shares together; 1 where they are all 0."""
        whole_share = sum(customer.share for customer in self.customers)
        return whole_share if whole_share else 1.0

    def router_room(self, number: int) -> str:
        """The room of a router; routers are dealt to the rooms in turn."""
        return self.fleet.rooms[number % len(self.fleet.rooms)]


class ScenarioError(schema.TableError):
    """A scenario that is not found, or makes no sense; `lines` holds one problem each."""


def read_scenario(path: Path, changes: dict[str, object] | None = None) -> Scenario:
    """A scenario from a file, with changes by dotted key.

    Raises:
        TableError: the file is no TOML, or there is a line for each thing that is wrong with it.
    """
    source = schema.load(path)
    if changes is not None:
        for dotted_key, value in changes.items():
            table, _, key = dotted_key.rpartition(".")
            source.setdefault(table, {})[key] = value
    return scenario_of(source, path.name)


def scenario_of(source: Mapping[str, object], where: str) -> Scenario:
    """A scenario from a file's tables; `where` begins each problem's line.

    Raises:
        ScenarioError: with a line for each thing that is wrong.
    """
    problems: list[str] = []
    scenario = schema.read(Scenario, source, where, problems)
    if scenario is None:
        raise ScenarioError(problems)
    lines = _check_names(scenario) + _check_work(scenario) + _check_faults(scenario)
    if lines:
        raise ScenarioError([f"{where}: {line}" for line in lines])
    return scenario


def _check_names(scenario: Scenario) -> list[str]:
    """Lines for lists that are empty, name something twice, or take the database's name."""
    lines = []
    for key, names in (
        ("classes", [one.name for one in scenario.classes]),
        ("customers", [one.name for one in scenario.customers]),
        ("fleet.nodes", [one.name for one in scenario.fleet.nodes]),
    ):
        wrong = [name for name, count in Counter(names).items() if count > 1 or name == "database"]
        if wrong or not names:
            lines.append(f"{key} = {wrong}: allowed are different names, one at least")
    return lines


def _check_work(scenario: Scenario) -> list[str]:
    """Lines for classes that the protocol can't carry, and for traffic that can't come about."""
    lines = []
    for work_class in scenario.classes:
        # The protocol reads what is safe and writes what is keyed: routers reject all else.
        is_keyed = work_class.repeats == "keyed"
        if work_class.repeats != "unsafe" and work_class.write is not is_keyed:
            lines.append(
                f"classes.{work_class.name}.write = {str(work_class.write).lower()}: "
                f"allowed with repeats = {work_class.repeats!r} is {str(is_keyed).lower()}"
            )
    sending_classes = any(work_class.share for work_class in scenario.classes)
    sending_customers = any(customer.share * customer.usage for customer in scenario.customers)
    if not sending_classes or not sending_customers:
        lines.append("no class or no customer sends anything")
    clients = scenario.clients
    if clients.connections == "reused" and clients.most < scenario.fleet.routers:
        lines.append(f"clients.most = {clients.most}: allowed is one for each router at least")
    return lines


def _check_faults(scenario: Scenario) -> list[str]:
    """Lines for faults that make no sense, alone or together."""
    fleet = scenario.fleet
    nodes = [placed.uid for placed in scenario.nodes()]
    lines = check_faults(scenario.faults, fleet.rooms, nodes, fleet.routers, scenario.day.length_s)
    joining = {fault.node for fault in scenario.faults if fault.kind == "node-join"}
    if set(nodes) == joining:
        lines.append("all nodes join later: allowed is one at least that is there before")
    has_etcd_faults = any(fault.kind.startswith("etcd-") for fault in scenario.faults)
    if scenario.discovery.source != "etcd" and has_etcd_faults:
        lines.append("faults of etcd need discovery.source = 'etcd'")
    return lines


def shipped() -> dict[str, Path]:
    """The scenarios that the kit ships, by name."""
    folder = Path(str(resources.files("rainhitch.rehearsal"))) / "scenarios"
    return {path.stem: path for path in sorted(folder.glob("*.toml"))}


def find(name: str) -> Path:
    """The file of a shipped scenario, or the path itself.

    Raises:
        ScenarioError: it is neither.
    """
    known = shipped()
    if name in known:
        return known[name]
    path = Path(name)
    if path.suffix == ".toml" or path.exists():
        return path
    known_names = ", ".join(known)
    raise ScenarioError([f"{name}: no such scenario; shipped are {known_names}; or a file FILE.toml"])

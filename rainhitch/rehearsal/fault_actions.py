"""What each kind of fault does, to which component, and when: its fault actions.

One function a kind, found in `ACTIONS_BY_KIND`. Faults that only change what clients send (`hot-keys`,
`key-flood`, `surge`, `reconnect-storm`) have no actions: they stand in `planned_requests`.

Actions on routers are carried out by `router_faults.RouterFaults`, in the environment; all others by the
fakes, each of which acts on those of its own components.
"""

from collections.abc import Callable
from random import Random
from typing import Any

from rainhitch.rehearsal.faults import Fault
from rainhitch.rehearsal.plan_model import Command, Component, FaultAction, random_stream, to_microseconds
from rainhitch.rehearsal.scenario import Scenario

RETIRED_DRAIN_US = 2_000_000  # from the drain of a node that was retired to its end
RESTART_NOTICE_S = (
    0.2,
    0.4,
)  # from the start of a restart until the front end gives it no connections, drawn


class ActionMaker:
    """Makes the actions of one fault: it knows the fault's times, and what it acts on."""

    def __init__(self, scenario: Scenario, fault: Fault, number: int, random: Random) -> None:
        self.fault = fault
        self.number = number
        self.random = random
        self.begin_us = to_microseconds(fault.at_s)
        self.end_us = to_microseconds(fault.until_s)
        self.router_count = scenario.fleet.routers
        self.room_of_node = {placed.uid: placed.room for placed in scenario.nodes()}
        self.routers_of_room = [
            number for number in range(self.router_count) if scenario.router_room(number) == fault.room
        ]
        # Drawn for each kind of fault, also where it is not needed: a seed's other draws stand behind it.
        self.front_end_notice_us = to_microseconds(random.uniform(*scenario.front.notice_s))

    def at(
        self, at_us: int, component: Component, name: object, command: Command, **parameters: Any
    ) -> FaultAction:
        """One action at this time."""
        return FaultAction(at_us, component, name, command, self.number, parameters)

    def once(
        self, component: Component, name: object, command: Command, **parameters: Any
    ) -> list[FaultAction]:
        """One action when the fault begins."""
        return [self.at(self.begin_us, component, name, command, **parameters)]

    def during(
        self, component: Component, name: object, on: Command, off: Command, **parameters: Any
    ) -> list[FaultAction]:
        """An action when the fault begins, and one when it ends."""
        return [
            self.at(self.begin_us, component, name, on, **parameters),
            self.at(self.end_us, component, name, off, **parameters),
        ]

    @property
    def delay_us(self) -> int:
        """The delay that the fault makes."""
        return to_microseconds(self.fault.delay_s)

    @property
    def link(self) -> list[object]:
        """The link from the fault's router to its node, as the plan names it."""
        return [self.fault.router, self.fault.node]


ActionsOfFault = Callable[[ActionMaker], list[FaultAction]]


def draw_fault_actions(scenario: Scenario, seed: int) -> list[FaultAction]:
    """The actions of all faults, by time, then by fault."""
    actions = []
    for number, fault in enumerate(scenario.faults):
        random = random_stream(seed, "fault", fault.kind, fault.place, fault.at_s)
        actions += ACTIONS_BY_KIND[fault.kind](ActionMaker(scenario, fault, number, random))
    return sorted(actions, key=lambda action: (action.at_us, action.fault_number))


# Whole rooms


def _room_loss(make: ActionMaker) -> list[FaultAction]:
    """All nodes of a room are killed and started again, and, where the fault says so, its routers."""
    actions = []
    for uid, room in make.room_of_node.items():
        if room == make.fault.room:
            actions += make.during(Component.NODE, uid, Command.KILL, Command.START)
    if make.fault.routers:
        for router in make.routers_of_room:
            actions += _killed_router(make, router)
    return actions


def _partition(make: ActionMaker) -> list[FaultAction]:
    """A room is cut off: no link, gossip or endpoint list crosses its border."""
    actions = []
    for router in range(make.router_count):
        for uid, room in make.room_of_node.items():
            router_inside = router in make.routers_of_room
            node_inside = room == make.fault.room
            if router_inside != node_inside:
                actions += make.during(Component.LINK, [router, uid], Command.SILENCE, Command.HEAL)
    inside = make.routers_of_room
    actions += make.during(Component.GOSSIP, inside, Command.PARTITION, Command.HEAL)
    # Carried out by nobody: `endpoint_changes` has the effect in its times; it is in the plan for the record.
    actions += make.during(Component.ENDPOINT_LIST, inside, Command.HOLD, Command.RELEASE)
    return actions


# Nodes


def _node_kill(make: ActionMaker) -> list[FaultAction]:
    """A node is killed, and started again."""
    return make.during(Component.NODE, make.fault.node, Command.KILL, Command.START)


def _node_drain(make: ActionMaker) -> list[FaultAction]:
    """A node drains, ends, and starts again where the fault says after how long."""
    return [
        *make.once(Component.NODE, make.fault.node, Command.DRAIN),
        make.at(make.end_us, Component.NODE, make.fault.node, Command.KILL),
        *_node_start_after_absence(make),
    ]


def _node_upgrade(make: ActionMaker) -> list[FaultAction]:
    """As `_node_drain`; from its next start on the node speaks RESP3."""
    return [
        *make.once(Component.NODE, make.fault.node, Command.DRAIN),
        make.at(make.end_us, Component.NODE, make.fault.node, Command.KILL),
        make.at(make.end_us, Component.NODE, make.fault.node, Command.UPGRADE),
        *_node_start_after_absence(make),
    ]


def _node_start_after_absence(make: ActionMaker) -> list[FaultAction]:
    """The start of a node that was drained; none where it is gone for good."""
    if make.fault.away_s == 0:
        return []
    back_us = make.end_us + to_microseconds(make.fault.away_s)
    return [make.at(back_us, Component.NODE, make.fault.node, Command.START)]


def _node_join(make: ActionMaker) -> list[FaultAction]:
    """A node starts for the first time."""
    return make.once(Component.NODE, make.fault.node, Command.START)


def _node_retire(make: ActionMaker) -> list[FaultAction]:
    """A node retires: it is read from until it drains, then it ends."""
    node = make.fault.node
    return [
        *make.once(Component.NODE, node, Command.RETIRE),
        make.at(make.end_us, Component.NODE, node, Command.DRAIN),
        make.at(make.end_us + RETIRED_DRAIN_US, Component.NODE, node, Command.KILL),
    ]


def _node_silent(make: ActionMaker) -> list[FaultAction]:
    """The links of all routers to a node carry nothing."""
    actions = []
    for router in range(make.router_count):
        link = [router, make.fault.node]
        actions += make.during(Component.LINK, link, Command.SILENCE, Command.HEAL)
    return actions


def _node_spoil(make: ActionMaker) -> list[FaultAction]:
    """A part of a node's answers is corrupt."""
    return make.during(
        Component.NODE,
        make.fault.node,
        Command.CORRUPT,
        Command.CORRUPT_NO_MORE,
        share=make.fault.share,
    )


# Links between a router and a node


def _link_delay(make: ActionMaker) -> list[FaultAction]:
    """A link is slow."""
    return make.during(Component.LINK, make.link, Command.DELAY, Command.DELAY_NO_MORE, delay=make.delay_us)


def _link_silent(make: ActionMaker) -> list[FaultAction]:
    """A link carries nothing."""
    return make.during(Component.LINK, make.link, Command.SILENCE, Command.HEAL)


def _link_reset(make: ActionMaker) -> list[FaultAction]:
    """The connections of a link are reset."""
    return make.once(Component.LINK, make.link, Command.RESET)


# Routers


def _killed_router(make: ActionMaker, router: int) -> list[FaultAction]:
    """A router is killed, which the front end notices after a while, and started again."""
    return make.during(Component.ROUTER, router, Command.KILL, Command.START, notice=make.front_end_notice_us)


def _router_kill(make: ActionMaker) -> list[FaultAction]:
    """The fault's router is killed and started again."""
    return _killed_router(make, make.fault.router)


def _router_restart(make: ActionMaker) -> list[FaultAction]:
    """A router is asked to stop, and started again when it has ended."""
    notice_us = to_microseconds(make.random.uniform(*RESTART_NOTICE_S))
    # The plan's key for this is `accept`; a killed router has the same time under `notice`.
    return make.once(Component.ROUTER, make.fault.router, Command.RESTART, accept=notice_us)


def _router_reload(make: ActionMaker) -> list[FaultAction]:
    """A router reads its configuration again."""
    return make.once(Component.ROUTER, make.fault.router, Command.RELOAD)


def _router_pause(make: ActionMaker) -> list[FaultAction]:
    """A router's process stands still."""
    return make.during(Component.ROUTER, make.fault.router, Command.PAUSE, Command.RESUME)


# Gossip between routers


def _routers_apart(make: ActionMaker) -> list[FaultAction]:
    """Gossip does not pass between a group of routers and the others, or only one way."""
    group = sorted(set(make.fault.group))
    return make.during(Component.GOSSIP, group, Command.PARTITION, Command.HEAL, oneway=make.fault.oneway)


def _messages_lost(make: ActionMaker) -> list[FaultAction]:
    """A part of the gossip is lost."""
    return make.during(Component.GOSSIP, [], Command.LOSE, Command.LOSE_NO_MORE, share=make.fault.share)


def _messages_late(make: ActionMaker) -> list[FaultAction]:
    """Gossip is late."""
    return make.during(Component.GOSSIP, [], Command.DELAY, Command.DELAY_NO_MORE, delay=make.delay_us)


def _messages_doubled(make: ActionMaker) -> list[FaultAction]:
    """A part of the gossip comes twice."""
    return make.during(
        Component.GOSSIP, [], Command.DUPLICATE, Command.DUPLICATE_NO_MORE, share=make.fault.share
    )


def _messages_shuffled(make: ActionMaker) -> list[FaultAction]:
    """Gossip comes in another order, late by up to the fault's delay."""
    return make.during(Component.GOSSIP, [], Command.REORDER, Command.REORDER_NO_MORE, delay=make.delay_us)


# The endpoint list and its sources


def _list_late(make: ActionMaker) -> list[FaultAction]:
    """The endpoint list is late."""
    # Carried out by nobody: `endpoint_changes` has the effect in its times; it is in the plan for the record.
    return make.during(Component.ENDPOINT_LIST, [], Command.LATE, Command.ON_TIME, delay=make.delay_us)


def _list_silent(make: ActionMaker) -> list[FaultAction]:
    """Discovery does not answer."""
    return make.during(Component.ENDPOINT_LIST, [], Command.SILENCE, Command.SPEAK)


def _etcd_drop(make: ActionMaker) -> list[FaultAction]:
    """Every watch stream of etcd ends."""
    return make.once(Component.ETCD, "", Command.DROP)


def _etcd_compact(make: ActionMaker) -> list[FaultAction]:
    """Etcd compacts its history and ends every watch stream.

    A watch that begins again at an old revision is cancelled.
    """
    return make.once(Component.ETCD, "", Command.COMPACT)


def _etcd_silent(make: ActionMaker) -> list[FaultAction]:
    """Etcd accepts calls and answers none until the fault ends."""
    return make.during(Component.ETCD, "", Command.SILENCE, Command.SPEAK)


def _etcd_outage(make: ActionMaker) -> list[FaultAction]:
    """Every call to etcd fails as unavailable, and every watch stream ends."""
    return make.during(Component.ETCD, "", Command.UNAVAILABLE, Command.AVAILABLE)


def _etcd_delay(make: ActionMaker) -> list[FaultAction]:
    """Every answer of etcd is late."""
    return make.during(Component.ETCD, "", Command.DELAY, Command.ON_TIME, delay=make.delay_us)


# The database and the clients


def _database_slow(make: ActionMaker) -> list[FaultAction]:
    """The database is slower by a factor."""
    return make.during(Component.DATABASE, "", Command.SLOW, Command.SLOW_NO_MORE, factor=make.fault.factor)


def _database_stop(make: ActionMaker) -> list[FaultAction]:
    """The database stops: it resets its connections and refuses new ones."""
    return make.during(Component.DATABASE, "", Command.STOP, Command.STOP_NO_MORE)


def _clients_upgrade(make: ActionMaker) -> list[FaultAction]:
    """A part of the clients' new connections speaks RESP3 from now on."""
    return make.once(Component.CLIENTS, "", Command.UPGRADE, share=make.fault.share)


def _changes_requests_only(make: ActionMaker) -> list[FaultAction]:
    """No action: the fault is in what clients send."""
    return []


ACTIONS_BY_KIND: dict[str, ActionsOfFault] = {
    "room-loss": _room_loss,
    "partition": _partition,
    "hot-keys": _changes_requests_only,
    "key-flood": _changes_requests_only,
    "list-late": _list_late,
    "list-silent": _list_silent,
    "messages-lost": _messages_lost,
    "messages-late": _messages_late,
    "messages-doubled": _messages_doubled,
    "messages-shuffled": _messages_shuffled,
    "routers-apart": _routers_apart,
    "database-slow": _database_slow,
    "database-stop": _database_stop,
    "node-kill": _node_kill,
    "node-drain": _node_drain,
    "node-join": _node_join,
    "node-retire": _node_retire,
    "node-upgrade": _node_upgrade,
    "clients-upgrade": _clients_upgrade,
    "node-silent": _node_silent,
    "node-spoil": _node_spoil,
    "link-delay": _link_delay,
    "link-silent": _link_silent,
    "link-reset": _link_reset,
    "router-kill": _router_kill,
    "router-restart": _router_restart,
    "router-reload": _router_reload,
    "router-pause": _router_pause,
    "surge": _changes_requests_only,
    "reconnect-storm": _changes_requests_only,
    "etcd-drop": _etcd_drop,
    "etcd-compact": _etcd_compact,
    "etcd-silent": _etcd_silent,
    "etcd-outage": _etcd_outage,
    "etcd-delay": _etcd_delay,
}

"""What the endpoint list says of each node over a run, and when each router gets it."""

from collections.abc import Iterator
from dataclasses import dataclass

from rainhitch.rehearsal.faults import Fault
from rainhitch.rehearsal.plan_model import (
    Command,
    Component,
    EndpointChange,
    FaultAction,
    random_stream,
    to_microseconds,
)
from rainhitch.rehearsal.scenario import Scenario

MILLISECONDS_PER_SECOND = 1000
AFTER_PARTITION_US = 100_000  # a router that was cut off gets the list so long after the partition's end


@dataclass(frozen=True, slots=True)
class ListedChange:
    """What the list says after an action on a node."""

    state: str  # the platform's word
    delay_s: tuple[float, float]  # from the action until discovery has it, drawn from this range


def draw_endpoint_changes(scenario: Scenario, seed: int, actions: list[FaultAction]) -> list[EndpointChange]:
    """The changes of the list that the actions on nodes cause, by time, router and node.

    A change is late by what discovery needs to notice it, by each router's own spread, by a fault
    `list-late`, and for a router that is cut off, until the partition is over.
    """
    discovery = scenario.discovery
    listed = {
        Command.KILL: ListedChange("Gone", discovery.notice_s),
        Command.DRAIN: ListedChange("Terminating", discovery.drain_s),
        Command.RETIRE: ListedChange("Retiring", discovery.drain_s),
        Command.START: ListedChange("Ready", discovery.add_s),
    }
    late_lists = [fault for fault in scenario.faults if fault.kind == "list-late"]
    partitions = [fault for fault in scenario.faults if fault.kind == "partition"]
    changes = []
    for action in actions:
        if action.component is not Component.NODE or action.command not in listed:
            continue
        change = listed[action.command]
        random = random_stream(seed, "list", action.name, action.command, action.at_us)
        noticed_us = action.at_us + to_microseconds(random.uniform(*change.delay_s))
        started_us = action.at_us if action.command is Command.START else 0
        for router in range(scenario.fleet.routers):
            spread_ms = random.uniform(*discovery.spread_ms)
            at_us = noticed_us + to_microseconds(spread_ms / MILLISECONDS_PER_SECOND)
            at_us += max((to_microseconds(fault.delay_s) for fault in _acting(late_lists, at_us)), default=0)
            at_us = _after_partitions(partitions, scenario.router_room(router), at_us)
            changes.append(EndpointChange(at_us, router, str(action.name), change.state, started_us))
    return sorted(changes, key=lambda change: (change.at, change.router, change.node))


def _acting(faults: list[Fault], at_us: int) -> Iterator[Fault]:
    """The faults that act at this instant."""
    for fault in faults:
        if to_microseconds(fault.at_s) <= at_us < to_microseconds(fault.until_s):
            yield fault


def _after_partitions(partitions: list[Fault], room: str, at_us: int) -> int:
    """When a router of this room gets what others get at `at_us`; partitions in the order of the file."""
    for partition in partitions:
        if partition.room == room and any(_acting([partition], at_us)):
            at_us = to_microseconds(partition.until_s) + AFTER_PARTITION_US
    return at_us

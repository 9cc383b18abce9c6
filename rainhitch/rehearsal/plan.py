"""Draws the plan of a run from a scenario and a seed: all that will happen, but for what the routers do.

The parts stand in modules of their own: the types and the digest in `plan_model`, what clients send in
`planned_requests`, what each fault does and when in `fault_actions`, what the endpoint list says of it in
`endpoint_changes`.
"""

from rainhitch.rehearsal.endpoint_changes import draw_endpoint_changes
from rainhitch.rehearsal.fault_actions import draw_fault_actions
from rainhitch.rehearsal.plan_model import (
    MICROSECONDS_PER_MILLISECOND,
    MICROSECONDS_PER_SECOND,
    EndpointChange,
    Json,
    Plan,
    PlannedRequest,
    PlannedTry,
    random_stream,
    to_microseconds,
)
from rainhitch.rehearsal.planned_requests import KeyPopularity, draw_prelude, draw_requests
from rainhitch.rehearsal.scenario import PlacedNode, Scenario

__all__ = [
    "MICROSECONDS_PER_SECOND",
    "EndpointChange",
    "Plan",
    "PlannedRequest",
    "PlannedTry",
    "draw_plan",
    "random_stream",
    "to_microseconds",
]

SPEED_DIGITS = 4  # of a node's speed in the plan


def draw_plan(scenario: Scenario, name: str, seed: int) -> Plan:
    """The plan that a seed gives for the scenario `name`; the same three give the same plan."""
    join_times_us = {
        fault.node: to_microseconds(fault.at_s) for fault in scenario.faults if fault.kind == "node-join"
    }
    nodes = _draw_nodes(scenario, seed, join_times_us)
    plan = Plan(
        seed=seed,
        scenario=name,
        rooms=list(scenario.fleet.rooms),
        nodes=nodes,
        routers=[{"room": scenario.router_room(number)} for number in range(scenario.fleet.routers)],
        warm=[],
    )
    keys = KeyPopularity(scenario, seed)
    cached_keys = scenario.fleet.memory_keys * (len(nodes) - len(join_times_us))
    warm_keys = min(cached_keys, scenario.traffic.keys)
    plan.warm = [keys.key_name(rank) for rank in reversed(range(warm_keys))]
    plan.asks = draw_prelude(scenario, seed, plan.warm) + draw_requests(scenario, seed, keys)
    actions = draw_fault_actions(scenario, seed)
    plan.cues = [action.to_row() for action in actions]
    plan.changes = draw_endpoint_changes(scenario, seed, actions)
    return plan


def _draw_nodes(scenario: Scenario, seed: int, join_times_us: dict[str, int]) -> list[Json]:
    """The rows of all cache nodes; one that joins later has the time at which it does."""
    nodes = [_draw_node(scenario, seed, placed) for placed in scenario.nodes()]
    if scenario.fleet.resp3:
        for node in nodes[: round(len(nodes) * scenario.fleet.resp3)]:
            node["resp3"] = True
    for node in nodes:
        if node["uid"] in join_times_us:
            node["joins"] = join_times_us[node["uid"]]
    return nodes


def _draw_node(scenario: Scenario, seed: int, placed: PlacedNode) -> Json:
    """The row of one cache node: its size, and the speed and costs drawn for it."""
    random = random_stream(seed, "node", placed.uid)
    node_class = placed.node_class
    fleet = scenario.fleet
    speed = round(random.uniform(*node_class.speed), SPEED_DIGITS)
    connection_ms = random.uniform(*fleet.connection_ms)
    probe_ms = random.uniform(*fleet.probe_ms)
    return {
        "uid": placed.uid,
        "class": node_class.name,
        "room": placed.room,
        "cores": node_class.cores,
        "speed": speed,
        "slots": node_class.cores * node_class.slots_per_core,
        "queue": round(node_class.cores * node_class.queue_per_core),
        "table": round(node_class.cores * node_class.table_per_core),
        "connection_us": round(MICROSECONDS_PER_MILLISECOND * connection_ms),
        "probe_us": round(MICROSECONDS_PER_MILLISECOND * probe_ms),
    }

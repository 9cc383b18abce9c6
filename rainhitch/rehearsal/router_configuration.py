"""The configuration file and the operator's file of a router of a run."""

from dataclasses import dataclass
from typing import Any

from rainhitch.rehearsal.router_settings import router_settings
from rainhitch.rehearsal.scenario import Scenario

Json = dict[str, Any]
SEED_MASK = (1 << 63) - 1  # seeds of routers are 63 bits
SEEDS_PER_PLAN = 1000


@dataclass(frozen=True, slots=True)
class RouterIdentity:
    """Which router of a run it is, and where it listens."""

    number: int
    plan_seed: int
    listen_port: int
    peer_port: int

    @property
    def seed(self) -> int:
        """Its own seed."""
        return (self.plan_seed * SEEDS_PER_PLAN + self.number) & SEED_MASK


def router_configuration(scenario: Scenario, identity: RouterIdentity, agent: Json, peers: list[str]) -> Json:
    """The configuration file of a router.

    `agent` is the row of its discovery agent: the address, and the list that is known at the start. `peers`
    are the addresses of the other routers; the last one reaches all of them at once.
    """
    day = scenario.day
    return {
        "name": f"router-{identity.number}",
        "listen": f"127.0.0.1:{identity.listen_port}",
        "discovery": agent["agent"],
        "seed": f"{identity.seed:016x}",
        "limits": {"cores": 1.0, "memory_mb": day.memory_mb, "sockets": day.sockets},
        "peer_listen": f"127.0.0.1:{identity.peer_port}",
        "peers": peers[:-1],
        "peers_all": peers[-1],
        "known": agent["known"],
        "settings": router_settings(scenario, identity.number),
    }


def operator_config_of_scenario(scenario: Scenario, number: int, agent: Json) -> str:
    """What a scenario needs in the operator's file of a router; "" for nothing."""
    text = ""
    if "etcd" in agent:
        text += f'[membership]\nsource = "etcd"\nendpoints = ["{agent["etcd"]}"]\n'
        text += f'prefix = "/rainhitch/members/{number}/"\n'
    upgrades_nodes = any(fault.kind == "node-upgrade" for fault in scenario.faults)
    if scenario.fleet.resp3 or upgrades_nodes:
        text += "[servers]\nresp3 = true\n"
    return text

"""Which worker a role names: `nodes:ZONE`, `centre` (shared services) or `clients:ZONE`, zones by number."""

from pathlib import Path

import orjson

from rainhitch.rehearsal.fakes.cache_node_worker import CacheNodeWorker
from rainhitch.rehearsal.fakes.client_worker import ClientWorker
from rainhitch.rehearsal.fakes.shared_services_worker import SharedServicesWorker
from rainhitch.rehearsal.fakes.worker import Worker
from rainhitch.rehearsal.fakes.worker_messages import Json


def make_worker(role: str, folder: Path) -> Worker:
    """The worker of a role, on the running loop, with the run's inputs from its folder."""
    inputs: Json = orjson.loads((folder / "plan.json").read_bytes())
    name, _, zone = role.partition(":")
    if name == "nodes":
        return CacheNodeWorker(folder, inputs, int(zone))
    if name == "clients":
        inputs["addresses"] = orjson.loads((folder / "addresses.json").read_bytes())
        return ClientWorker(folder, inputs, int(zone))
    return SharedServicesWorker(folder, inputs)

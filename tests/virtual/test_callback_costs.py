"""Callbacks of virtual time: their costs depend on the qualified name of the function that is called.

Guards against a rename that silently changes every virtual run: a function that is renamed, or a new one with
such a name, changes the cost of a callback, and nothing fails.
"""

import ast
import asyncio
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from python_source import parsed

from rainhitch.node.client_connection import ClientConnection
from rainhitch.node.upstream_connection import UpstreamConnection
from rainhitch.rehearsal.virtual.costs import callback_kind
from rainhitch.rehearsal.virtual.datagrams import VirtualDatagramTransport
from rainhitch.rehearsal.virtual.listener import VirtualServer
from rainhitch.rehearsal.virtual.transport import VirtualTransport

PACKAGE = Path(__file__).parents[2] / "rainhitch"
# Modules whose callbacks run in virtual time, by the first folder in the package.
NOT_IN_VIRTUAL_TIME = ("cli", "admin")
SIGNIFICANT_ENDINGS = ("._deliver", "data_received", "._read_datagram", ".connection_made", "._accept_turn")
FUNCTIONS_WITH_SIGNIFICANT_NAMES = {
    "fleet/gossip_transport.py GossipTransport.connection_made",
    "node/client_connection.py ClientConnection.connection_made",
    "node/client_connection.py ClientConnection.data_received",
    "node/discovery_watch.py _DiscoveryConnection.connection_made",
    "node/discovery_watch.py _DiscoveryConnection.data_received",
    "node/rejected_connection.py RejectedConnection.data_received",
    "node/resp3_cache_connection.py Resp3CacheConnection.data_received",
    "node/upstream_connection.py UpstreamConnection.connection_made",
    "node/upstream_connection.py UpstreamConnection.data_received",
    "rehearsal/fakes/cache_node_connection.py CacheNodeConnection.connection_made",
    "rehearsal/fakes/client_connection.py ClientConnection.connection_made",
    "rehearsal/fakes/client_connection.py ClientConnection.data_received",
    "rehearsal/fakes/datagrams.py DatagramRelay._deliver",
    "rehearsal/fakes/link.py LinkConnection.connection_made",
    "rehearsal/fakes/link.py LinkConnection.data_received",
    "rehearsal/fakes/worker.py Worker._task_done",
    "rehearsal/virtual/datagrams.py VirtualDatagramTransport._read_datagram",
    "rehearsal/virtual/environment.py end_remaining_tasks",
    "rehearsal/virtual/listener.py VirtualServer._accept_turn",
    "rehearsal/virtual/loop.py _make_task",
    "rehearsal/virtual/transport.py VirtualTransport._deliver",
}


@pytest.mark.parametrize(
    ("function", "kind"),
    [
        (VirtualTransport._deliver, "data"),
        (ClientConnection.data_received, "data"),
        (UpstreamConnection.data_received, "data"),
        (VirtualDatagramTransport._read_datagram, "datagram"),
        (ClientConnection.connection_made, "connect"),
        (UpstreamConnection.connection_made, "connect"),
        (VirtualServer._accept_turn, "connect"),
    ],
)
async def test_a_function_keeps_the_cost_of_its_kind(function: Callable[..., Any], kind: str) -> None:
    assert callback_kind(asyncio.Handle(function, (), asyncio.get_running_loop())) == kind


async def test_the_step_of_a_task_has_the_cost_of_a_task() -> None:
    async def nothing() -> None:
        pass

    task = asyncio.tasks._PyTask(nothing())  # type: ignore[attr-defined]
    assert callback_kind(asyncio.Handle(task._Task__step, (), asyncio.get_running_loop())) == "task"
    await task


def qualified_names(body: list[ast.stmt], prefix: str = "") -> Iterator[str]:
    """Yields the qualified name of each function, those within classes and functions among them."""
    for node in body:
        if isinstance(node, ast.ClassDef):
            yield from qualified_names(node.body, f"{prefix}{node.name}.")
        elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            name = f"{prefix}{node.name}"
            yield name
            yield from qualified_names(node.body, f"{name}.<locals>.")


def test_no_other_function_has_a_name_that_sets_its_cost() -> None:
    found = set()
    for path in sorted(PACKAGE.rglob("*.py")):
        file = path.relative_to(PACKAGE)
        if file.parts[0] in NOT_IN_VIRTUAL_TIME:
            continue
        for name in qualified_names(parsed(path).body):
            if name.endswith(SIGNIFICANT_ENDINGS) or "task" in name or "Task" in name:
                found.add(f"{file} {name}")
    assert found == FUNCTIONS_WITH_SIGNIFICANT_NAMES

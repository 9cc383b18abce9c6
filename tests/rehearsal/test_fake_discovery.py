"""Fake discovery: lists, watches and its fault, seen from a raw socket."""

from typing import Any

import orjson
from peers import wait_until
from raw_connection import RawConnection, connect

from rainhitch.rehearsal.fakes.discovery import DiscoveryAgent


def entry(uid: str, state: str = "Ready") -> dict[str, Any]:
    """An entry of the list, in the form of the API."""
    return {"uid": uid, "endpoint": "127.0.0.1:1", "state": state, "boot_ms": 0}


async def listed(connection: RawConnection) -> Any:
    """The list in the response that comes next."""
    head, _, body = (await connection.read()).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    return orjson.loads(body)


async def test_the_agent_gives_the_list_and_holds_a_watch_until_something_changes() -> None:
    agent = DiscoveryAgent(0, [entry("a"), entry("b")])
    connection = await connect(agent.endpoint)
    connection.send("GET /api/targets HTTP/1.1\r\nHost: x\r\n\r\n")
    whole = await listed(connection)
    assert whole["all"] and [one["uid"] for one in whole["targets"]] == ["a", "b"]
    connection.send(f"GET /api/targets?from={whole['rev']}&hold_ms=60000 HTTP/1.1\r\nHost: x\r\n\r\n")
    assert await connection.silent()
    agent.push(entry("b", "Terminating"))
    change = await listed(connection)
    assert not change["all"] and [one["state"] for one in change["targets"]] == ["Terminating"]
    connection.send(f"GET /api/targets?from={change['rev']}&hold_ms=50 HTTP/1.1\r\nHost: x\r\n\r\n")
    assert (await listed(connection))["targets"] == []
    states = [(row["node"], row["state"]) for row in agent.rows if row["node"]]
    assert states == [("a", "Ready"), ("b", "Ready"), ("b", "Terminating")]
    agent.close()


async def test_a_silent_agent_answers_nothing_and_records_nothing() -> None:
    """Discovery is down while the list changes.

    Requests and held watches get no answer, and nothing is recorded as sent. Once it is up, the change is
    in the list.
    """
    agent = DiscoveryAgent(0, [entry("a")])
    connection = await connect(agent.endpoint)
    connection.send("GET /api/targets?from=1&hold_ms=60000 HTTP/1.1\r\nHost: x\r\n\r\n")
    await wait_until(lambda: agent.watches)
    agent.set_silent(True)
    agent.push(entry("a", "Gone"))
    other = await connect(agent.endpoint)
    other.send("GET /api/targets HTTP/1.1\r\nHost: x\r\n\r\n")
    assert await connection.silent() and await other.silent() and not agent.rows
    agent.set_silent(False)
    again = await connect(agent.endpoint)
    again.send("GET /api/targets HTTP/1.1\r\nHost: x\r\n\r\n")
    assert (await listed(again))["targets"] == []  # who is gone is not on a whole list
    agent.close()

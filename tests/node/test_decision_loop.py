"""The order in which events reach the decisions after a pause of the process."""

import asyncio
from typing import Any

import pytest
from peers import hit, router, wait_until

from rainhitch import interface as api
from rainhitch.node.decision_loop import without_withdrawn


def request(request_id: str) -> api.Request:
    """A request that arrives."""
    return api.Request(request_id, 0, 1, "k", False, 0)


def test_a_request_that_is_withdrawn_before_it_is_decided_is_left_out() -> None:
    kept = request("kept")
    events: list[api.Event] = [request("gone"), kept, api.ClientGone("gone"), api.ClientGone("earlier")]
    assert without_withdrawn(events) == [kept, api.ClientGone("earlier")]


def test_an_id_that_comes_again_behind_its_withdrawal_is_kept() -> None:
    again = request("a")
    assert without_withdrawn([api.ClientGone("a"), again]) == [api.ClientGone("a"), again]
    assert without_withdrawn([request("a"), api.ClientGone("a"), again]) == [again]


async def test_clients_that_leave_in_a_pause_leave_no_attempt_in_flight() -> None:
    """A router that had been paused while clients left rejected all reads from then on, with idle servers.

    The withdrawals were handled before the requests: each started an attempt whose end nobody reported.
    """
    async with router(lambda asked, line: hit()) as bench:
        leaving = [await bench.caller() for _ in range(8)]
        patient = await bench.caller()
        await wait_until(lambda: len(bench.clients.connections) == 9)
        loop = bench.driver.decision_loop
        loop._settling = True  # as after a pause, until the sockets have been read
        for number, caller in enumerate(leaving):
            caller.get(name=b"leaves%d" % number)
        await wait_until(lambda: len(bench.driver.requests) == 8)
        for caller in leaving:
            caller.writer.transport.abort()
        await wait_until(lambda: len(bench.clients.connections) == 1)
        loop._settle()
        servers = bench.driver.balancer.servers.servers.values()
        assert not any(server.in_flight for server in servers) and not bench.driver.balancer.requests
        patient.get(name=b"stays")
        assert await patient.answer() == b"v"
        assert [asked[2] for asked in bench.cache.received] == [b"stays"]


async def test_an_attempt_for_a_request_that_is_over_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    """Whatever leads to it: an attempt that nobody ends counts against its server for good."""
    async with router() as bench:
        driver = bench.driver
        carry_out = driver.decision_loop.carry_out

        def lose_request(action: api.Action) -> None:
            if isinstance(action, api.StartAttempt):
                driver.requests.pop(action.id)
            carry_out(action)

        monkeypatch.setattr(driver.decision_loop, "carry_out", lose_request)
        caller = await bench.caller()
        caller.get(name=b"lost")
        await wait_until(lambda: driver.metrics.in_flight)
        await asyncio.sleep(0)
        servers: Any = driver.balancer.servers.servers.values()
        assert not any(server.in_flight for server in servers)

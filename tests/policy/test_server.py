"""Probes of an overloaded server by all routers together."""

import pytest
from support import MILLI, SECOND, Router, fleet, settings

from rainhitch import interface as api
from rainhitch.interface import AttemptStatus


@pytest.mark.parametrize("routers", [1, 60])
def test_all_routers_together_send_an_overloaded_server_one_probe_per_latency(
    routers: int,
) -> None:
    """Guards against probes that keep a server overloaded.

    Each of sixty routers sent an overloaded server one probe per latency. That was a third of the requests
    to such servers, and kept them overloaded. All routers share one probe per latency, also while gossip
    arrives.
    """
    router = Router(settings(gossip_interval_ns=200 * MILLI, router_count=routers), fleet(1))
    server = router.balancer.servers.servers["c0"]
    server.latency.unloaded_ns, server.latency.average_ns, server.latency.updated_at_ns = (
        SECOND / 10,
        2 * SECOND,
        router.now,
    )
    probes = 0
    for _ in range(300):
        router.wait(200 * MILLI)
        router.handle(api.GossipReceived([api.LatencyObservation("c0", 2 * SECOND)]))
        _, actions = router.request("k")
        for send in actions:
            if isinstance(send, api.StartAttempt):
                probes += 1
                router.now += 1
                server.is_probing = False
                router.handle(api.AttemptFinished(send.id, 0, send.server, AttemptStatus.ABANDONED, False, 1))
    assert (20 if routers == 1 else 1) <= probes <= (60 if routers == 1 else 10)

"""Updates of a server's state from the outcomes of attempts."""

from support import MILLI, SECOND, Router, fleet, settings

from rainhitch import interface as api
from rainhitch.interface import AttemptStatus


def test_a_full_connection_table_is_not_overload_and_another_server_is_tried() -> None:
    """Guards against a full connection table being treated as overload.

    The servers' connection tables were smaller than the number of routers. Each rejected new connection made
    the server look overloaded to all routers, and after two of them a request was rejected while servers were
    idle. Such a rejection must not change latency or gossip, and the request tries the next server.
    """
    router = Router(settings(gossip_interval_ns=SECOND), fleet(6))
    _, (send,) = router.request("k")
    tried = set()
    for attempt in range(3):
        assert isinstance(send, api.StartAttempt)
        tried.add(send.server)
        before = router.balancer.servers.servers[send.server].latency.average_ns
        (send,) = router.end_attempt(send, AttemptStatus.FULL, attempt, 2 * MILLI, reused=False)
        assert all(router.balancer.servers.servers[name].latency.average_ns <= before for name in tried)
    assert len(tried) == 3
    router.end_attempt(send, AttemptStatus.OK, 3, 80 * MILLI)
    published = [action for action in router.wait(3 * SECOND) if isinstance(action, api.PublishGossip)]
    assert [seen.server for report in published for seen in report.observations] == [send.server]  # type: ignore[union-attr]


def test_a_full_queue_is_overload() -> None:
    router = Router()
    _, (send,) = router.request("k")
    assert isinstance(send, api.StartAttempt)
    before = router.balancer.servers.servers[send.server].latency.average_ns
    router.end_attempt(send, AttemptStatus.FULL)
    assert router.balancer.servers.servers[send.server].latency.average_ns > 3 / 2 * before

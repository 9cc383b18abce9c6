"""Expected latency of a server whose queue drains without answers, or persists."""

from support import MILLI, SECOND, START

from rainhitch import interface as api
from rainhitch.policy.latency_estimator import LatencyEstimator
from rainhitch.policy.server import Server


def queueing(in_flight: int = 0) -> Server:
    """Returns a server with a latency of 700 ms at its last answer and an unloaded latency of 100 ms."""
    latency = LatencyEstimator(0.7 * SECOND, SECOND / 10, START, 1.0 + in_flight)
    return Server(api.Endpoint("c"), latency, in_flight=in_flight, last_sent_at_ns=START)


def test_a_queue_is_forgotten_as_it_drains() -> None:
    """Guards against an idle server that counts as slow.

    A fleet collapsed while it was idle: each server's last answer was slow, so it got no more requests and
    stayed slow for all routers. A queue without new load must be forgotten as it drains.
    """
    assert not queueing().admits_or_starts_probe(START + SECOND // 10, SECOND, 4, 1, 1)
    assert queueing().admits_or_starts_probe(START + SECOND, SECOND, 4, 1, 1)
    assert not queueing().is_probing, "a server with capacity must not be probed"


def test_a_queue_is_forgotten_more_slowly_while_the_load_of_other_routers_is_unknown() -> None:
    assert not queueing(in_flight=1).admits_or_starts_probe(START + SECOND, SECOND, 4, 60, 60)
    assert queueing(in_flight=1).admits_or_starts_probe(START + 60 * SECOND, SECOND, 4, 60, 60)


def test_a_server_whose_unloaded_latency_is_unknown_keeps_its_average() -> None:
    server = Server(api.Endpoint("c"), LatencyEstimator(0.7 * SECOND, updated_at_ns=START))
    assert server.expected_latency_ns(START + 60 * SECOND, 1) == 0.7 * SECOND


def test_a_fast_answer_after_a_long_silence_is_added_to_the_rest_of_the_queue() -> None:
    """Guards against an average that includes a queue that has drained.

    A fast answer after a long time without answers changed the average only a little, although the queue had
    drained. The drained part must be subtracted before the answer is added.
    """
    server = queueing()
    server.latency.record_latency(START + 10 * SECOND, 2 * SECOND, SECOND // 10, 1)
    assert server.latency.average_ns < 0.11 * SECOND


def test_a_lasting_queue_is_not_forgotten_between_frequent_answers() -> None:
    """Guards against a lasting queue that is forgotten bit by bit between answers.

    With ten answers per second a third of the queue was ignored. Only an interval without answers that is
    longer than the latency may shorten a queue.
    """
    server = queueing()
    for step in range(1, 200):
        server.latency.record_latency(START + step * 100 * MILLI, 2 * SECOND, 700 * MILLI, 1)
    assert server.latency.average_ns > 0.69 * SECOND

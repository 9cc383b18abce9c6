"""The answer time to expect of a server whose queue drains unseen, or stays."""

from support import MILLI, SECOND, START

from rainhitch import interface as api
from rainhitch.policy.latency_estimator import LatencyEstimator
from rainhitch.policy.server import Server


def queueing(in_flight: int = 0) -> Server:
    """A server that took 700 ms when it last answered, and 100 ms when it was uncrowded."""
    latency = LatencyEstimator(0.7 * SECOND, SECOND / 10, START, 1.0 + in_flight)
    return Server(api.Endpoint("c"), latency, in_flight=in_flight, last_sent_at_ns=START)


def test_a_queue_is_forgotten_in_the_time_in_which_it_drains() -> None:
    """An idle fleet collapsed.

    Each server's last answer was slow, nobody asked it again, and so it stayed slow for all routers. A queue
    that nobody adds to has to be forgotten as it drains.
    """
    assert not queueing().admits_or_starts_probe(START + SECOND // 10, SECOND, 4, 1, 1)
    assert queueing().admits_or_starts_probe(START + SECOND, SECOND, 4, 1, 1)
    assert not queueing().is_probing, "it has capacity, and is not probed"


def test_a_queue_is_forgotten_more_slowly_where_routers_that_are_not_heard_of_may_add_to_it() -> None:
    assert not queueing(in_flight=1).admits_or_starts_probe(START + SECOND, SECOND, 4, 60, 60)
    assert queueing(in_flight=1).admits_or_starts_probe(START + 60 * SECOND, SECOND, 4, 60, 60)


def test_a_server_whose_uncrowded_answer_time_is_unknown_keeps_its_average() -> None:
    one = Server(api.Endpoint("c"), LatencyEstimator(0.7 * SECOND, updated_at_ns=START))
    assert one.expected_latency_ns(START + 60 * SECOND, 1) == 0.7 * SECOND


def test_a_quick_answer_after_a_long_silence_is_added_to_what_is_left_of_the_queue() -> None:
    """One quick answer after a long silence changed the average little, though the queue was long gone.

    What has drained has to be left out first.
    """
    one = queueing()
    one.latency.record_latency(START + 10 * SECOND, 2 * SECOND, SECOND // 10, 1)
    assert one.latency.average_ns < 0.11 * SECOND


def test_a_lasting_queue_is_not_forgotten_between_frequent_answers() -> None:
    """A bit of a lasting queue was forgotten between any two answers.

    Ten answers a second left a third of it unseen. Only a silence longer than an answer time may shorten a
    queue.
    """
    one = queueing()
    for step in range(1, 200):
        one.latency.record_latency(START + step * 100 * MILLI, 2 * SECOND, 700 * MILLI, 1)
    assert one.latency.average_ns > 0.69 * SECOND

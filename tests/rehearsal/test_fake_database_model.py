"""What the fake database decides: which writes are repeats, and when it is overloaded; without sockets."""

from rainhitch.rehearsal.fakes.database_model import (
    IDEMPOTENCY_WINDOW_NS,
    IdempotencyWindow,
    OverloadDetector,
)

SECOND_NS = 1_000_000_000


def test_a_write_is_a_repeat_within_the_window_that_begins_with_the_first() -> None:
    repeats = IdempotencyWindow()
    assert repeats.register(0, "a") and not repeats.register(IDEMPOTENCY_WINDOW_NS - 1, "a")
    assert repeats.register(IDEMPOTENCY_WINDOW_NS, "a") and repeats.register(IDEMPOTENCY_WINDOW_NS, "b")


def stops_under(rate: float, seconds: float, per_second: float = 20.0) -> bool:
    """Whether so many requests a second, for so long, are too many for what can do `per_second`."""
    detector = OverloadDetector(2.5, 3 * SECOND_NS)
    return any(
        detector.count_request(int(n / rate * SECOND_NS), per_second) for n in range(1, int(rate * seconds))
    )


def test_the_database_is_overloaded_when_sent_more_than_its_multiple_for_the_whole_window() -> None:
    """The database is sent more than its multiple of what it can do.

    It stops where that lasts for the whole window, and neither under a little less nor where it is over
    sooner.
    """
    assert stops_under(56.0, 6.0) and not stops_under(44.0, 30.0)
    assert not stops_under(60.0, 2.5)  # not for long enough


def test_a_burst_long_past_does_not_count() -> None:
    """A burst ended a minute ago, and the load is ordinary since: it must not stop the database."""
    detector = OverloadDetector(2.5, 3 * SECOND_NS)
    assert not any(detector.count_request(n * SECOND_NS // 100, 20.0) for n in range(150))
    assert not any(detector.count_request(60 * SECOND_NS + n * SECOND_NS // 10, 20.0) for n in range(60))

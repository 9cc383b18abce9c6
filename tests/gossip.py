"""Comparison of observations that went through the codec of answer times."""

from rainhitch import interface as api


def near(told: list[api.LatencyObservation], seen: list[api.LatencyObservation]) -> bool:
    """Whether the same servers are told of, with times within half a step of the code."""
    return [(one.server, one.is_in_flight) for one in told] == [
        (one.server, one.is_in_flight) for one in seen
    ] and all(
        abs(mine.elapsed_ns / other.elapsed_ns - 1) < 0.051 for mine, other in zip(told, seen, strict=True)
    )

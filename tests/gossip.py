"""Comparison of observations that went through the codec of answer times."""

from rainhitch import interface as api

MAX_ROUNDING_FRACTION = 0.051  # half a step of the code


def near(received: list[api.LatencyObservation], sent: list[api.LatencyObservation]) -> bool:
    """Whether both name the same servers in the same order, with times within half a step of the code."""
    received_servers = [(one.server, one.is_in_flight) for one in received]
    if received_servers != [(one.server, one.is_in_flight) for one in sent]:
        return False
    return all(
        abs(one.elapsed_ns / other.elapsed_ns - 1) < MAX_ROUNDING_FRACTION
        for one, other in zip(received, sent, strict=True)
    )

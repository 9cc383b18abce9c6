"""The tests run on the loop that the program runs on, and give the same verdict every time."""

import pytest
import uvloop
from hypothesis import HealthCheck, settings

slow = [HealthCheck.too_slow]  # the first draw of characters builds a table, on a busy machine for seconds
settings.register_profile("checks", derandomize=True, deadline=None, suppress_health_check=slow)
settings.load_profile("checks")


@pytest.fixture(scope="session")
def event_loop_policy() -> uvloop.EventLoopPolicy:
    return uvloop.EventLoopPolicy()

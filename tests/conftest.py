"""The tests run on the loop that the program runs on."""

import pytest
import uvloop


@pytest.fixture(scope="session")
def event_loop_policy() -> uvloop.EventLoopPolicy:
    return uvloop.EventLoopPolicy()

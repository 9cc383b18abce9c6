"""The tests run on the event loop that the program runs on, and with the same random draws every time.

KNOWN-RED.txt names what fails for a fault that is known and not yet mended, a line each; known_red.py has the
form. Listed tests run, must fail, and are listed at the end; one that passes has to be taken off the list.
"""

from pathlib import Path

import pytest
import uvloop
from hypothesis import HealthCheck, settings
from known_red import KnownFailure, KnownFailureError, read_known_failures

# The first draw of characters builds a table, which takes seconds on a busy machine.
SUPPRESSED_CHECKS = [HealthCheck.too_slow]
settings.register_profile("checks", derandomize=True, deadline=None, suppress_health_check=SUPPRESSED_CHECKS)
settings.load_profile("checks")

ROOT = Path(__file__).parents[1]


def known_red() -> dict[str, KnownFailure]:
    """Returns the listed failures by test; raises UsageError for a malformed list."""
    try:
        return {failure.test: failure for failure in read_known_failures(ROOT)}
    except KnownFailureError as problem:
        raise pytest.UsageError(str(problem)) from None


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expects each listed test to fail, strictly: one that passes is reported as a failure."""
    listed = known_red()
    for item in items:
        failure = listed.get(item.nodeid.partition("[")[0])
        if failure is not None:
            item.add_marker(pytest.mark.xfail(reason=failure.reason(), strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Prints the listed tests at the end of a run."""
    for test, failure in known_red().items():
        terminalreporter.write_line(f"KNOWN RED: {test}: {failure.reason()}")


@pytest.fixture(scope="session")
def event_loop_policy() -> uvloop.EventLoopPolicy:
    """The event loops of asynchronous tests are uvloop's."""
    return uvloop.EventLoopPolicy()

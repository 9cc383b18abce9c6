"""The tests run on the event loop that the program runs on, and with the same random draws every time.

KNOWN-RED.txt names tests that fail for a fault that is known and not yet mended: `test | cause | issue`. They
run, must fail, and are listed at the end; one that passes has to be taken off the list.
"""

from pathlib import Path

import pytest
import uvloop
from hypothesis import HealthCheck, settings

# The first draw of characters builds a table, which takes seconds on a busy machine.
SUPPRESSED_CHECKS = [HealthCheck.too_slow]
settings.register_profile("checks", derandomize=True, deadline=None, suppress_health_check=SUPPRESSED_CHECKS)
settings.load_profile("checks")

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3


def known_red() -> dict[str, str]:
    """The listed tests, each with its cause and issue; raises UsageError for a malformed list."""
    if not KNOWN_RED.exists():
        return {}
    rows = [line.split(" | ") for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    if len(rows) > MAX_KNOWN_RED or any(len(row) != 3 for row in rows):
        raise pytest.UsageError(
            f"{KNOWN_RED.name}: {MAX_KNOWN_RED} lines at most, each `test | cause | issue`"
        )
    return {test: f"{cause} (issue {issue})" for test, cause, issue in rows}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expects each listed test to fail, strictly: one that passes is reported as a failure."""
    listed = known_red()
    for item in items:
        cause = listed.get(item.nodeid.partition("[")[0])
        if cause is not None:
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Prints the listed tests at the end of a run."""
    for test, cause in known_red().items():
        terminalreporter.write_line(f"KNOWN RED: {test}: {cause}")


@pytest.fixture(scope="session")
def event_loop_policy() -> uvloop.EventLoopPolicy:
    """The event loops of asynchronous tests are uvloop's."""
    return uvloop.EventLoopPolicy()

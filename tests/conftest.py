"""The tests run on the loop that the program runs on, and give the same verdict every time.

KNOWN-RED.txt names tests that fail for a fault that is known and not yet mended: `test | cause | issue`. They
run, are told at the end, and one that passes has to be taken off the list.
"""

from pathlib import Path

import pytest
import uvloop
from hypothesis import HealthCheck, settings

slow = [HealthCheck.too_slow]  # the first draw of characters builds a table, on a busy machine for seconds
settings.register_profile("checks", derandomize=True, deadline=None, suppress_health_check=slow)
settings.load_profile("checks")

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"
MOST_KNOWN_RED = 3


def known_red() -> dict[str, str]:
    """The listed tests, each with its cause and issue."""
    if not KNOWN_RED.exists():
        return {}
    rows = [line.split(" | ") for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    if len(rows) > MOST_KNOWN_RED or any(len(row) != 3 for row in rows):
        raise pytest.UsageError(
            f"{KNOWN_RED.name}: {MOST_KNOWN_RED} lines at most, each `test | cause | issue`"
        )
    return {test: f"{cause} (issue {issue})" for test, cause, issue in rows}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    listed = known_red()
    for item in items:
        cause = listed.get(item.nodeid.partition("[")[0])
        if cause is not None:
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for test, cause in known_red().items():
        terminalreporter.write_line(f"KNOWN RED: {test}: {cause}")


@pytest.fixture(scope="session")
def event_loop_policy() -> uvloop.EventLoopPolicy:
    return uvloop.EventLoopPolicy()

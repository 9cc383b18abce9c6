"""The schedule of a graceful shutdown for any deadline, and the exit of the process."""

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st
from peers import PATIENCE
from program import ROOT, configuration, started

from rainhitch.node.shutdown import NEW_CONNECTIONS_S, shutdown_schedule


@given(st.floats(0.001, 60))
def test_all_phases_come_in_order_and_before_sigkill(deadline: float) -> None:
    times = shutdown_schedule(deadline)
    assert (
        NEW_CONNECTIONS_S
        <= times.stop_accepting_s
        <= times.close_idle_s
        <= times.stop_reading_s
        <= times.all_answered_s
    )
    assert times.all_answered_s < times.exit_s < times.kill_s
    assert times.kill_s == min(deadline, 3.0) + 0.7
    assert times.kill_s - times.all_answered_s >= 0.3 - 1e-9


def test_the_schedule_uses_a_long_deadline_and_keeps_within_a_short_one() -> None:
    long, short = shutdown_schedule(5.0), shutdown_schedule(0.5)
    assert long.all_answered_s > 3.0  # a fixed 2.2 s ended requests a second earlier than necessary
    assert short.exit_s < 1.2  # where SIGKILL comes at 1.2 s
    assert short.stop_reading_s < 0.8


async def test_processes_that_get_many_sigterms_end_with_exit_code_0(tmp_path: Path) -> None:
    """Guards against a second SIGTERM that kills the process, which then exits with -15.

    The signal may come at any time, even between the end of the event loop and the exit of the process.
    """
    running = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "rainhitch",
        env=configuration(tmp_path),
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
    )
    await started(running)
    assert running.stderr is not None
    reading = asyncio.create_task(running.stderr.read())
    async with asyncio.timeout(PATIENCE):
        while running.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                running.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.002)
    assert running.returncode == 0, await reading
    await reading

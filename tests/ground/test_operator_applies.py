"""Settings of the operator's file take effect in the router, as seen on a client's socket."""

import asyncio
import signal
import sys
from pathlib import Path

from peers import PATIENCE
from program import ROOT, configuration, started


async def reply_to_unfinished_command(tmp_path: Path, text: str) -> bytes:
    """Returns what a client that never completes its command receives from a router with this file."""
    path = tmp_path / "operator.toml"
    path.write_text(text)
    env = {**configuration(tmp_path), "RAINHITCH_OPERATOR": str(path)}
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "rainhitch", env=env, cwd=ROOT, stderr=asyncio.subprocess.PIPE
    )
    address = await started(process)
    assert process.stderr is not None
    stderr_reader = asyncio.create_task(process.stderr.read())
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"*4\r\n$5\r\nC.GE")
    started_at = asyncio.get_running_loop().time()
    received = await asyncio.wait_for(reader.read(), PATIENCE)
    waited_s = asyncio.get_running_loop().time() - started_at
    writer.close()
    process.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(process.wait(), PATIENCE) == 0
    await stderr_reader
    return received + b" after 2.5 s or more" * (waited_s >= 2.5)


async def test_the_time_for_an_unfinished_command_is_the_operators(tmp_path: Path) -> None:
    short = await reply_to_unfinished_command(tmp_path, "[clients]\nunfinished_s = 0.2")
    assert short.startswith(b"-ERR") and not short.endswith(b"or more")
    assert (await reply_to_unfinished_command(tmp_path, "")).endswith(b"or more")

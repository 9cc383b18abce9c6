"""Settings of the operator's file take effect in the router, as seen on a client's socket."""

import asyncio
import signal
import sys
from pathlib import Path

from peers import PATIENCE
from program import ROOT, configuration, started


async def unfinished(tmp_path: Path, text: str) -> bytes:
    """Returns what a client that never completes its command receives from a router with this file."""
    path = tmp_path / "operator.toml"
    path.write_text(text)
    env = {**configuration(tmp_path), "RAINHITCH_OPERATOR": str(path)}
    running = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "rainhitch", env=env, cwd=ROOT, stderr=asyncio.subprocess.PIPE
    )
    address = await started(running)
    assert running.stderr is not None
    drain = asyncio.create_task(running.stderr.read())
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"*4\r\n$5\r\nC.GE")
    begun = asyncio.get_running_loop().time()
    got = await asyncio.wait_for(reader.read(), PATIENCE)
    waited = asyncio.get_running_loop().time() - begun
    writer.close()
    running.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(running.wait(), PATIENCE) == 0
    await drain
    return got + b" after 2.5 s or more" * (waited >= 2.5)


async def test_the_time_for_an_unfinished_command_is_the_operators(tmp_path: Path) -> None:
    short = await unfinished(tmp_path, "[clients]\nunfinished_s = 0.2")
    assert short.startswith(b"-ERR") and not short.endswith(b"or more")
    assert (await unfinished(tmp_path, "")).endswith(b"or more")

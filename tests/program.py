"""The program as a process: how the tests configure it and wait for it."""

import asyncio
import json
import os
from pathlib import Path
from typing import Any

from peers import PATIENCE, info

ROOT = Path(__file__).parents[1]


def listing(rev: int, *entries: Any, whole: bool = True) -> dict[str, Any]:
    """An endpoint list as discovery answers it; `whole`: it holds all entries."""
    return {"rev": rev, "all": whole, "targets": list(entries)}


def configuration(tmp_path: Path, **changes: Any) -> dict[str, str]:
    """The environment of a program whose configuration file, in `tmp_path`, has the given fields changed."""
    fields = {
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "settings": info(),
    }
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**fields, **changes}))
    return {**os.environ, "BALANCER_CONFIG": str(path)}


async def started(running: asyncio.subprocess.Process) -> tuple[str, int]:
    """Waits for the log line that says where the program listens; gives that host and port."""
    assert running.stderr is not None
    async with asyncio.timeout(PATIENCE):
        while b"listening on " not in (line := await running.stderr.readline()):
            assert line
    host, _, port = line.decode().strip().rsplit(" ", 1)[1].rpartition(":")
    return host, int(port)

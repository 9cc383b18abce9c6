"""The program on its machine: configuration, signals, exit code."""

import asyncio
import gc
import logging
import os
import signal
import sys
from typing import TYPE_CHECKING

import uvloop

from rainhitch.node.configuration import (
    Configuration,
    ConfigurationError,
    find_operator_config,
    read_configuration,
)
from rainhitch.node.router import Router

if TYPE_CHECKING:
    from rainhitch.operator_config import OperatorConfig


async def serve(told: Configuration, path: str | None, operator: "OperatorConfig | None") -> None:
    """Runs the router until it is told to stop and holds nothing more."""
    stopping, loop = asyncio.Event(), asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    service = Router(told, operator)
    loop.add_signal_handler(signal.SIGHUP, service.reread, path)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    await service.start()
    await stopping.wait()
    await service.stop()
    # Guards the exit code against a second SIGTERM, which finds no handler once the loop is closed.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})


def main() -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    # Guards against a SIGHUP that comes before its handler: it waits, and its file is read after all.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    path = os.environ.get("BALANCER_CONFIG")
    try:
        told = read_configuration(path)
        operator = find_operator_config()
        gc.freeze()
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(told, path, operator))
    except ConfigurationError as problem:
        print(f"rainhitch: {problem}", file=sys.stderr)
        return 2
    return 0

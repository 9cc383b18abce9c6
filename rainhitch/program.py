"""The router process: configuration, signals and exit code; connects the node and the admin endpoint."""

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
from rainhitch.node.router import Router, split_between_processes

if TYPE_CHECKING:
    from rainhitch.admin.endpoint import AdminEndpoint
    from rainhitch.operator_config import OperatorConfig

EXIT_BAD_CONFIGURATION = 2


def make_admin_endpoint(router: Router) -> "AdminEndpoint":
    """Returns the operators' endpoint of a router; its module is imported only where one is configured."""
    from rainhitch.admin.endpoint import AdminEndpoint

    configuration = router.configuration
    host, port = configuration.listen

    def divide_limits(process_count: int) -> None:
        """Divides this router's limit of file descriptors between its `process_count` processes."""
        split_between_processes(configuration.sockets, router.pools, router.clients, process_count)

    return AdminEndpoint(
        router.driver,
        router.clients,
        router.directory,
        f"{host}:{port}",
        divide_limits=divide_limits,
        upgrade_peer_seen=router.overload.upgrade_peer_seen,
        describe_peers=None if router.gossip is None else router.gossip.describe,
    )


async def serve(configuration: Configuration, path: str | None, operator: "OperatorConfig | None") -> None:
    """Runs the router until SIGTERM, and then shuts it down gracefully."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    router = Router(configuration, operator, make_admin_endpoint)
    loop.add_signal_handler(signal.SIGHUP, router.reload_configuration, path)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    await router.start()
    await stopping.wait()
    await router.stop()
    # Guards the exit code: a second SIGTERM, or a SIGHUP, after the loop is closed would find no handler.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGHUP})


def main() -> int:
    """Runs the router and returns the exit code."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    # Guards against a SIGHUP before its handler is set: the signal stays pending, and the reload still runs.
    # One that came earlier needs no reload, as the configuration is read only now.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    path = os.environ.get("BALANCER_CONFIG")
    try:
        configuration = read_configuration(path)
        operator = find_operator_config()
        gc.freeze()
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(configuration, path, operator))
    except ConfigurationError as problem:
        print(f"rainhitch: {problem}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    return 0

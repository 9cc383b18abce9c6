"""What the machine must have before a run starts: descriptors and ports."""

import resource
import socket

from rainhitch.rehearsal.errors import RehearsalError
from rainhitch.rehearsal.scenario import Scenario

SPARE_DESCRIPTORS = 200  # of a process beside its connections


def check_descriptors(scenario: Scenario) -> None:
    """Raises this process's soft limit of descriptors to what the fleet needs in one process.

    Raises:
        RehearsalError: the hard limit is too low.
    """
    fleet = scenario.fleet
    listeners = sum(node_class.count for node_class in fleet.nodes) * fleet.routers
    node_connections = sum(
        round(node_class.cores * node_class.table_per_core) * node_class.count for node_class in fleet.nodes
    )
    needed = max(scenario.clients.most, listeners + 2 * node_connections, scenario.day.sockets)
    needed += SPARE_DESCRIPTORS
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and needed > hard:
        raise RehearsalError(
            f"too few descriptors: this fleet needs {needed} in a process, the limit is {hard}"
        )
    if soft != resource.RLIM_INFINITY and soft < needed:
        resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))


def check_ports(scenario: Scenario) -> None:
    """Tries the ports that the scenario wants for its routers.

    Raises:
        RehearsalError: one of them can't be had.
    """
    first_port = scenario.fleet.first_port
    if not first_port:
        return
    for port in range(first_port, first_port + scenario.fleet.routers):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError as problem:
                raise RehearsalError(f"port {port} can't be had for a router: {problem.strerror}") from None

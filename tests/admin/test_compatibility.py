"""What other programs read stays as it is, to the byte: admin replies, counters, cordon files, settings.

The fixtures were recorded from the version before the renaming of modules and types.
"""

import dataclasses
import json
import os
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from program import ROOT

from rainhitch.admin.commands import answer
from rainhitch.admin.cordons import Cordons
from rainhitch.admin.router_control import RouterControl
from rainhitch.interface import EndpointState
from rainhitch.operator_config import read_operator_config
from rainhitch.telemetry.router_metrics import RouterMetrics

FIXTURES = Path(__file__).parent / "fixtures"
CORDON_FILE = "rainhitch-127.0.0.1:7000.cordons"
PEERS = {"me": 1, "routers": [{"number": 0, "alive": True}], "customers": {}}


def fixed_metrics() -> RouterMetrics:
    """Metrics with known counts."""
    metrics = RouterMetrics(["menu-read", "order-place"])
    metrics.served[0] = 812
    metrics.rejected[1] = 3
    metrics.failed[1] = 2
    metrics.in_flight = 14
    metrics.configurations_applied = 5
    metrics.configurations_rejected = 1
    return metrics


class FixedRouter:
    """A router's parts as the admin commands see them: three cache servers, one draining, and the origin."""

    def __init__(self) -> None:
        states = {
            "s-1": EndpointState.READY,
            "s-2": EndpointState.READY,
            "s-3": EndpointState.DRAINING,
            "o": EndpointState.READY,
        }
        targets = {name: SimpleNamespace(listed_state=state) for name, state in states.items()}
        self.directory = SimpleNamespace(
            can_serve=True,
            targets=targets,
            is_cache=lambda name: name in targets and name != "o",
            cordon=lambda out, back: None,
        )
        servers = SimpleNamespace(ejected_servers=lambda: {"s-2", "s-3"})
        self.driver = SimpleNamespace(
            metrics=fixed_metrics(),
            pools=SimpleNamespace(attempts_written=900),
            balancer=SimpleNamespace(servers=servers),
        )
        self.clients = SimpleNamespace(draining=False, drain=self._drain, cancel_drain=self._cancel_drain)

    def _drain(self) -> None:
        self.clients.draining = True

    def _cancel_drain(self) -> None:
        self.clients.draining = False

    def control(self, folder: str | None = None) -> RouterControl:
        """The commands on this router."""
        driver: Any = self.driver
        clients: Any = self.clients
        directory: Any = self.directory
        return RouterControl(driver, clients, directory, folder, "r")


def test_each_admin_command_replies_the_recorded_bytes() -> None:
    router = FixedRouter()
    control = router.control()
    for row in json.loads((FIXTURES / "replies.json").read_text()):
        router.directory.can_serve = row["given"] != "no server is ready"
        asked = control
        match row["given"]:
            case "gossip is on":
                control.describe_peers = lambda: PEERS
            case "the router was told to stop":
                control.stopping = True
            case "the folder is not there":
                asked = router.control("/nonexistent-folder")
            case "4096 servers are cordoned":
                asked = router.control()
                asked.cordons.servers = {f"n{number}" for number in range(4096)}
            case given:
                assert given in ("", "no server is ready")
        reply = answer(row["call"].encode("latin-1"), asked).decode()
        assert reply.replace(f".cordons.{os.getpid()}", ".cordons.PID") == row["reply"], row


def test_a_cordon_file_has_the_name_and_the_bytes_that_it_had(tmp_path: Path) -> None:
    cordons = Cordons(str(tmp_path), "127.0.0.1:7000", lambda out, back: None)
    for server in ("s-2", "s-1", "s-é"):
        cordons.cordon(server)
    assert os.listdir(tmp_path) == [CORDON_FILE]
    assert (tmp_path / CORDON_FILE).read_bytes() == (FIXTURES / "cordons.json").read_bytes()


def test_a_cordon_file_of_the_earlier_version_is_read(tmp_path: Path) -> None:
    (tmp_path / CORDON_FILE).write_bytes((FIXTURES / "cordons.json").read_bytes())
    cordons = Cordons(str(tmp_path), "127.0.0.1:7000", lambda out, back: None)
    cordons.reload()
    assert cordons.servers == {"s-1", "s-2", "s-é"}


def test_the_example_of_the_operators_file_is_read_to_the_same_settings() -> None:
    read = read_operator_config(ROOT / "deploy" / "operator.example.toml")
    assert json.dumps(dataclasses.asdict(read), indent=1) + "\n" == (FIXTURES / "operator.json").read_text()

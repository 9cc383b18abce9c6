"""The worker of the clients of one zone."""

from pathlib import Path

from rainhitch.rehearsal.fakes import fault_parameters
from rainhitch.rehearsal.fakes import worker_messages as messages
from rainhitch.rehearsal.fakes.clients import ClientPopulation
from rainhitch.rehearsal.fakes.worker import Worker
from rainhitch.rehearsal.fakes.worker_messages import Json
from rainhitch.rehearsal.plan_model import Command, Component, FaultAction


class ClientWorker(Worker):
    """Hosts the clients of one zone; `inputs` has the routers' addresses too."""

    def __init__(self, folder: Path, inputs: Json, zone: int) -> None:
        super().__init__(folder, inputs)
        addresses = [(host, int(port)) for host, port in inputs["addresses"]]
        self._population = ClientPopulation(zone, self.plan, self.scenario, addresses)

    def start_run(self, zero_ns: int) -> None:
        """Begins the run: the clients send what the plan says."""
        super().start_run(zero_ns)
        self.spawn(self._play())

    async def _play(self) -> None:
        await self._population.play(self.zero_ns)
        self.send(messages.clients_done_row())

    def handle(self, message: messages.EnvironmentMessage) -> None:
        """The load balancer in front of the routers takes one to be up or down."""
        if isinstance(message, messages.RouterSeen):
            self._population.pool.load_balancer.up[message.router] = message.up

    def act(self, action: FaultAction) -> None:
        """A fraction of the clients speaks RESP3 from now on, on new connections."""
        if action.component is Component.CLIENTS and action.command is Command.UPGRADE:
            self._population.pool.resp3_fraction = fault_parameters.fraction(action)

    def record(self) -> Json:
        """The record of the clients."""
        population = self._population
        return {
            "sent": population.rows(),
            "extras": population.pool.extra_answers,
            "opened": population.pool.opened_count,
            "lates": population.lateness_ns,
        }

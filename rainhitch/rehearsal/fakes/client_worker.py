"""The clients of one room, as a part of a day."""

from pathlib import Path

from rainhitch.rehearsal.fakes.clients import ClientPopulation
from rainhitch.rehearsal.fakes.worker import Json, Worker


class ClientWorker(Worker):
    """The clients of one room."""

    def __init__(self, folder: Path, told: Json, room: int) -> None:
        super().__init__(folder, told)
        addresses = [(host, int(port)) for host, port in told["addresses"]]
        self.crowd = ClientPopulation(room, self.plan, self.scenario, addresses)

    def begin(self, zero: int) -> None:
        super().begin(zero)
        self.spawn(self.play())

    async def play(self) -> None:
        await self.crowd.play(self.zero)
        self.say({"over": True})

    def heed(self, message: Json) -> None:
        if "router" in message:
            self.crowd.up[message["router"]] = message["up"]

    def cue(self, cue: Json) -> None:
        if cue["who"] == "clients":
            self.crowd.resp3 = cue["share"]

    def ledger(self) -> Json:
        crowd = self.crowd
        return {"sent": crowd.rows(), "extras": crowd.extras, "opened": crowd.opened, "lates": crowd.lates}

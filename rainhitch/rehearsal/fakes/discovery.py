"""Discovery as routers see it: an agent for each, with a list that is pushed to it, late, and a watch.

agent = Agent(0, entries)   # entries: the list as this router is to see it
agent.endpoint; agent.push({"uid": ..., "state": "Terminating", ...}); agent.silence(True)
agent.rows                  # the ledger: each entry that was written to the router, and when
"""

import asyncio
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

from rainhitch import system
from rainhitch.rehearsal.fakes.http_server import HttpRequest, HttpServerConnection
from rainhitch.rehearsal.fakes.link import Link

Json = dict[str, Any]
MOST_HOLD = 60.0


class DiscoveryConnection(HttpServerConnection):
    """A router's connection to its agent."""

    def __init__(self, link: Link, agent: "DiscoveryAgent") -> None:
        super().__init__(link)
        self.agent = agent

    def asked(self, request: HttpRequest) -> None:
        self.agent.asked(self, request.target)


class DiscoveryAgent:
    """What one router is told of the list."""

    def __init__(self, router: int, entries: list[Json], rev: int = 1) -> None:
        self.router, self.rev = router, rev
        self.entries = {one["uid"]: one for one in entries}
        self.changed: dict[str, int] = {}  # uid: the version that last changed it
        self.rows: list[Json] = []
        self.silent = False
        self.waiting: list[tuple[DiscoveryConnection, int, asyncio.TimerHandle | None]] = []
        self.loop = asyncio.get_running_loop()
        self.link = Link(router, lambda link: DiscoveryConnection(link, self))

    @property
    def endpoint(self) -> str:
        return self.link.endpoint

    def whole(self) -> Json:
        """The list as the configuration's `known` has it."""
        targets = [one for one in self.entries.values() if one["state"] != "Gone"]
        return {"rev": self.rev, "all": True, "targets": targets}

    def push(self, entry: Json) -> None:
        """A change has reached the agent."""
        self.rev += 1
        self.entries[entry["uid"]] = entry
        self.changed[entry["uid"]] = self.rev
        waiting, self.waiting = self.waiting, []
        for wire, known, timer in waiting:
            if timer is not None:
                timer.cancel()
            self._answer(wire, known)

    def silence(self, silent: bool) -> None:
        """Discovery is down: calls are not answered, and those that wait have failed."""
        self.silent = silent
        if silent:
            for _, _, timer in self.waiting:
                if timer is not None:
                    timer.cancel()
            self.waiting = []

    def asked(self, wire: DiscoveryConnection, target: str) -> None:
        url = urlsplit(target)
        if url.path != "/api/targets":
            wire.answer(404)
            return
        if self.silent:
            return
        query = parse_qs(url.query)
        try:
            known = int(query["from"][0]) if "from" in query else -1
            hold = min(MOST_HOLD, int(query.get("hold_ms", ["0"])[0]) / 1000)
        except ValueError:
            wire.answer(400)
            return
        if known < 0 or known < self.rev or hold <= 0:
            self._answer(wire, known)
            return
        timer = self.loop.call_later(hold, self._held_enough, wire)
        self.waiting.append((wire, known, timer))

    def _held_enough(self, wire: DiscoveryConnection) -> None:
        for one in self.waiting:
            if one[0] is wire:
                self.waiting.remove(one)
                self._answer(wire, one[1])
                return

    def _answer(self, wire: DiscoveryConnection, known: int) -> None:
        if wire.closed_at:
            return
        if known < 0:
            body = self.whole()
        else:
            fresh = [one for uid, one in self.entries.items() if self.changed.get(uid, 0) > known]
            body = {"rev": self.rev, "all": False, "targets": fresh}
        now = system.now()
        wire.answer(200, orjson.dumps(body), "Content-Type: application/json")
        self.rows += [
            {
                "router": self.router,
                "at": now,
                "node": one["uid"],
                "state": one["state"],
                "whole": body["all"],
            }
            for one in body["targets"]
        ]
        if body["all"]:
            row = {"router": self.router, "at": now, "node": "", "state": "whole", "whole": True}
            self.rows.append({**row, "named": [one["uid"] for one in body["targets"]]})

    def close(self) -> None:
        self.silence(True)
        self.link.close()

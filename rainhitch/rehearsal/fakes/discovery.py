"""Fake discovery: for each router an agent with the endpoint list as that router is to see it, and watches.

agent = DiscoveryAgent(0, entries)
agent.endpoint; agent.push({"uid": ..., "state": "Terminating", ...}); agent.set_silent(True)
agent.rows                  # the record: each entry that was written to the router, and when
"""

import asyncio
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

from rainhitch import system
from rainhitch.rehearsal.fakes.endpoint_record import entry_row, whole_list_row
from rainhitch.rehearsal.fakes.http_server import HttpRequest, HttpServerConnection
from rainhitch.rehearsal.fakes.link import Link

Json = dict[str, Any]
PATH = "/api/targets"
LONGEST_HOLD_S = 60.0
MILLISECONDS_PER_SECOND = 1000
WHOLE_LIST_REVISION = -1  # as the revision that a router has: it has none
GONE = "Gone"


class DiscoveryConnection(HttpServerConnection):
    """A router's connection to its agent."""

    def __init__(self, link: Link, agent: "DiscoveryAgent") -> None:
        super().__init__(link)
        self._agent = agent

    def request_received(self, request: HttpRequest) -> None:
        """Passes a request on to the agent."""
        self._agent.request_received(self, request.target)


@dataclass(slots=True, eq=False)
class HeldWatch:
    """A watch that is answered with the next change, or at its timer."""

    connection: DiscoveryConnection
    known_revision: int
    timer: asyncio.TimerHandle


class DiscoveryAgent:
    """The endpoint list as one router sees it. Entries are maps in the form of the API's `targets`."""

    def __init__(self, router: int, entries: list[Json], revision: int = 1) -> None:
        self.router = router
        self.revision = revision
        self.entries = {entry["uid"]: entry for entry in entries}
        self.rows: list[Json] = []
        self.silent = False
        self.watches: list[HeldWatch] = []
        self.link = Link(router, lambda link: DiscoveryConnection(link, self))
        self._changed_at_revision: dict[str, int] = {}  # by uid
        self._loop = asyncio.get_running_loop()

    @property
    def endpoint(self) -> str:
        """The address for the router, as HOST:PORT."""
        return self.link.endpoint

    def whole_list(self) -> Json:
        """The list as the API gives it whole, and as the router's configuration has it under `known`."""
        targets = [entry for entry in self.entries.values() if entry["state"] != GONE]
        return {"rev": self.revision, "all": True, "targets": targets}

    def push(self, entry: Json) -> None:
        """A change has reached the agent: held watches are answered with it."""
        self.revision += 1
        self.entries[entry["uid"]] = entry
        self._changed_at_revision[entry["uid"]] = self.revision
        held = self.watches
        self.watches = []
        for watch in held:
            watch.timer.cancel()
            self._respond(watch.connection, watch.known_revision)

    def set_silent(self, silent: bool) -> None:
        """Discovery is down, or up: while down, requests and the watches that are held get no answer."""
        self.silent = silent
        if silent:
            for watch in self.watches:
                watch.timer.cancel()
            self.watches = []

    def request_received(self, connection: DiscoveryConnection, target: str) -> None:
        """Answers a request for the list, or holds it until there is a change."""
        url = urlsplit(target)
        if url.path != PATH:
            connection.respond(404)
            return
        if self.silent:
            return
        query = parse_qs(url.query)
        try:
            known_revision = int(query["from"][0]) if "from" in query else WHOLE_LIST_REVISION
            asked_hold_s = int(query.get("hold_ms", ["0"])[0]) / MILLISECONDS_PER_SECOND
        except ValueError:
            connection.respond(400)
            return
        hold_s = min(LONGEST_HOLD_S, asked_hold_s)
        if known_revision < 0 or known_revision < self.revision or hold_s <= 0:
            self._respond(connection, known_revision)
            return
        timer = self._loop.call_later(hold_s, self._end_hold, connection)
        self.watches.append(HeldWatch(connection, known_revision, timer))

    def _end_hold(self, connection: DiscoveryConnection) -> None:
        """Answers a connection's watch though nothing has changed."""
        for watch in self.watches:
            if watch.connection is connection:
                self.watches.remove(watch)
                self._respond(connection, watch.known_revision)
                return

    def _respond(self, connection: DiscoveryConnection, known_revision: int) -> None:
        """Writes the whole list, or what has changed since a revision."""
        if connection.closed_at_ns:
            return
        if known_revision < 0:
            body = self.whole_list()
        else:
            changed = self._changed_at_revision
            targets = [entry for uid, entry in self.entries.items() if changed.get(uid, 0) > known_revision]
            body = {"rev": self.revision, "all": False, "targets": targets}
        now_ns = system.now()
        connection.respond(200, orjson.dumps(body), "Content-Type: application/json")
        self.rows += [
            entry_row(self.router, now_ns, entry["uid"], entry["state"], body["all"])
            for entry in body["targets"]
        ]
        if body["all"]:
            uids = [entry["uid"] for entry in body["targets"]]
            self.rows.append(whole_list_row(self.router, now_ns, uids))

    def close(self) -> None:
        """Ends the agent and gives its address back."""
        self.set_silent(True)
        self.link.close()

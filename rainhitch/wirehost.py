"""The adapter: hosts many routers on the bench's wire. It translates and decides nothing."""

import sys
import traceback
from collections.abc import Callable
from typing import Any

import orjson

from rainhitch import interface as io
from rainhitch.overload.controller import OverloadController
from rainhitch.policy.balancer import Balancer
from rainhitch.settings import Json, SettingError, read_settings

STATUS = {
    "completed": io.AttemptStatus.OK,
    "errored": io.AttemptStatus.ERROR,
    "saturated": io.AttemptStatus.FULL,
    "overdue": io.AttemptStatus.TIMEOUT,
    "refused_conn": io.AttemptStatus.CONNECT_FAILED,
    "severed": io.AttemptStatus.RESET,
    "recalled": io.AttemptStatus.CANCELLED,
    "superseded": io.AttemptStatus.ABANDONED,
    "lookup_miss": io.AttemptStatus.MISS,
}
STATE = {
    "SERVING": io.EndpointState.READY,
    "DRAINING": io.EndpointState.DRAINING,
    "DELETED": io.EndpointState.GONE,
}
LIST = {
    "update": io.EndpointUpdateKind.DELTA,
    "replace": io.EndpointUpdateKind.FULL,
    "restored": io.EndpointUpdateKind.CACHED,
    "unavailable": io.EndpointUpdateKind.FAILED,
}
LOAD = {
    "outstanding": "in_flight",
    "backlog": "queued",
    "utilization": "utilization",
    "recent_ms": "latency_ms",
    "throughput": "served_per_s",
    "errors_per_s": "errors_per_s",
}


class InputError(ValueError):
    """A line that cannot be read as a batch."""


def _members(m: Json) -> io.EndpointUpdate:
    entries = [
        io.Endpoint(
            e["server"],
            STATE[e["stageState"]],
            e.get("machine") or 0,
            e.get("hall") or 0,
            e.get("stripe") or 0,
            e.get("since") or 0,
            1.0 if e.get("units") is None else e["units"],
        )
        for e in m.get("elements") or ()
    ]
    return io.EndpointUpdate(LIST[m["kind"]], entries)


def _load(report: Json | None) -> io.LoadReport | None:
    if not report:
        return None
    return io.LoadReport(
        **{LOAD[name]: value for name, value in report.items() if name in LOAD and value is not None}
    )


def _request(m: Json) -> io.Request:
    return io.Request(
        m["msgId"],
        m["cls"],
        m["validUntil"],
        m.get("targetKey"),
        bool(m.get("mutates")),
        m.get("owner") or 0,
        bool(m.get("repeat")),
    )


def _outcome(m: Json) -> io.AttemptFinished:
    return io.AttemptFinished(
        m["msgId"],
        m["sendNo"],
        m["server"],
        STATUS[m["disposition"]],
        bool(m.get("ended")),
        m["costTime"],
        m.get("remark") or 0,
        _load(m.get("feedback")),
    )


READERS: dict[str, Callable[[Json], io.Event]] = {
    "WORK_ITEM": _request,
    "DONE": _outcome,
    "FIRED": lambda m: io.TimerFired(m["nonce"]),
    "DISCOVERY": _members,
    "WITHDRAWN": lambda m: io.ClientGone(m["msgId"]),
}
# Events of the wire that no decision reads, each with the fields that it has to have.
UNREAD_EVENTS: dict[str, tuple[str, ...]] = {
    "OPENED": ("msgId", "sendNo", "server"),
    "ECHO": ("server", "disposition", "costTime"),
    "MEMO": ("sender", "payload"),
}
WRITERS: dict[type, Callable[[int, Any], Json]] = {
    io.StartAttempt: lambda i, a: {
        "t": "DISPATCH",
        "i": i,
        "msgId": a.id,
        "cap": a.timeout_ns,
        "server": a.server,
    },
    io.Reject: lambda i, a: {"t": "TURN_AWAY", "i": i, "msgId": a.id, "comeBack": a.retry_after_ns},
    io.Fail: lambda i, a: {"t": "END_FAILED", "i": i, "msgId": a.id},
    io.SetTimer: lambda i, a: {"t": "REMIND", "i": i, "offset": a.delay_ns, "nonce": a.token},
    io.WatchEndpoints: lambda i, a: {"t": "WATCH", "i": i, "active": True},
    io.LogLine: lambda i, a: {"t": "SAY_LOG", "i": i, "msg": a.text},
}


def _check_fields(name: str, message: Json) -> None:
    """Raises KeyError where an event that no decision reads lacks a field or has an unknown status."""
    for field in UNREAD_EVENTS[name]:
        value = message[field]
        if field == "disposition":
            STATUS[value]


class Host:
    """The routers of this process, by instance number."""

    def __init__(self) -> None:
        self.routers: dict[int, Balancer] = {}

    def reply(self, line: bytes) -> bytes:
        """Plays one batch and gives the line that answers it."""
        try:
            batch = orjson.loads(line)
            now, messages = batch["clock"], batch["msgs"]
        except orjson.JSONDecodeError as error:
            raise InputError(f"not JSON: {error}") from None
        except (KeyError, TypeError) as error:
            raise InputError(f"a batch needs the fields clock and msgs: {error}") from None
        if type(now) is not int or type(messages) is not list:
            raise InputError("a batch needs an integer clock and a list msgs")
        output: list[Json] = []
        for place, message in enumerate(messages):
            try:
                self._event(now, message, output)
            except (KeyError, TypeError, AttributeError) as error:
                raise InputError(f"msgs[{place}] lacks a field or has a bad one: {error}") from None
        return orjson.dumps({"output": output})

    def _event(self, now: int, message: Json, output: list[Json]) -> None:
        name, i = message["t"], message["i"]
        read = READERS.get(name)
        if read is None and name not in UNREAD_EVENTS:
            self._control(name, i, message, output)
            return
        router = self.routers.get(i)
        if router is None:
            print(f"skipped: {name} for instance {i}, which is not up", file=sys.stderr)
            return
        event = None if read is None else read(message)
        if event is None:
            _check_fields(name, message)
        try:
            for action in router.advance(now) if event is None else router.handle(now, event):
                output.append(WRITERS[type(action)](i, action))
        except Exception as error:  # whatever the decisions raise ends the day, with its text
            traceback.print_exc()
            del self.routers[i]
            output.append({"t": "DIE", "i": i, "msg": f"{type(error).__name__}: {error}"})

    def _control(self, name: str, i: int, message: Json, output: list[Json]) -> None:
        if name == "UP":
            seed, info = message["nonce64"], message["info"]
            try:
                settings = read_settings(info)
                self.routers[i] = Balancer(settings, seed, OverloadController(settings, seed))
            except SettingError as error:
                self.routers.pop(i, None)
                print(f"instance {i}: {error}", file=sys.stderr)
                output.append({"t": "DIE", "i": i, "msg": str(error)})
        elif name == "DESTROY":
            self.routers.pop(i, None)
        else:
            print(f"skipped: unknown event {name!r} for instance {i}", file=sys.stderr)


def main() -> int:
    """Answers each line of standard input until it ends."""
    host, out = Host(), sys.stdout.buffer
    for number, line in enumerate(sys.stdin.buffer, 1):
        try:
            answer = host.reply(line)
        except InputError as error:
            print(f"line {number}: {error}", file=sys.stderr)
            return 2
        out.write(answer + b"\n")
        out.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""The adapter: hosts many routers on the bench's wire. It translates and decides nothing."""

import sys
import traceback
from collections.abc import Callable
from typing import Any

import orjson

from applehub import interface as io
from applehub.logic import Balancer

STATUS = {
    "completed": io.Status.OK,
    "errored": io.Status.ERROR,
    "saturated": io.Status.FULL,
    "overdue": io.Status.TIMEOUT,
    "refused_conn": io.Status.CONNECT_FAILED,
    "severed": io.Status.RESET,
    "recalled": io.Status.CANCELLED,
    "superseded": io.Status.MOOT,
    "lookup_miss": io.Status.MISS,
}
STATE = {"SERVING": io.State.READY, "DRAINING": io.State.DRAINING, "DELETED": io.State.GONE}
LIST = {
    "update": io.ListKind.DELTA,
    "replace": io.ListKind.FULL,
    "restored": io.ListKind.CACHED,
    "unavailable": io.ListKind.FAILED,
}
LOAD = {
    "outstanding": "inflight",
    "backlog": "queue",
    "utilization": "util",
    "recent_ms": "latency_ms",
    "throughput": "qps",
    "errors_per_s": "eps",
}
FLEET_MODES = ("pushed", "on_request")
CACHE_MODES = ("through", "aside")
Json = dict[str, Any]


class SettingError(ValueError):
    """A start-up setting is missing or makes no sense."""


class InputError(ValueError):
    """A line that cannot be read as a batch."""


def _get(source: Json, path: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
    """Reads one setting; with no default it must be there."""
    value = source.get(path.rsplit(".", 1)[-1])
    if value is None:
        if default is None:
            raise SettingError(f"setting {path} is missing")
        return default
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise SettingError(f"setting {path} makes no sense: {value!r}")
    return value


def _number(source: Json, path: str, low: float, default: float | None = None) -> float:
    value = float(_get(source, path, (int, float), default))
    if not low <= value < 1e19:
        raise SettingError(f"setting {path} makes no sense: {value:g}")
    return value


def _count(source: Json, path: str, low: int, default: int | None = None) -> int:
    return int(_number(source, path, low, default))


def _choice(source: Json, path: str, choices: tuple[str, ...], default: str) -> str:
    value = _get(source, path, str, default)
    if value not in choices:
        raise SettingError(f"setting {path} makes no sense: {value!r}")
    return str(value)


def _objects(source: Json, path: str, default: list[Json] | None = None) -> list[Json]:
    value: list[Json] = _get(source, path, list, default)
    if not all(isinstance(one, dict) for one in value):
        raise SettingError(f"setting {path} makes no sense: no list of objects")
    return value


def _class(source: Json, number: int) -> io.RequestClass:
    at = f"classes[{number}]"
    return io.RequestClass(
        aim=_count(source, f"{at}.aim", 1),
        deadline=_count(source, f"{at}.deadline", 1),
        effect=io.Effect(_choice(source, f"{at}.effect", tuple(io.Effect), "safe")),
        group=_choice(source, f"{at}.group", ("all", "zone", "cell"), "all"),
        window=_count(source, f"{at}.repeatWindow", 0, 0),
        worth=_number(source, f"{at}.gain", 0, 1),
        late_worth=_number(source, f"{at}.lateWorth", 0, 0),
        stream=_get(source, f"{at}.stream", bool, False),
    )


def read_settings(info: Json) -> io.Settings:
    """Turns the wire's start-up settings into the module's."""
    if not isinstance(info, dict):
        raise SettingError("setting info makes no sense: not an object")
    classes, tenants = _objects(info, "classes"), _objects(info, "tenants", [])
    if not classes:
        raise SettingError("setting classes makes no sense: it is empty")
    ceilings, safety = _get(info, "ceilings", dict), _get(info, "safety", dict)
    cache = _get(info, "specifics", dict, {})
    return io.Settings(
        classes=[_class(one, number) for number, one in enumerate(classes)],
        balancers=_count(info, "balancers", 1, 1),
        tenants=[io.Tenant(_number(one, f"tenants[{n}].quotaRps", 0, 0)) for n, one in enumerate(tenants)],
        aside=_choice(cache, "specifics.mode", CACHE_MODES, "through") == "aside",
        origin_kind=_count(cache, "specifics.originKind", -1, -1),
        must_ask=_choice(info, "registryMode", FLEET_MODES, "pushed") == "on_request",
        retry_after=_get(ceilings, "ceilings.retryAfter", bool, False),
        max_retry_after=_count(ceilings, "ceilings.maxRetryAfter", 0, 0),
        max_attempts=_count(ceilings, "ceilings.attemptsCap", 1, 1),
        connect_timeout=_count(ceilings, "ceilings.dialTimeout", 0, 250_000_000),
        ask_within=_count(safety, "safety.askWithin", 0, 10_000_000_000),
        cold_from=_number(safety, "safety.coldFrom", 0, 1),
        ramp_time=_count(safety, "safety.rampTime", 0, 0),
        tip_multiple=_number(safety, "safety.tipMultiple", 0, 1),
        fall_time=_count(safety, "safety.fall", 0, 1_000_000_000),
    )


def _members(m: Json) -> io.Members:
    entries = [
        io.Member(
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
    return io.Members(LIST[m["kind"]], entries)


def _load(report: Json | None) -> io.Load | None:
    if not report:
        return None
    return io.Load(
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


def _outcome(m: Json) -> io.Outcome:
    return io.Outcome(
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
    "FIRED": lambda m: io.Alarm(m["nonce"]),
    "DISCOVERY": _members,
    "WITHDRAWN": lambda m: io.Withdrawn(m["msgId"]),
    "OPENED": lambda m: io.Opened(m["msgId"], m["sendNo"], m["server"]),
    "ECHO": lambda m: io.Probed(
        m["server"], STATUS[m["disposition"]], m["costTime"], _load(m.get("feedback"))
    ),
    "MEMO": lambda m: io.PeerMessage(m["sender"], m["payload"]),
}
WRITERS: dict[type, Callable[[int, Any], Json]] = {
    io.Send: lambda i, a: {"t": "DISPATCH", "i": i, "msgId": a.id, "cap": a.timeout, "server": a.server},
    io.Refuse: lambda i, a: {"t": "TURN_AWAY", "i": i, "msgId": a.id, "comeBack": a.retry_after},
    io.Fail: lambda i, a: {"t": "END_FAILED", "i": i, "msgId": a.id},
    io.Wake: lambda i, a: {"t": "REMIND", "i": i, "offset": a.delay, "nonce": a.token},
    io.Watch: lambda i, a: {"t": "WATCH", "i": i, "active": True},
    io.Log: lambda i, a: {"t": "SAY_LOG", "i": i, "msg": a.text},
}


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
        if read is None:
            self._control(name, i, message, output)
            return
        router = self.routers.get(i)
        if router is None:
            print(f"skipped: {name} for instance {i}, which is not up", file=sys.stderr)
            return
        event = read(message)
        try:
            for action in router.handle(now, event):
                output.append(WRITERS[type(action)](i, action))
        except Exception as error:  # whatever the decisions raise ends the day, with its text
            traceback.print_exc()
            del self.routers[i]
            output.append({"t": "DIE", "i": i, "msg": f"{type(error).__name__}: {error}"})

    def _control(self, name: str, i: int, message: Json, output: list[Json]) -> None:
        if name == "UP":
            seed, info = message["nonce64"], message["info"]
            try:
                self.routers[i] = Balancer(read_settings(info), seed)
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

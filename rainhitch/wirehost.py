"""Hosts many router instances in one process, with JSON lines on standard input and output.

This module and `settings.py` translate the platform's names to the terms of `interface.py`; neither makes
routing decisions.

Each input line is a batch, `{"clock": ns, "msgs": [...]}`. A message has its type `t`, the number `i` of the
router instance that receives it, and the fields of its type. Each batch is answered by one line,
`{"output": [...]}`, which lists the actions of all instances in the order in which they were taken.
"""

import sys
import traceback
from collections.abc import Callable
from typing import Any

import orjson

from rainhitch import interface as api
from rainhitch.errors import RainhitchError
from rainhitch.overload.controller import OverloadController
from rainhitch.policy.balancer import Balancer
from rainhitch.settings import Json, SettingError, read_settings

# Names on the wire, mapped to the terms of `interface.py`.
STATUS_BY_NAME = {
    "completed": api.AttemptStatus.OK,
    "errored": api.AttemptStatus.ERROR,
    "saturated": api.AttemptStatus.FULL,
    "overdue": api.AttemptStatus.TIMEOUT,
    "refused_conn": api.AttemptStatus.CONNECT_FAILED,
    "severed": api.AttemptStatus.RESET,
    "recalled": api.AttemptStatus.CANCELLED,
    "superseded": api.AttemptStatus.ABANDONED,
    "lookup_miss": api.AttemptStatus.MISS,
}
ENDPOINT_STATE_BY_NAME = {
    "SERVING": api.EndpointState.READY,
    "DRAINING": api.EndpointState.DRAINING,
    "DELETED": api.EndpointState.GONE,
}
UPDATE_KIND_BY_NAME = {
    "update": api.EndpointUpdateKind.DELTA,
    "replace": api.EndpointUpdateKind.FULL,
    "restored": api.EndpointUpdateKind.CACHED,
    "unavailable": api.EndpointUpdateKind.FAILED,
}
LOAD_FIELD_BY_NAME = {
    "outstanding": "in_flight",
    "backlog": "queued",
    "utilization": "utilization",
    "recent_ms": "latency_ms",
    "throughput": "served_per_s",
    "errors_per_s": "errors_per_s",
}


class WireError(RainhitchError, ValueError):
    """An input line that is not a valid batch."""


# Readers of events. They raise KeyError for a missing field and for a name that is not in its table.


def _int_or_zero(source: Json, name: str) -> int:
    """Returns the number in a field; 0 where the field is missing, null or empty."""
    value: int | None = source.get(name)
    return value if value else 0


def _read_endpoint(entry: Json) -> api.Endpoint:
    return api.Endpoint(
        entry["server"],
        ENDPOINT_STATE_BY_NAME[entry["stageState"]],
        kind=_int_or_zero(entry, "machine"),
        zone=_int_or_zero(entry, "hall"),
        cell=_int_or_zero(entry, "stripe"),
        started_at_ns=_int_or_zero(entry, "since"),
        weight=1.0 if entry.get("units") is None else entry["units"],
    )


def _read_endpoint_update(message: Json) -> api.EndpointUpdate:
    entries = [_read_endpoint(entry) for entry in message.get("elements") or ()]
    return api.EndpointUpdate(UPDATE_KIND_BY_NAME[message["kind"]], entries)


def _read_load_report(report: Json | None) -> api.LoadReport | None:
    """Returns a server's load report without unknown and null fields; None for an empty report."""
    if not report:
        return None
    known = {
        LOAD_FIELD_BY_NAME[name]: value
        for name, value in report.items()
        if name in LOAD_FIELD_BY_NAME and value is not None
    }
    return api.LoadReport(**known)


def _read_request(message: Json) -> api.Request:
    return api.Request(
        message["msgId"],
        class_index=message["cls"],
        deadline_ns=message["validUntil"],
        key=message.get("targetKey"),
        is_write=bool(message.get("mutates")),
        tenant=_int_or_zero(message, "owner"),
        is_client_retry=bool(message.get("repeat")),
    )


def _read_attempt_finished(message: Json) -> api.AttemptFinished:
    return api.AttemptFinished(
        message["msgId"],
        attempt=message["sendNo"],
        server=message["server"],
        status=STATUS_BY_NAME[message["disposition"]],
        request_finished=bool(message.get("ended")),
        elapsed_ns=message["costTime"],
        answer_note=_int_or_zero(message, "remark"),
        load=_read_load_report(message.get("feedback")),
    )


def _read_timer_fired(message: Json) -> api.TimerFired:
    return api.TimerFired(message["nonce"])


def _read_client_gone(message: Json) -> api.ClientGone:
    return api.ClientGone(message["msgId"])


EVENT_READERS: dict[str, Callable[[Json], api.Event]] = {
    "WORK_ITEM": _read_request,
    "DONE": _read_attempt_finished,
    "FIRED": _read_timer_fired,
    "DISCOVERY": _read_endpoint_update,
    "WITHDRAWN": _read_client_gone,
}
# Events that the routing decisions ignore, each with the fields that it must have.
IGNORED_EVENTS: dict[str, tuple[str, ...]] = {
    "OPENED": ("msgId", "sendNo", "server"),
    "ECHO": ("server", "disposition", "costTime"),
    "MEMO": ("sender", "payload"),
}


def _check_ignored_event(name: str, message: Json) -> None:
    """Raises KeyError where an ignored event lacks a field or has an unknown status."""
    for field in IGNORED_EVENTS[name]:
        value = message[field]
        if field == "disposition":
            STATUS_BY_NAME[value]


# Writers of actions. The order of the keys is the order on the wire.


def _write_start_attempt(instance: int, action: api.StartAttempt) -> Json:
    return {
        "t": "DISPATCH",
        "i": instance,
        "msgId": action.id,
        "cap": action.timeout_ns,
        "server": action.server,
    }


def _write_reject(instance: int, action: api.Reject) -> Json:
    return {"t": "TURN_AWAY", "i": instance, "msgId": action.id, "comeBack": action.retry_after_ns}


def _write_fail(instance: int, action: api.Fail) -> Json:
    return {"t": "END_FAILED", "i": instance, "msgId": action.id}


def _write_set_timer(instance: int, action: api.SetTimer) -> Json:
    return {"t": "REMIND", "i": instance, "offset": action.delay_ns, "nonce": action.token}


def _write_watch_endpoints(instance: int, action: api.WatchEndpoints) -> Json:
    return {"t": "WATCH", "i": instance, "active": True}


def _write_log_line(instance: int, action: api.LogLine) -> Json:
    return {"t": "SAY_LOG", "i": instance, "msg": action.text}


ACTION_WRITERS: dict[type, Callable[[int, Any], Json]] = {
    api.StartAttempt: _write_start_attempt,
    api.Reject: _write_reject,
    api.Fail: _write_fail,
    api.SetTimer: _write_set_timer,
    api.WatchEndpoints: _write_watch_endpoints,
    api.LogLine: _write_log_line,
}


class Host:
    """The router instances of this process, by instance number."""

    def __init__(self) -> None:
        """Creates a host without instances; an `UP` message starts one."""
        self.routers: dict[int, Balancer] = {}

    def handle_batch(self, line: bytes) -> bytes:
        """Handles one batch and returns the output line; raises WireError where the batch is invalid."""
        try:
            batch = orjson.loads(line)
            now_ns = batch["clock"]
            messages = batch["msgs"]
        except orjson.JSONDecodeError as error:
            raise WireError(f"not JSON: {error}") from None
        except (KeyError, TypeError) as error:
            raise WireError(f"a batch needs the fields clock and msgs: {error}") from None
        if type(now_ns) is not int or type(messages) is not list:
            raise WireError("a batch needs an integer clock and a list msgs")
        output: list[Json] = []
        for index, message in enumerate(messages):
            try:
                self._handle_message(now_ns, message, output)
            except (KeyError, TypeError, AttributeError) as error:
                raise WireError(f"msgs[{index}] has a missing or invalid field: {error}") from None
        return orjson.dumps({"output": output})

    def _handle_message(self, now_ns: int, message: Json, output: list[Json]) -> None:
        """Handles one message and appends the resulting actions to the output."""
        name = message["t"]
        instance = message["i"]
        reader = EVENT_READERS.get(name)
        if reader is None and name not in IGNORED_EVENTS:
            self._handle_control(name, instance, message, output)
            return
        router = self.routers.get(instance)
        if router is None:
            print(f"skipped {name}: instance {instance} is not running", file=sys.stderr)
            return
        event: api.Event | None = None
        if reader is None:
            _check_ignored_event(name, message)
        else:
            event = reader(message)
        try:
            actions = router.advance(now_ns) if event is None else router.handle(now_ns, event)
            for action in actions:
                output.append(ACTION_WRITERS[type(action)](instance, action))
        except Exception as error:  # noqa: BLE001
            # An exception in the routing decisions ends only the instance that raised it; its text is
            # reported, and the other instances continue.
            traceback.print_exc()
            del self.routers[instance]
            output.append({"t": "DIE", "i": instance, "msg": f"{type(error).__name__}: {error}"})

    def _handle_control(self, name: str, instance: int, message: Json, output: list[Json]) -> None:
        """Starts or ends an instance; an instance with invalid settings is ended with the reason."""
        if name == "UP":
            seed = message["nonce64"]
            info = message["info"]
            try:
                settings = read_settings(info)
                self.routers[instance] = Balancer(settings, seed, OverloadController(settings, seed))
            except SettingError as error:
                self.routers.pop(instance, None)
                print(f"instance {instance} not started: {error}", file=sys.stderr)
                output.append({"t": "DIE", "i": instance, "msg": str(error)})
        elif name == "DESTROY":
            self.routers.pop(instance, None)
        else:
            print(f"skipped unknown event {name!r} for instance {instance}", file=sys.stderr)


def main() -> int:
    """Answers each line of standard input until it ends; returns 2 after an invalid line."""
    host = Host()
    output = sys.stdout.buffer
    for number, line in enumerate(sys.stdin.buffer, 1):
        try:
            output_line = host.handle_batch(line)
        except WireError as error:
            print(f"line {number}: {error}", file=sys.stderr)
            return 2
        output.write(output_line + b"\n")
        output.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Hosts many routers on the bench's wire: lines of JSON on standard input and output.

Here, and in `settings.py`, the platform's words are mapped to the terms of `interface.py`.
Nothing is decided.

Each input line is a batch, `{"clock": ns, "msgs": [...]}`: a message has its type `t`, the number `i` of the
router instance that it is for, and the fields of its type. One line answers a batch, `{"output": [...]}`,
with the actions of all instances in order.
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

# The platform's words, and the terms they stand for.
STATUS_BY_WORD = {
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
ENDPOINT_STATE_BY_WORD = {
    "SERVING": api.EndpointState.READY,
    "DRAINING": api.EndpointState.DRAINING,
    "DELETED": api.EndpointState.GONE,
}
UPDATE_KIND_BY_WORD = {
    "update": api.EndpointUpdateKind.DELTA,
    "replace": api.EndpointUpdateKind.FULL,
    "restored": api.EndpointUpdateKind.CACHED,
    "unavailable": api.EndpointUpdateKind.FAILED,
}
LOAD_FIELD_BY_WORD = {
    "outstanding": "in_flight",
    "backlog": "queued",
    "utilization": "utilization",
    "recent_ms": "latency_ms",
    "throughput": "served_per_s",
    "errors_per_s": "errors_per_s",
}


class WireError(RainhitchError, ValueError):
    """A line that cannot be read as a batch."""


# Events. A missing field raises KeyError, as does a word that is not in its table.


def _int_or_zero(source: Json, name: str) -> int:
    """A number that may be missing, null or empty, each of which stands for 0."""
    value: int | None = source.get(name)
    return value if value else 0


def _read_endpoint(entry: Json) -> api.Endpoint:
    return api.Endpoint(
        entry["server"],
        ENDPOINT_STATE_BY_WORD[entry["stageState"]],
        kind=_int_or_zero(entry, "machine"),
        zone=_int_or_zero(entry, "hall"),
        cell=_int_or_zero(entry, "stripe"),
        started_at_ns=_int_or_zero(entry, "since"),
        weight=1.0 if entry.get("units") is None else entry["units"],
    )


def _read_endpoint_update(message: Json) -> api.EndpointUpdate:
    entries = [_read_endpoint(entry) for entry in message.get("elements") or ()]
    return api.EndpointUpdate(UPDATE_KIND_BY_WORD[message["kind"]], entries)


def _read_load_report(report: Json | None) -> api.LoadReport | None:
    """A server's report; unknown fields and nulls are left out, an empty report is none."""
    if not report:
        return None
    known = {
        LOAD_FIELD_BY_WORD[word]: value
        for word, value in report.items()
        if word in LOAD_FIELD_BY_WORD and value is not None
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
        status=STATUS_BY_WORD[message["disposition"]],
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
# Events of the wire that no decision reads, each with the fields that it has to have.
UNREAD_EVENTS: dict[str, tuple[str, ...]] = {
    "OPENED": ("msgId", "sendNo", "server"),
    "ECHO": ("server", "disposition", "costTime"),
    "MEMO": ("sender", "payload"),
}


def _check_unread_event(name: str, message: Json) -> None:
    """Raises KeyError where an event that no decision reads lacks a field or has an unknown status."""
    for field in UNREAD_EVENTS[name]:
        value = message[field]
        if field == "disposition":
            STATUS_BY_WORD[value]


# Actions. The order of the fields is that on the wire.


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
    """The routers of this process, by instance number."""

    def __init__(self) -> None:
        """Starts with none; an `UP` message starts each."""
        self.routers: dict[int, Balancer] = {}

    def reply(self, line: bytes) -> bytes:
        """Plays one batch and returns the line that answers it; raises WireError where it cannot be read."""
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
        for place, message in enumerate(messages):
            try:
                self._play(now_ns, message, output)
            except (KeyError, TypeError, AttributeError) as error:
                raise WireError(f"msgs[{place}] lacks a field or has a bad one: {error}") from None
        return orjson.dumps({"output": output})

    def _play(self, now_ns: int, message: Json, output: list[Json]) -> None:
        """Plays one message; its actions are added to the output."""
        name = message["t"]
        instance = message["i"]
        reader = EVENT_READERS.get(name)
        if reader is None and name not in UNREAD_EVENTS:
            self._control(name, instance, message, output)
            return
        router = self.routers.get(instance)
        if router is None:
            print(f"skipped: {name} for instance {instance}, which is not up", file=sys.stderr)
            return
        event: api.Event | None = None
        if reader is None:
            _check_unread_event(name, message)
        else:
            event = reader(message)
        try:
            actions = router.advance(now_ns) if event is None else router.handle(now_ns, event)
            for action in actions:
                output.append(ACTION_WRITERS[type(action)](instance, action))
        except Exception as error:  # noqa: BLE001
            # The outermost frame of an instance's decisions: whatever they raise ends this instance, with its
            # text, and leaves the others up.
            traceback.print_exc()
            del self.routers[instance]
            output.append({"t": "DIE", "i": instance, "msg": f"{type(error).__name__}: {error}"})

    def _control(self, name: str, instance: int, message: Json, output: list[Json]) -> None:
        """Starts or ends an instance; one whose settings make no sense is ended with the reason."""
        if name == "UP":
            seed = message["nonce64"]
            info = message["info"]
            try:
                settings = read_settings(info)
                self.routers[instance] = Balancer(settings, seed, OverloadController(settings, seed))
            except SettingError as error:
                self.routers.pop(instance, None)
                print(f"instance {instance}: {error}", file=sys.stderr)
                output.append({"t": "DIE", "i": instance, "msg": str(error)})
        elif name == "DESTROY":
            self.routers.pop(instance, None)
        else:
            print(f"skipped: unknown event {name!r} for instance {instance}", file=sys.stderr)


def main() -> int:
    """Answers each line of standard input until it ends; returns 2 after a line that is no batch."""
    host = Host()
    answers = sys.stdout.buffer
    for number, line in enumerate(sys.stdin.buffer, 1):
        try:
            answer = host.reply(line)
        except WireError as error:
            print(f"line {number}: {error}", file=sys.stderr)
            return 2
        answers.write(answer + b"\n")
        answers.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())

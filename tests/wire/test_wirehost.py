"""Runs the wire host as a process: replies, invalid input, and several instances in one process."""

import json
import random
import subprocess
import sys
from typing import Any

import pytest

SECOND = 1_000_000_000
INFO: dict[str, Any] = {
    "classes": [
        {"aim": SECOND, "deadline": 2 * SECOND},
        {"aim": SECOND, "deadline": 2 * SECOND, "effect": "unsafe"},
    ],
    "ceilings": {"attemptsCap": 4, "unheard": 1},
    "safety": {"coldFrom": 0.2, "rampTime": 10 * SECOND},
    "specifics": {"mode": "aside", "originKind": 1},
    "unheard": {"of": 1},
}
Json = dict[str, Any]


def run_wirehost(lines: list[str]) -> subprocess.CompletedProcess[str]:
    """Runs the wire host on these lines of input until it exits."""
    return subprocess.run(
        [sys.executable, "-m", "rainhitch.wirehost"],
        input="".join(f"{line}\n" for line in lines),
        text=True,
        capture_output=True,
    )


def batch(clock: int, *messages: Json) -> str:
    """Returns an input line: a time in ns and messages."""
    return json.dumps({"clock": clock, "msgs": messages})


def start(instance: int, info: Any = INFO) -> Json:
    """Returns a message that starts an instance with these settings."""
    return {"t": "UP", "i": instance, "nonce64": 5, "info": info}


def endpoint_list(instance: int, count: int = 3) -> Json:
    """Returns an instance's endpoint list: cache servers s0, s1, ... and the origin o."""
    elements: list[Json] = [{"stageState": "SERVING", "server": f"s{n}", "since": None} for n in range(count)]
    elements.append(
        {"stageState": "SERVING", "server": "o", "machine": 1, "hall": 0, "stripe": 0, "units": 1}
    )
    return {"t": "DISCOVERY", "i": instance, "kind": "restored", "stamp": 1, "elements": elements}


def request(instance: int, name: str, key: str = "k", clock: int = SECOND) -> Json:
    """Returns a request that is valid for 2 s."""
    fields = {"msgId": name, "cls": 0, "validUntil": clock + 2 * SECOND, "targetKey": key, "mutates": None}
    return {"t": "WORK_ITEM", "i": instance, "owner": None, **fields}


def finished(instance: int, attempt: Json, number: int, status: str) -> Json:
    """Returns the outcome of an attempt that a DISPATCH started."""
    fields = {"msgId": attempt["msgId"], "sendNo": number, "server": attempt["server"], "disposition": status}
    feedback = {"outstanding": 2, "recent_ms": 12.5, "throughput": 9, "x0": 0.4, "utilization": None}
    return {
        "t": "DONE",
        "i": instance,
        "costTime": 5,
        "ended": status == "completed",
        "feedback": feedback,
        **fields,
    }


def actions_of(result: subprocess.CompletedProcess[str]) -> list[list[Json]]:
    """Returns the actions of each output line."""
    return [json.loads(line)["output"] for line in result.stdout.splitlines()]


def test_an_empty_batch_gets_an_empty_reply_and_the_end_of_input_ends_the_process() -> None:
    """The exit code is 0 and nothing is written to standard error."""
    result = run_wirehost([batch(1)])
    assert (result.returncode, result.stdout, result.stderr) == (0, '{"output":[]}\n', "")
    assert run_wirehost([]).returncode == 0


def test_a_request_is_dispatched_to_a_cache_server() -> None:
    """The request is sent exactly once."""
    result = run_wirehost([batch(SECOND, start(0), endpoint_list(0), request(0, "a"))])
    sent = [action for action in actions_of(result)[0] if action["t"] == "DISPATCH"]
    assert len(sent) == 1 and sent[0]["msgId"] == "a" and sent[0]["server"] in {"s0", "s1", "s2"}
    assert result.stderr == ""


def test_every_kind_of_event_is_read() -> None:
    """After a miss the request goes to the origin."""
    first = actions_of(run_wirehost([batch(SECOND, start(0), endpoint_list(0), request(0, "a"))]))[0]
    (attempt,) = [action for action in first if action["t"] == "DISPATCH"]
    result = run_wirehost(
        [
            batch(SECOND, start(0), endpoint_list(0), request(0, "a")),
            batch(SECOND + 5, finished(0, attempt, 0, "lookup_miss"), {"t": "FIRED", "i": 0, "nonce": "due"}),
            batch(
                SECOND + 6,
                {
                    "t": "ECHO",
                    "i": 0,
                    "server": "s0",
                    "disposition": "completed",
                    "costTime": 1,
                    "feedback": None,
                },
                {"t": "MEMO", "i": 0, "sender": 1, "payload": "00"},
                {"t": "OPENED", "i": 0, "msgId": "a", "sendNo": 1, "server": "o", "costTime": 1},
                {"t": "WITHDRAWN", "i": 0, "msgId": "a"},
                {"t": "DESTROY", "i": 0},
            ),
        ]
    )
    assert result.returncode == 0 and result.stderr == ""
    assert [action["server"] for action in actions_of(result)[1] if action["t"] == "DISPATCH"] == ["o"]


@pytest.mark.parametrize(
    ("line", "expected_text"),
    [
        ("{not json", "line 1: not JSON"),
        ("[]", "line 1: a batch needs"),
        ('{"msgs":[]}', "line 1: a batch needs the fields clock and msgs: 'clock'"),
        ('{"clock":"1","msgs":[]}', "line 1: a batch needs an integer clock"),
        ('{"clock":1,"msgs":[{"i":0}]}', "line 1: msgs[0] has a missing or invalid field: 't'"),
        ('{"clock":1,"msgs":[7]}', "line 1: msgs[0]"),
    ],
)
def test_a_line_that_is_not_a_batch_ends_the_process_with_one_line(line: str, expected_text: str) -> None:
    """The error gives the line number and the reason."""
    result = run_wirehost([line])
    assert result.returncode == 2 and result.stdout == ""
    assert result.stderr.startswith(expected_text) and result.stderr.count("\n") == 1


def test_a_message_that_lacks_a_field_is_named() -> None:
    """The error gives the line, the position in the batch and the field."""
    incomplete = request(0, "a")
    del incomplete["validUntil"]
    result = run_wirehost([batch(SECOND, start(0), endpoint_list(0)), batch(SECOND, incomplete)])
    assert result.returncode == 2
    assert result.stderr == "line 2: msgs[0] has a missing or invalid field: 'validUntil'\n"


def test_unknown_events_and_instances_that_are_not_up_are_logged_and_skipped() -> None:
    """The rest of the batch is handled."""
    result = run_wirehost([batch(SECOND, start(0), endpoint_list(0), {"t": "NEWS", "i": 0}, request(4, "a"))])
    assert result.returncode == 0
    assert "unknown event 'NEWS'" in result.stderr and "instance 4 is not running" in result.stderr
    assert not [action for action in actions_of(result)[0] if action["i"] == 4]


@pytest.mark.parametrize(
    ("change", "expected_text"),
    [
        ({"classes": None}, "classes is missing"),
        ({"classes": []}, "classes is invalid: expected at least one class, got an empty list"),
        ({"classes": [{"aim": 0, "deadline": 5}]}, "classes[0].aim is invalid"),
        ({"classes": [{"aim": 1, "deadline": 5, "effect": "odd"}]}, "classes[0].effect is invalid"),
        ({"ceilings": None}, "ceilings is missing"),
        ({"safety": {"rampTime": "soon"}}, "safety.rampTime is invalid: expected a number, got 'soon'"),
        ({"specifics": {"mode": "sideways"}}, "specifics.mode is invalid"),
        ({"registryMode": 3}, "registryMode is invalid: expected a string, got 3"),
        ({"tenants": [3]}, "tenants is invalid: expected a list of objects, got [3]"),
    ],
)
def test_bad_settings_are_named_and_end_that_instance_only(change: Json, expected_text: str) -> None:
    """Other instances of the process keep running."""
    result = run_wirehost(
        [batch(SECOND, start(0, {**INFO, **change}), start(1), endpoint_list(1), request(1, "a"))]
    )
    output = actions_of(result)[0]
    assert result.returncode == 0 and output[0]["t"] == "DIE" and output[0]["i"] == 0
    assert expected_text in output[0]["msg"]
    assert [action["i"] for action in output if action["t"] == "DISPATCH"] == [1]


def test_an_exception_in_the_decisions_ends_the_instance_with_its_text() -> None:
    """The traceback goes to standard error, and the process keeps running."""
    invalid = request(0, "a")
    invalid["cls"] = 7
    result = run_wirehost([batch(SECOND, start(0), endpoint_list(0), invalid)])
    (end,) = [action for action in actions_of(result)[0] if action["t"] == "DIE"]
    assert end["msg"].startswith("IndexError") and "Traceback" in result.stderr
    assert result.returncode == 0


def test_instances_in_one_process_do_not_influence_one_another() -> None:
    """Three instances in one process act as each of them does in a process of its own."""
    rng = random.Random(3)
    batches: list[list[Json]] = [[start(i) for i in range(3)] + [endpoint_list(i) for i in range(3)]]
    for n in range(60):
        batches.append([request(rng.randrange(3), f"r{n}", f"k{rng.randrange(9)}", (n + 2) * SECOND // 50)])
    shared: dict[int, list[Json]] = {i: [] for i in range(3)}
    separate: dict[int, list[Json]] = {i: [] for i in range(3)}
    result = run_wirehost([batch(SECOND + n * SECOND // 50, *messages) for n, messages in enumerate(batches)])
    for output in actions_of(result):
        for action in output:
            shared[action["i"]].append(action)
    for i in range(3):
        own = [[message for message in messages if message["i"] == i] for messages in batches]
        for output in actions_of(
            run_wirehost([batch(SECOND + n * SECOND // 50, *messages) for n, messages in enumerate(own)])
        ):
            separate[i] += output
    assert shared == separate and all(shared.values())

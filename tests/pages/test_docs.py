"""The pages tell the truth where a test can check it."""

import ast
import contextlib
import io
import re
from pathlib import Path

from python_source import parsed
from support import MILLI, SECOND, Router, fleet, settings

from rainhitch import interface as api

ROOT = Path(__file__).parents[2]


def test_the_example_in_the_readme_prints_what_it_says() -> None:
    text = (ROOT / "README.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.S)
    shown = re.search(r"prints\n\n((?:    .*\n)+)", text)
    assert code and shown
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        exec(code[1], {})
    assert out.getvalue() == "".join(line[4:] + "\n" for line in shown[1].splitlines())


def test_every_log_line_on_the_on_call_page_exists_and_no_other() -> None:
    router = Router(settings(endpoints_polled=True), fleet(6))
    router.throttle_on()
    router.wait(60 * SECOND)
    _, (first,) = router.request("k")
    router.end_attempt(first, api.AttemptStatus.RESET)
    router.wait(2 * SECOND)
    _, (again,) = router.request("k")
    router.end_attempt(again, api.AttemptStatus.OK, elapsed=MILLI)
    for name in ("c1", "c3", "c5"):
        router.handle(api.AttemptFinished("x", 0, name, api.AttemptStatus.CONNECT_FAILED, False, MILLI))
    router.handle(api.AttemptFinished("x", 0, "c1", api.AttemptStatus.OK, False, MILLI))
    router.handle(api.EndpointUpdate(api.EndpointUpdateKind.FAILED, []))
    router.handle(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, [api.Endpoint("c9")]))
    router.wait(3 * SECOND)
    told = {re.sub(r"\bc\d\b", "S", re.sub(r"\b\d+\b", "N", line)) for line in router.log}
    told = {re.sub(r"\breason=(connect_failed|reset)\b", "reason=R", line) for line in told}
    page = (ROOT / "docs" / "on-call.md").read_text()
    decisions = page.partition("## Decisions on requests\n")[2].partition("\n## ")[0]
    assert told == set(re.findall(r"^\| `(.*?)` \|", decisions, re.M))


def logged_messages() -> set[str]:
    """The fixed message of each log call of the router, its fields and their values left out."""
    found = set()
    for path in sorted((ROOT / "rainhitch").rglob("*.py")):
        if "rehearsal" in path.parts or "cli" in path.parts:
            continue
        for call in ast.walk(parsed(path)):
            is_log = isinstance(call, ast.Call) and isinstance(call.func, ast.Attribute)
            if not is_log or ast.unparse(call.func).partition(".")[0] != "log":  # type: ignore[attr-defined]
                continue
            text = call.args[0]  # type: ignore[attr-defined]
            if isinstance(text, ast.Constant) and isinstance(text.value, str):
                found.add(re.split(r" \w+=|%", text.value)[0].strip())
    return found - {""}


def test_every_log_message_of_the_router_is_listed_for_who_is_on_call() -> None:
    """Lines were logged that no page told of; who read one at night had the source alone."""
    page = (ROOT / "docs" / "on-call.md").read_text()
    messages = logged_messages()
    assert len(messages) > 20
    assert {one for one in messages if f"`{one}" not in page} == set()

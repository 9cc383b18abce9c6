"""The pages tell the truth where a test can check it."""

import contextlib
import io
import re
from pathlib import Path

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
    _, (first,) = router.ask("k")
    router.end(first, api.AttemptStatus.RESET)
    router.wait(2 * SECOND)
    _, (again,) = router.ask("k")
    router.end(again, api.AttemptStatus.OK, elapsed=MILLI)
    for name in ("c1", "c3", "c5"):
        router.tell(api.AttemptFinished("x", 0, name, api.AttemptStatus.CONNECT_FAILED, False, MILLI))
    router.tell(api.AttemptFinished("x", 0, "c1", api.AttemptStatus.OK, False, MILLI))
    router.tell(api.EndpointUpdate(api.EndpointUpdateKind.FAILED, []))
    router.tell(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, [api.Endpoint("c9")]))
    router.wait(3 * SECOND)
    told = {re.sub(r"\bc\d\b", "S", re.sub(r"\b\d+\b", "N", line)) for line in router.log}
    told = {re.sub(r"\breason=(connect_failed|reset)\b", "reason=R", line) for line in told}
    page = (ROOT / "docs" / "on-call.md").read_text()
    assert told == set(re.findall(r"^\| `(.*?)` \|", page, re.M))

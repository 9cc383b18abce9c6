"""Whether exploring finds faults put into the router on purpose, and after how many days.

    python -m benchmarks.mutants [--minutes 4] [--jobs 1] [--only NAME,NAME]

Each mutant is a change of one place in a copy of the package; all are explored side by side. A mutant is
found when exploring keeps a case; what the router as it stands gives is told first.
"""

import argparse
import os
import re
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import rainhitch

# name: file, what stands there, what takes its place
MUTANTS: dict[str, tuple[str, str, str]] = {
    "leaving cuts off what is on its way": (
        "node/client_connection.py",
        "return not self.commands.only_greeted and not self.frames.buffer and not self.has_unread_bytes()",
        "return True",
    ),
    "a close behind a greeting": (
        "node/client_connection.py",
        "return not self.commands.only_greeted and",
        "return",
    ),
    "a given-up attempt counts as unsent": (
        "node/upstream_connection.py",
        "return may_have_run",
        "return False",
    ),
    "a broken connection was never up": (
        "node/upstream_connection.py",
        "status = AttemptStatus.RESET if was_written else never_up",
        "status = never_up",
    ),
    "the last answer is late": (
        "node/deadlines.py",
        "ANSWER_DELIVERY_NS = 8 * NS_PER_MS",
        "ANSWER_DELIVERY_NS = -120 * NS_PER_MS",
    ),
    "a time-out leaves its connection": (
        "node/attempt_runner.py",
        "may_have_run = attempt.connection.abandon()",
        "may_have_run = True",
    ),
    "a restart keeps old connections' attempts": (
        "node/connection_pool.py",
        "for connection in [one for one in self.all if one.opened_at_s < time_s]:",
        "for connection in []:",
    ),
    "an order's window does not end": (
        "policy/retry_policy.py",
        "is api.Idempotency.NOT_IDEMPOTENT or not is_in_dedup_window(pending, now_ns):",
        "is api.Idempotency.NOT_IDEMPOTENT:",
    ),
    "what may run once is repeated": (
        "policy/retry_policy.py",
        "is api.Idempotency.NOT_IDEMPOTENT or not is_in_dedup_window(pending, now_ns):",
        "is api.Idempotency.IDEMPOTENCY_KEY and not is_in_dedup_window(pending, now_ns):",
    ),
    "all is refused": (
        "policy/retry_policy.py",
        "return recognized_everywhere and is_in_dedup_window(pending, now_ns)",
        "return True",
    ),
    "two attempts of an order": (
        "overload/idempotency_keys.py",
        "        if record.state is KeyState.HELD:\n            if len",
        "        if False:\n            if len",
    ),
    "a drained server is used": (
        "policy/server.py",
        "is_in_use = self.endpoint.state in (api.EndpointState.READY, api.EndpointState.RETIRING)",
        "is_in_use = True",
    ),
    "a draining pool takes back connections": (
        "node/connection_pool.py",
        "if self.draining or connection not in self.all:",
        "if connection not in self.all:",
    ),
    "an id is held for ever": (
        "node/request_driver.py",
        "if self.requests.pop(request.id, None) is not None:",
        "if False:",
    ),
    "a slot leaks where a dial fails": (
        "node/upstream_connection.py",
        "        self.pool.drop(self)\n        exchange = self.exchange\n",
        "        exchange = self.exchange\n",
    ),
    "a client that leaves is not told of": (
        "node/client_connection.py",
        "self.host.driver.withdraw(slot.request)",
        "pass",
    ),
}


class MutantError(ValueError):
    """A mutant whose place in the package is gone."""


def explored(name: str, minutes: float, jobs: int, folder: Path) -> str:
    """Explores one mutant; gives its row."""
    place = folder / re.sub(r"[^a-z]+", "-", name)
    shutil.copytree(Path(rainhitch.__file__).parent, place / "rainhitch")
    if name in MUTANTS:
        file, old, new = MUTANTS[name]
        path = place / "rainhitch" / file
        text = path.read_text()
        if text.count(old) != 1:
            raise MutantError(
                f"{name}: the text stands {text.count(old)} times in {file}, once is wanted: {old!r}"
            )
        path.write_text(text.replace(old, new))
    words = [sys.executable, "-m", "rainhitch", "explore", "--minutes", str(minutes), "--jobs", str(jobs)]
    done = subprocess.run(
        [*words, "--as-drawn", "--seed", "3", "--keep", str(place / "found")],
        env={**os.environ, "PYTHONPATH": str(place)},
        cwd=place,
        capture_output=True,
        text=True,
    )
    lines = done.stdout.splitlines()
    days = next((line.split()[0] for line in lines if " days in " in line), "?")
    kinds = [line.strip() for line in lines if re.match(r" +\d+  ", line)]
    return f"| {name} | {'found' if kinds else 'not found'} | {days} | {'; '.join(kinds)[:90]} |"


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--minutes", type=float, default=4.0)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--only", default="")
    told = parser.parse_args()
    names = told.only.split(",") if told.only else ["as it stands", *MUTANTS]
    print(f"{os.cpu_count()} cores, {told.jobs} process each, {told.minutes:g} minutes each\n")
    print("| mutant | | days | kinds |\n| --- | --- | --- | --- |")
    with tempfile.TemporaryDirectory() as folder:
        at_once = max(1, (os.cpu_count() or 1) // told.jobs)
        with ThreadPoolExecutor(at_once) as pool:
            for row in pool.map(lambda name: explored(name, told.minutes, told.jobs, Path(folder)), names):
                print(row, flush=True)


if __name__ == "__main__":
    main()

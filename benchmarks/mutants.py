"""Whether `rainhitch explore` finds faults put into the router on purpose, and after how many runs.

    python -m benchmarks mutants [--minutes 4] [--jobs 1] [--only NAME,NAME]

Each mutant is a change of one place in a copy of the package; all are explored side by side. A mutant is
found when exploring keeps a case. The first row is the router as it stands.
"""

import os
import re
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

import rainhitch
from benchmarks.rig import comma_list, parser_for, print_row, print_table_header
from rainhitch.errors import RainhitchError

UNCHANGED = "as it stands"
SEED = 3
KINDS_LENGTH = 90  # characters of the last column


class Mutant(NamedTuple):
    """A change of one place in the package."""

    file: str
    old: str
    new: str

    def apply(self, text: str) -> str:
        """The file's text with the change; raises MutantError where its place is not there just once."""
        count = text.count(self.old)
        if count != 1:
            raise MutantError(f"{self.file}: expected once, stands {count} times: {self.old!r}")
        return text.replace(self.old, self.new)


class MutantError(RainhitchError, ValueError):
    """A mutant whose place in the package is gone."""


# By name.
MUTANTS: dict[str, Mutant] = {
    "leaving cuts off what is on its way": Mutant(
        "node/client_connection.py",
        "return not self.commands.only_handshake and not self.reader.buffer and not self.has_unread_bytes()",
        "return True",
    ),
    "a close behind a greeting": Mutant(
        "node/client_connection.py",
        "return not self.commands.only_handshake and",
        "return",
    ),
    "a given-up attempt counts as unsent": Mutant(
        "node/upstream_connection.py",
        "return may_have_run",
        "return False",
    ),
    "a broken connection was never up": Mutant(
        "node/upstream_connection.py",
        "status = AttemptStatus.RESET if was_written else status_if_unwritten",
        "status = status_if_unwritten",
    ),
    "the last answer is late": Mutant(
        "node/deadlines.py",
        "RESPONSE_DELIVERY_NS = 8 * NS_PER_MS",
        "RESPONSE_DELIVERY_NS = -120 * NS_PER_MS",
    ),
    "a time-out leaves its connection": Mutant(
        "node/attempt_runner.py",
        "may_have_run = attempt.connection.close_attempt()",
        "may_have_run = True",
    ),
    "a restart keeps old connections' attempts": Mutant(
        "node/connection_pool.py",
        "for connection in [conn for conn in self.connections if conn.opened_at_s < time_s]:",
        "for connection in []:",
    ),
    "an order's window does not end": Mutant(
        "policy/retry_policy.py",
        "is api.Idempotency.NOT_IDEMPOTENT or not is_in_dedup_window(pending, now_ns):",
        "is api.Idempotency.NOT_IDEMPOTENT:",
    ),
    "what may run once is repeated": Mutant(
        "policy/retry_policy.py",
        "is api.Idempotency.NOT_IDEMPOTENT or not is_in_dedup_window(pending, now_ns):",
        "is api.Idempotency.IDEMPOTENCY_KEY and not is_in_dedup_window(pending, now_ns):",
    ),
    "all is refused": Mutant(
        "policy/retry_policy.py",
        "return recognized_everywhere and is_in_dedup_window(pending, now_ns)",
        "return True",
    ),
    "two attempts of an order": Mutant(
        "overload/idempotency_keys.py",
        "        if record.state is KeyState.HELD:\n            if len",
        "        if False:\n            if len",
    ),
    "a drained server is used": Mutant(
        "policy/server.py",
        "is_in_use = self.endpoint.state in (api.EndpointState.READY, api.EndpointState.RETIRING)",
        "is_in_use = True",
    ),
    "a draining pool takes back connections": Mutant(
        "node/connection_pool.py",
        "if self.draining or connection not in self.connections:",
        "if connection not in self.connections:",
    ),
    "an id is held for ever": Mutant(
        "node/request_driver.py",
        "if self.requests.pop(request.id, None) is not None:",
        "if False:",
    ),
    "a slot leaks where a dial fails": Mutant(
        "node/upstream_connection.py",
        "        self.pool.drop(self)\n        exchange = self.exchange\n",
        "        exchange = self.exchange\n",
    ),
    "a client that leaves is not told of": Mutant(
        "node/client_connection.py",
        "self.host.driver.withdraw(slot.request)",
        "pass",
    ),
}


def explore(name: str, minutes: float, jobs: int, folder: Path) -> list[str]:
    """Explores one mutant; gives its row: name, whether it was found, runs, kinds of failures."""
    copy = folder / re.sub(r"[^a-z]+", "-", name)
    shutil.copytree(Path(rainhitch.__file__).parent, copy / "rainhitch")
    if name != UNCHANGED:
        mutant = MUTANTS[name]
        path = copy / "rainhitch" / mutant.file
        path.write_text(mutant.apply(path.read_text()))
    command = [sys.executable, "-m", "rainhitch", "explore", "--minutes", str(minutes), "--jobs", str(jobs)]
    done = subprocess.run(
        [*command, "--as-drawn", "--seed", str(SEED), "--keep", str(copy / "found")],
        env={**os.environ, "PYTHONPATH": str(copy)},
        cwd=copy,
        capture_output=True,
        text=True,
    )
    lines = done.stdout.splitlines()
    runs = next((line.split()[0] for line in lines if " days in " in line), "?")
    kinds = [line.strip() for line in lines if re.match(r" +\d+  ", line)]
    return [name, "found" if kinds else "not found", runs, "; ".join(kinds)[:KINDS_LENGTH]]


def main(arguments: list[str]) -> int:
    """Runs the benchmark; gives the exit code."""
    parser = parser_for(__doc__)
    parser.add_argument("--minutes", type=float, default=4.0)
    parser.add_argument("--jobs", type=int, default=1, help="processes for each mutant")
    parser.add_argument("--only", default="")
    options = parser.parse_args(arguments)
    names = comma_list(options.only) or [UNCHANGED, *MUTANTS]
    unknown = [name for name in names if name != UNCHANGED and name not in MUTANTS]
    if unknown:
        parser.error(f"no such mutant: {', '.join(unknown)}")
    print(f"{os.cpu_count()} cores, {options.jobs} process each, {options.minutes:g} minutes each\n")
    print_table_header(["mutant", "", "days", "kinds"])
    with tempfile.TemporaryDirectory() as folder:
        at_once = max(1, (os.cpu_count() or 1) // options.jobs)
        with ThreadPoolExecutor(at_once) as pool:
            rows = pool.map(lambda name: explore(name, options.minutes, options.jobs, Path(folder)), names)
            for row in rows:
                print_row(row)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

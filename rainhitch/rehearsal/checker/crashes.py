"""Rule 5, `crashed`: no router ends that was not asked to, or takes too much time or memory.

Limits: a router that is asked to stop (SIGTERM) ends with exit code 0 within `router_process.ENDS_WITHIN_S`;
one that holds more resident memory than the scenario's `day.memory_mb` is killed. Whoever runs the routers'
processes notices this, and records the first crash of each router. There is no further tolerance.
"""

from collections.abc import Iterator

from rainhitch.rehearsal.checker.evidence import Evidence
from rainhitch.rehearsal.checker.violations import Rule, Violation, violation


def find_crashes(evidence: Evidence) -> Iterator[Violation]:
    """All violations of the rule, by router, with the router's last log lines."""
    for crash in evidence.crashes:
        what = f"router {crash.router} {crash.reason}"
        yield violation(evidence, Rule.CRASH, crash.at_ns, what, log=crash.log)

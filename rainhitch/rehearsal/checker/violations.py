"""What a rule finds: its type, and the tolerance that all rules with a time limit have."""

from dataclasses import dataclass
from enum import StrEnum

from rainhitch.rehearsal.checker.evidence import Evidence
from rainhitch.rehearsal.checker.records import MILLI, SECOND, Json

# Every time limit is longer by this than the rule's, for what networks and clocks take. Each rule that has
# one adds the kit's own stalls near the instant (`Evidence.kit_stall_ns`).
TOLERANCE_NS = 50 * MILLI
AT_DIGITS = 4  # of a violation's time in s


class Rule(StrEnum):
    """The rules. The values are the report's keys."""

    LOST_REQUEST = "lost"
    FORBIDDEN_RETRY = "repeated"
    SEND_AFTER_DRAIN = "drained"
    COLD_OVERLOAD = "overrun"
    CRASH = "crashed"


@dataclass(frozen=True, slots=True)
class Violation:
    """One thing that a router did against a rule."""

    rule: Rule
    at_s: float  # from the first scored instant
    description: str
    request_id: str = ""
    node: str = ""
    log: list[str] | None = None  # of a crash: the router's last lines

    def to_row(self) -> Json:
        """The violation as a row of the report's `breaches`."""
        row: Json = {
            "rule": self.rule.value,
            "at_s": self.at_s,
            "request": self.request_id,
            "node": self.node,
            "what": self.description,
        }
        if self.log is not None:
            row["log"] = self.log
        return row


def violation(
    evidence: Evidence,
    rule: Rule,
    at_ns: int,
    description: str,
    *,
    request_id: str = "",
    node: str = "",
    log: list[str] | None = None,
) -> Violation:
    """A violation at an instant of the run."""
    at_s = round((at_ns - evidence.zero_ns) / SECOND, AT_DIGITS)
    return Violation(rule, at_s, description, request_id, node, log)

"""What became of one request: the type that service and prices share."""

from dataclasses import dataclass

from rainhitch.rehearsal.checker.records import AskedRequest


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """What became of one request, over all its tries."""

    request: AskedRequest
    number: int  # of the request in the plan
    worth: float
    earned: float
    cause: str  # why it was not earned whole; "" where it was
    took_ns: int  # from its first try to its end

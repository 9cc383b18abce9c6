"""The record of what a router was sent of the endpoint list: rows for entries, and for whole lists."""

from typing import Any

WHOLE_LIST = "whole"


def entry_row(router: int, sent_at_ns: int, uid: str, state: str, in_whole_list: bool) -> dict[str, Any]:
    """The row of one entry that was written to a router; `sent_at_ns` is monotonic."""
    return {"router": router, "at": sent_at_ns, "node": uid, "state": state, "whole": in_whole_list}


def whole_list_row(router: int, sent_at_ns: int, uids: list[str]) -> dict[str, Any]:
    """The row of a whole list that was written to a router; it comes after its entries' rows."""
    return {**entry_row(router, sent_at_ns, "", WHOLE_LIST, True), "named": uids}
